#include "peer/link.hpp"

#include "core/log.hpp"

#include <boost/asio/post.hpp>

namespace lacewingquay::peer
{

namespace
{

/// Largest accepted message; a configuration body of the largest size fits.
constexpr std::int64_t max_message_bytes = 8 << 20;

/// A connection with no traffic is probed this often, so that a peer that vanished is noticed.
constexpr int probe_interval_ms = 1'000;
constexpr int probe_timeout_ms = 3'000;
constexpr int reconnect_interval_ms = 50;
constexpr int reconnect_interval_max_ms = 500;

/// Messages handled before other work of the thread gets its turn.
constexpr int receive_batch = 256;

std::string endpoint(const address& where)
{
    return "tcp://" + where.text();
}

} // namespace

link::link(boost::asio::io_context& io, zmq::context_t& context, link_settings settings,
           receiver receive)
    : context_(context), settings_(std::move(settings)), receive_(std::move(receive)),
      incoming_(context, zmq::socket_type::pull), descriptor_(io), timer_(io)
{
    incoming_.set(zmq::sockopt::linger, 0);
    incoming_.set(zmq::sockopt::rcvhwm, settings_.queue_limit);
    incoming_.set(zmq::sockopt::maxmsgsize, max_message_bytes);
}

boost::leaf::result<std::unique_ptr<link>> link::open(boost::asio::io_context& io,
                                                      zmq::context_t& context,
                                                      link_settings settings, receiver receive)
{
    std::unique_ptr<link> opened(new link(io, context, std::move(settings), std::move(receive)));
    try
    {
        opened->incoming_.bind(endpoint(opened->settings_.listen));
    }
    catch (const zmq::error_t& error)
    {
        return boost::leaf::new_error(
            input_error{"peer listen address", opened->settings_.listen.text(),
                        std::string("an address that is free: ") + error.what()});
    }
    opened->descriptor_.assign(opened->incoming_.get(zmq::sockopt::fd));
    opened->wait_for_messages();
    opened->poll_on_timer();
    return opened;
}

void link::set_peers(const std::map<std::string, address>& peers)
{
    for (std::map<std::string, outgoing>::iterator it = peers_.begin(); it != peers_.end();)
    {
        const std::map<std::string, address>::const_iterator wanted = peers.find(it->first);
        const bool keep = wanted != peers.end() && wanted->second == it->second.where;
        it = keep ? std::next(it) : peers_.erase(it);
    }
    for (const std::pair<const std::string, address>& peer : peers)
    {
        if (peer.first == settings_.id || peers_.count(peer.first) > 0)
        {
            continue;
        }
        outgoing connection{peer.second, zmq::socket_t(context_, zmq::socket_type::push)};
        connection.socket.set(zmq::sockopt::linger, 0);
        connection.socket.set(zmq::sockopt::sndhwm, settings_.queue_limit);
        // Messages wait only for a peer that is connected, so that none is delivered long after.
        connection.socket.set(zmq::sockopt::immediate, 1);
        connection.socket.set(zmq::sockopt::heartbeat_ivl, probe_interval_ms);
        connection.socket.set(zmq::sockopt::heartbeat_timeout, probe_timeout_ms);
        connection.socket.set(zmq::sockopt::reconnect_ivl, reconnect_interval_ms);
        connection.socket.set(zmq::sockopt::reconnect_ivl_max, reconnect_interval_max_ms);
        connection.socket.connect(endpoint(peer.second));
        peers_.emplace(peer.first, std::move(connection));
    }
}

void link::send(const std::string& peer_id, pb::Envelope& message)
{
    const std::map<std::string, outgoing>::iterator peer = peers_.find(peer_id);
    if (peer == peers_.end() || cut_.count(peer_id) > 0)
    {
        ++counters_.dropped;
        return;
    }
    message.set_protocol_version(protocol_version);
    message.set_sender(settings_.id);
    message.set_incarnation(settings_.incarnation);
    message.SerializeToString(&buffer_);
    const zmq::send_result_t sent =
        peer->second.socket.send(zmq::buffer(buffer_), zmq::send_flags::dontwait);
    if (!sent)
    {
        ++counters_.dropped;
        return;
    }
    ++counters_.messages_sent;
    counters_.bytes_sent += buffer_.size();
}

void link::cut(std::set<std::string> peer_ids)
{
    cut_ = std::move(peer_ids);
}

void link::close()
{
    closed_ = true;
    // ZeroMQ owns the descriptor and closes it with the socket.
    descriptor_.release();
    timer_.cancel();
    peers_.clear();
    incoming_.close();
}

void link::wait_for_messages()
{
    descriptor_.async_wait(boost::asio::posix::stream_descriptor::wait_read,
                           [this](const boost::system::error_code& error)
                           {
                               if (closed_ || error)
                               {
                                   return;
                               }
                               receive_all();
                               wait_for_messages();
                           });
}

void link::poll_on_timer()
{
    timer_.expires_after(settings_.poll_interval);
    timer_.async_wait(
        [this](const boost::system::error_code& error)
        {
            if (closed_ || error)
            {
                return;
            }
            receive_all();
            poll_on_timer();
        });
}

void link::receive_all()
{
    zmq::message_t raw;
    for (int count = 0; count < receive_batch && !closed_; ++count)
    {
        const zmq::recv_result_t received = incoming_.recv(raw, zmq::recv_flags::dontwait);
        if (!received)
        {
            return;
        }
        accept_message(raw);
    }
    if (!closed_)
    {
        // The descriptor does not signal messages that are already queued.
        boost::asio::post(timer_.get_executor(), [this] { receive_all(); });
    }
}

void link::accept_message(const zmq::message_t& raw)
{
    ++counters_.messages_received;
    counters_.bytes_received += raw.size();
    if (!envelope_.ParseFromArray(raw.data(), static_cast<int>(raw.size())) ||
        envelope_.payload_case() == pb::Envelope::PAYLOAD_NOT_SET)
    {
        ++counters_.refused;
        log_event(log_level::warning, "peer_message_unreadable",
                  {{"bytes", static_cast<std::int64_t>(raw.size())}});
        return;
    }
    if (envelope_.protocol_version() != protocol_version)
    {
        ++counters_.refused;
        log_event(log_level::warning, "peer_message_version",
                  {{"sender", envelope_.sender()},
                   {"version", envelope_.protocol_version()},
                   {"expected", protocol_version}});
        return;
    }
    if (cut_.count(envelope_.sender()) == 0)
    {
        receive_(envelope_);
    }
}

} // namespace lacewingquay::peer
