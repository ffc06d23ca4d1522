#pragma once

#include "core/address.hpp"
#include "core/clock.hpp"
#include "peer/messages.pb.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/posix/stream_descriptor.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/leaf.hpp>
#include <zmq.hpp>

#include <atomic>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <span>
#include <string>

namespace lacewingquay::peer
{

/// Version of the messages. Messages of another version are refused.
constexpr std::uint32_t protocol_version = 1;

/// Settings of `link`.
struct link_settings
{
    /// This entry host's id and incarnation, written into each envelope.
    std::string id;
    std::string incarnation;
    address listen;
    /// Messages that wait for one peer; more are dropped, as all messages are repeated or expire.
    int queue_limit = 20'000;
    /// Received messages are also looked for this often, should a wake-up be missed.
    std::chrono::milliseconds poll_interval{20};
};

/// Counters of one link.
struct link_counters
{
    std::atomic<std::uint64_t> messages_sent{0};
    std::atomic<std::uint64_t> messages_received{0};
    std::atomic<std::uint64_t> bytes_sent{0};
    std::atomic<std::uint64_t> bytes_received{0};
    std::atomic<std::uint64_t> dropped{0};
    std::atomic<std::uint64_t> refused{0};
};

/// One-way messages between entry hosts: a ZeroMQ PULL socket of its own and a PUSH socket to each
/// peer. Messages between two entry hosts keep their order; a message to a peer that cannot be
/// reached is dropped. Used on one thread, the one that runs the `io_context`.
class link
{
public:
    /// Receives each valid message. The envelope is valid during the call only.
    using receiver = std::function<void(const pb::Envelope&)>;

    /// Binds the listening socket; fails with `input_error` if the address is in use.
    static boost::leaf::result<std::unique_ptr<link>> open(boost::asio::io_context& io,
                                                           zmq::context_t& context,
                                                           link_settings settings,
                                                           receiver receive);

    /// Connects to these peers and drops the connections to others. Keys are entry host ids.
    void set_peers(const std::map<std::string, address>& peers);

    /// Sends to a peer by id, or drops the message if the peer is unknown, cut off or has a full
    /// queue. Fills in the envelope's version and sender.
    void send(const std::string& peer_id, pb::Envelope& message);

    /// Fault injection: messages to and from these entry hosts are dropped.
    void cut(std::set<std::string> peer_ids);

    /// Stops receiving.
    void close();

    [[nodiscard]] const link_counters& counters() const { return counters_; }

private:
    link(boost::asio::io_context& io, zmq::context_t& context, link_settings settings,
         receiver receive);

    struct outgoing
    {
        address where;
        zmq::socket_t socket;
    };

    void wait_for_messages();
    void poll_on_timer();
    void receive_all();
    void accept_message(const zmq::message_t& raw);

    zmq::context_t& context_;
    link_settings settings_;
    receiver receive_;
    zmq::socket_t incoming_;
    boost::asio::posix::stream_descriptor descriptor_;
    boost::asio::steady_timer timer_;
    std::map<std::string, outgoing> peers_;
    std::set<std::string> cut_;
    std::string buffer_;
    pb::Envelope envelope_;
    link_counters counters_;
    bool closed_ = false;
};

} // namespace lacewingquay::peer
