#include "http/client.hpp"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <algorithm>
#include <tuple>

namespace lacewingquay::http
{

namespace asio = boost::asio;
namespace beast = boost::beast;

using boost::system::error_code;

namespace
{

constexpr asio::as_tuple_t<asio::use_awaitable_t<>> awaiting{};

/// Bounds the time that a server can spend on interim answers.
constexpr int max_interim_answers = 8;

exchange_failure failure_of_read(error_code error)
{
    if (error == beast::error::timeout)
    {
        return exchange_failure::timeout;
    }
    const bool is_protocol_error =
        error.category() == make_error_code(beast::http::error::bad_status).category();
    if (is_protocol_error && error != beast::http::error::end_of_stream &&
        error != beast::http::error::partial_message)
    {
        return exchange_failure::malformed;
    }
    return exchange_failure::closed;
}

void refuse_late_start(exchange_result& result)
{
    result.failure = exchange_failure::start_by_passed;
    result.reason = "the latest start has passed";
}

} // namespace

client_connection::client_connection(asio::any_io_executor executor, address server)
    : server_(std::move(server)), stream_(std::move(executor))
{
}

void client_connection::close()
{
    open_ = false;
    error_code ignored;
    stream_.socket().close(ignored);
    buffer_.clear();
}

bool client_connection::check_open()
{
    if (open_ && is_stale())
    {
        close();
    }
    return open_;
}

bool client_connection::is_stale()
{
    asio::ip::tcp::socket& socket = stream_.socket();
    error_code error;
    socket.non_blocking(true, error);
    if (error)
    {
        return true;
    }
    char byte = 0;
    const std::size_t count =
        socket.receive(asio::buffer(&byte, 1), asio::socket_base::message_peek, error);
    return count > 0 || error != asio::error::would_block;
}

asio::awaitable<bool> client_connection::connect(std::chrono::steady_clock::time_point deadline,
                                                 exchange_result& result)
{
    error_code malformed;
    const asio::ip::tcp::endpoint endpoint(asio::ip::make_address(server_.ip, malformed),
                                           server_.port);
    if (malformed)
    {
        result.failure = exchange_failure::connect;
        result.reason = "connect: '" + server_.ip + "' is not an IP number";
        co_return false;
    }
    stream_.expires_at(deadline);
    const std::tuple<error_code> connected = co_await stream_.async_connect(endpoint, awaiting);
    const error_code error = std::get<0>(connected);
    if (error)
    {
        result.failure = error == asio::error::connection_refused ? exchange_failure::refused
                                                                  : exchange_failure::connect;
        result.reason = "connect: " + error.message();
        close();
        co_return false;
    }
    error_code ignored;
    stream_.socket().set_option(asio::ip::tcp::no_delay(true), ignored);
    // Closing resets the connection, so that the kernel does not deliver a request that was given
    // up once a partition has healed. An answer has been read in full before a connection is
    // closed.
    stream_.socket().set_option(asio::socket_base::linger(true, 0), ignored);
    open_ = true;
    ++connects_;
    co_return true;
}

void client_connection::fail(exchange_result& result, exchange_failure failure, std::string reason)
{
    result.failure = failure;
    result.reason = std::move(reason);
    close();
}

asio::awaitable<exchange_result> client_connection::exchange(request message,
                                                             std::chrono::milliseconds timeout,
                                                             std::size_t body_limit)
{
    exchange_limits limits;
    limits.deadline = std::chrono::steady_clock::now() + timeout;
    limits.body_limit = body_limit;
    co_return co_await exchange(std::move(message), limits);
}

asio::awaitable<exchange_result> client_connection::exchange(request message,
                                                             exchange_limits limits)
{
    exchange_result result;
    if (limits.may_connect)
    {
        check_open();
    }
    if (std::chrono::steady_clock::now() >= limits.start_by)
    {
        refuse_late_start(result);
        co_return result;
    }
    if (!open_ && !limits.may_connect)
    {
        result.failure = exchange_failure::connect;
        result.reason = "the connection has been closed";
        co_return result;
    }
    if (!open_ && !co_await connect(std::min(limits.start_by, limits.deadline), result))
    {
        co_return result;
    }
    if (message.count(beast::http::field::host) == 0)
    {
        message.set(beast::http::field::host, server_.text());
    }
    stream_.expires_at(limits.deadline);
    // Checked as late as possible: a process that was paused until here must not send.
    if (std::chrono::steady_clock::now() >= limits.start_by ||
        (limits.may_start && !limits.may_start()))
    {
        stream_.expires_never();
        refuse_late_start(result);
        co_return result;
    }
    const std::tuple<error_code, std::size_t> written =
        co_await beast::http::async_write(stream_, message, awaiting);
    const error_code write_error = std::get<0>(written);
    if (write_error)
    {
        // The count says what the kernel took; bytes that it took may have arrived.
        result.outcome = std::get<1>(written) == 0 ? verdict::not_run : verdict::may_have_run;
        fail(result,
             write_error == beast::error::timeout ? exchange_failure::timeout
                                                  : exchange_failure::closed,
             "write: " + write_error.message());
        co_return result;
    }
    result.outcome = verdict::may_have_run;
    co_await read_answer(message.method() == method::head, limits, result);
    co_return result;
}

template <typename Parser>
asio::awaitable<error_code> client_connection::read_message(Parser& parser,
                                                            const exchange_limits& limits)
{
    if (limits.idle_timeout.count() == 0)
    {
        const std::tuple<error_code, std::size_t> read =
            co_await beast::http::async_read(stream_, buffer_, parser, awaiting);
        co_return std::get<0>(read);
    }
    parser.eager(true);
    while (!parser.is_done())
    {
        const std::tuple<error_code, std::size_t> read =
            co_await beast::http::async_read_some(stream_, buffer_, parser, awaiting);
        if (std::get<0>(read))
        {
            co_return std::get<0>(read);
        }
        const std::chrono::steady_clock::time_point next =
            std::chrono::steady_clock::now() + limits.idle_timeout;
        stream_.expires_at(
            std::min(std::max(limits.deadline, next), limits.deadline + limits.max_extension));
    }
    co_return error_code();
}

asio::awaitable<void> client_connection::read_answer(bool is_head, const exchange_limits& limits,
                                                     exchange_result& result)
{
    for (int interim = 0; interim <= max_interim_answers; ++interim)
    {
        beast::http::response_parser<beast::http::string_body> parser;
        parser.body_limit(limits.body_limit);
        parser.skip(is_head);
        const error_code error = co_await read_message(parser, limits);
        if (error)
        {
            fail(result, failure_of_read(error), "read: " + error.message());
            co_return;
        }
        const unsigned code = parser.get().result_int();
        if (code >= 100 && code < 200 && code != 101)
        {
            continue;
        }
        if (code == 101 || parser.need_eof() || !has_known_coding(parser.get()))
        {
            fail(result, exchange_failure::malformed, "read: answer without a certain end");
            co_return;
        }
        const bool keep = parser.keep_alive() && buffer_.size() == 0;
        result.answer = parser.release();
        result.outcome = verdict::completed;
        if (!keep)
        {
            close();
        }
        stream_.expires_never();
        co_return;
    }
    fail(result, exchange_failure::malformed, "read: too many interim answers");
}

} // namespace lacewingquay::http
