#include "http/server.hpp"

#include "core/log.hpp"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/strand.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/core.hpp>

#include <array>
#include <atomic>
#include <exception>
#include <map>
#include <optional>
#include <tuple>

namespace lacewingquay::http
{

namespace asio = boost::asio;
namespace beast = boost::beast;

using boost::system::error_code;

namespace
{

constexpr asio::as_tuple_t<asio::use_awaitable_t<>> awaiting{};

/// Time to write an answer to a caller that reads slowly.
constexpr std::chrono::milliseconds write_timeout{30'000};

/// Limits of reading on after a refusal.
constexpr std::chrono::milliseconds discard_timeout{1'000};
constexpr std::size_t discard_limit = 4U << 20U;

/// Pause after a failed accept, which for example follows when file descriptors have run out.
constexpr std::chrono::milliseconds accept_pause{20};

/// One caller's connection. Used on its own strand only.
struct connection
{
    explicit connection(asio::ip::tcp::socket socket) : stream(std::move(socket)) {}

    /// True if no part of a request has arrived.
    [[nodiscard]] bool is_idle()
    {
        error_code error;
        return awaits_request && buffer.size() == 0 && stream.socket().available(error) == 0;
    }

    beast::tcp_stream stream;
    beast::flat_buffer buffer;
    /// From the end of one request to the header of the next.
    bool awaits_request = true;
};

} // namespace

struct server::state
{
    state(asio::any_io_executor io, server_settings limits, handler answer_request)
        : executor(std::move(io)), settings(limits), answer(std::move(answer_request)),
          acceptor(asio::make_strand(executor))
    {
    }

    asio::any_io_executor executor;
    server_settings settings;
    handler answer;
    asio::ip::tcp::acceptor acceptor;
    address bound;
    /// Open connections by number; used on the strand of the acceptor only.
    std::map<std::uint64_t, std::weak_ptr<connection>> open;
    std::uint64_t next_number = 0;
    std::atomic<bool> stopping{false};
    std::atomic<std::size_t> connections{0};
    std::atomic<std::size_t> in_progress{0};
};

namespace
{

response make_refusal(status code, std::string_view body)
{
    response refusal = make_response(code, std::string(body));
    refusal.set("Lacewingquay-Verdict", "not-run");
    return refusal;
}

/// The answer to a request that could not be parsed, or nothing if the connection just ended.
std::optional<response> parse_failure_answer(error_code error)
{
    if (error == beast::http::error::body_limit)
    {
        return make_refusal(status::payload_too_large,
                            R"({"error":"request body is larger than allowed"})");
    }
    if (error == beast::http::error::header_limit)
    {
        return make_refusal(status::request_header_fields_too_large,
                            R"({"error":"request header is larger than allowed"})");
    }
    const bool protocol_error =
        error.category() == make_error_code(beast::http::error::bad_method).category();
    if (protocol_error && error != beast::http::error::end_of_stream &&
        error != beast::http::error::partial_message)
    {
        return make_refusal(status::bad_request,
                            R"({"error":"malformed HTTP request: )" + error.message() + "\"}");
    }
    return std::nullopt;
}

/// Reads one request into `parser`; invites its body if the caller waits for that
/// (RFC 9110 section 10.1.1).
template <typename Parser>
asio::awaitable<error_code> read_request(connection& caller, Parser& parser)
{
    beast::tcp_stream& stream = caller.stream;
    beast::flat_buffer& buffer = caller.buffer;
    std::tuple<error_code, std::size_t> read =
        co_await beast::http::async_read_header(stream, buffer, parser, awaiting);
    caller.awaits_request = false;
    if (!std::get<0>(read) && parser.get().version() >= 11 &&
        beast::iequals(parser.get()[beast::http::field::expect], "100-continue"))
    {
        const response invitation{status::continue_, 11};
        read = co_await beast::http::async_write(stream, invitation, awaiting);
    }
    if (!std::get<0>(read) && !parser.is_done())
    {
        read = co_await beast::http::async_read(stream, buffer, parser, awaiting);
    }
    co_return std::get<0>(read);
}

/// Reads what the caller still sends, for a bounded time and size. Closing with unread bytes would
/// reset the connection, and the caller could lose the refusal (RFC 9112 section 9.6).
asio::awaitable<void> discard_rest(beast::tcp_stream& stream)
{
    error_code ignored;
    stream.socket().shutdown(asio::ip::tcp::socket::shutdown_send, ignored);
    stream.expires_after(discard_timeout);
    std::array<char, 16'384> scratch{};
    for (std::size_t total = 0; total < discard_limit;)
    {
        const std::tuple<error_code, std::size_t> read =
            co_await stream.async_read_some(asio::buffer(scratch), awaiting);
        if (std::get<0>(read))
        {
            co_return;
        }
        total += std::get<1>(read);
    }
}

template <typename State>
asio::awaitable<response> answer_request(std::shared_ptr<State> shared, request received)
{
    if (!has_known_coding(received))
    {
        co_return make_refusal(status::bad_request,
                               R"({"error":"transfer codings other than chunked"})");
    }
    try
    {
        co_return co_await shared->answer(std::move(received));
    }
    catch (const std::exception& error)
    {
        log_event(log_level::error, "handler_failed", {{"reason", error.what()}});
    }
    response failure =
        make_response(status::internal_server_error, R"({"error":"internal error"})");
    failure.set("Lacewingquay-Verdict", "may-have-run");
    co_return failure;
}

template <typename State>
asio::awaitable<void> serve_connection(std::shared_ptr<State> shared,
                                       std::shared_ptr<connection> caller, std::uint64_t number)
{
    beast::tcp_stream& stream = caller->stream;
    bool keep = true;
    while (keep)
    {
        caller->awaits_request = true;
        if (shared->stopping.load() && caller->is_idle())
        {
            break;
        }
        beast::http::request_parser<beast::http::string_body> parser;
        parser.body_limit(shared->settings.body_limit);
        parser.header_limit(static_cast<std::uint32_t>(shared->settings.header_limit));
        stream.expires_after(shared->settings.idle_timeout);
        const error_code read_error = co_await read_request(*caller, parser);
        if (read_error)
        {
            std::optional<response> refusal = parse_failure_answer(read_error);
            if (refusal)
            {
                refusal->keep_alive(false);
                stream.expires_after(write_timeout);
                co_await beast::http::async_write(stream, *refusal, awaiting);
                co_await discard_rest(stream);
            }
            break;
        }
        request received = parser.release();
        const bool wants_keep_alive = received.keep_alive();
        const bool is_head = received.method() == method::head;
        ++shared->in_progress;
        stream.expires_never();
        response answer = co_await answer_request(shared, std::move(received));
        keep = wants_keep_alive && !shared->stopping.load();
        answer.keep_alive(keep);
        stream.expires_after(write_timeout);
        beast::http::response_serializer<beast::http::string_body> serializer{answer};
        serializer.split(is_head);
        std::tuple<error_code, std::size_t> written;
        if (is_head)
        {
            written = co_await beast::http::async_write_header(stream, serializer, awaiting);
        }
        else
        {
            written = co_await beast::http::async_write(stream, serializer, awaiting);
        }
        --shared->in_progress;
        keep = keep && !std::get<0>(written);
    }
    error_code ignored;
    stream.socket().shutdown(asio::ip::tcp::socket::shutdown_send, ignored);
    --shared->connections;
    asio::post(shared->acceptor.get_executor(), [shared, number] { shared->open.erase(number); });
}

template <typename State>
asio::awaitable<void> accept_loop(std::shared_ptr<State> shared)
{
    while (!shared->stopping.load())
    {
        std::tuple<error_code, asio::ip::tcp::socket> accepted =
            co_await shared->acceptor.async_accept(asio::make_strand(shared->executor), awaiting);
        if (std::get<0>(accepted))
        {
            if (!shared->acceptor.is_open())
            {
                co_return;
            }
            asio::steady_timer pause(shared->acceptor.get_executor(), accept_pause);
            co_await pause.async_wait(awaiting);
            continue;
        }
        if (shared->connections.load() >= shared->settings.max_connections)
        {
            continue;
        }
        ++shared->connections;
        asio::ip::tcp::socket socket = std::move(std::get<1>(accepted));
        error_code ignored;
        socket.set_option(asio::ip::tcp::no_delay(true), ignored);
        asio::any_io_executor strand = socket.get_executor();
        const std::uint64_t number = shared->next_number++;
        std::shared_ptr<connection> caller = std::make_shared<connection>(std::move(socket));
        shared->open.emplace(number, caller);
        asio::co_spawn(strand, serve_connection(shared, std::move(caller), number), asio::detached);
    }
}

/// Ends a connection on which no request has begun.
void close_if_idle(const std::weak_ptr<connection>& open)
{
    const std::shared_ptr<connection> caller = open.lock();
    if (caller)
    {
        asio::post(caller->stream.get_executor(),
                   [caller]
                   {
                       if (caller->is_idle())
                       {
                           caller->stream.cancel();
                       }
                   });
    }
}

} // namespace

server::server(std::shared_ptr<state> shared) : state_(std::move(shared)) {}

boost::leaf::result<std::shared_ptr<server>> server::listen(asio::any_io_executor executor,
                                                            const address& where,
                                                            server_settings settings,
                                                            handler answer)
{
    std::shared_ptr<state> shared =
        std::make_shared<state>(std::move(executor), settings, std::move(answer));
    const asio::ip::tcp::endpoint endpoint(asio::ip::make_address(where.ip), where.port);
    error_code error;
    shared->acceptor.open(endpoint.protocol(), error);
    if (!error)
    {
        shared->acceptor.set_option(asio::socket_base::reuse_address(true), error);
    }
    if (!error)
    {
        shared->acceptor.bind(endpoint, error);
    }
    if (!error)
    {
        shared->acceptor.listen(asio::socket_base::max_listen_connections, error);
    }
    if (error)
    {
        return boost::leaf::new_error(input_error{"listen address", where.text(),
                                                  "an address that is free: " + error.message()});
    }
    shared->bound = address{where.ip, shared->acceptor.local_endpoint(error).port()};
    asio::co_spawn(shared->acceptor.get_executor(), accept_loop(shared), asio::detached);
    return std::shared_ptr<server>(new server(shared));
}

const address& server::where() const
{
    return state_->bound;
}

void server::stop()
{
    std::shared_ptr<state> shared = state_;
    shared->stopping.store(true);
    asio::post(shared->acceptor.get_executor(),
               [shared]
               {
                   error_code ignored;
                   shared->acceptor.close(ignored);
                   for (const std::pair<const std::uint64_t, std::weak_ptr<connection>>& entry :
                        shared->open)
                   {
                       close_if_idle(entry.second);
                   }
               });
}

std::size_t server::open_connections() const
{
    return state_->connections.load();
}

std::size_t server::requests_in_progress() const
{
    return state_->in_progress.load();
}

} // namespace lacewingquay::http
