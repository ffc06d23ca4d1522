#pragma once

#include "core/address.hpp"
#include "core/verdict.hpp"
#include "http/message.hpp"

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>
#include <boost/beast/core.hpp>

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <optional>
#include <string>

namespace lacewingquay::http
{

/// Limits of one exchange.
struct exchange_limits
{
    /// The first byte is written before this, or the request is not run.
    std::chrono::steady_clock::time_point start_by = std::chrono::steady_clock::time_point::max();
    /// Checked immediately before the first byte is written; if it returns false, the request is
    /// not run. Empty means that the request is always permitted.
    std::function<bool()> may_start;
    /// False to use the connection as it is: it is neither checked nor made anew.
    bool may_connect = true;
    /// The whole answer is read before this.
    std::chrono::steady_clock::time_point deadline = std::chrono::steady_clock::time_point::max();
    /// An answer that arrives in parts is read beyond `deadline` as long as no part of it is later
    /// than this after the one before; zero if `deadline` holds for all of it.
    std::chrono::milliseconds idle_timeout{0};
    /// Most time beyond `deadline` that `idle_timeout` grants. Needs a finite `deadline`.
    std::chrono::milliseconds max_extension{0};
    /// Largest accepted body of the answer, in bytes.
    std::size_t body_limit = 16U << 20U;
};

/// Why an exchange brought no answer.
enum class exchange_failure : std::uint8_t
{
    none,
    /// No connection could be made.
    connect,
    /// The host refused the connection: no process listens at the address.
    refused,
    /// The first byte could not be written in time, or was no longer permitted.
    start_by_passed,
    /// No whole answer in time; the server may still be working on the request.
    timeout,
    /// The server closed or reset the connection before the answer was whole.
    closed,
    /// The answer was not valid HTTP, too large, or had no length, so that its end is unknown.
    malformed
};

/// The outcome of one exchange.
struct exchange_result
{
    /// `not_run` if nothing was written, `completed` if a whole answer was read, else
    /// `may_have_run`.
    verdict outcome = verdict::not_run;
    exchange_failure failure = exchange_failure::none;
    /// Set if `outcome` is `completed`.
    std::optional<response> answer;
    /// What went wrong, for logs; empty on success.
    std::string reason;
    /// Number of the connection among those of its pool; zero if it was not pooled.
    std::uint64_t connection = 0;
};

/// One HTTP/1.1 connection to a server, with one exchange at a time. After any failure, an answer
/// that ends the connection, or surplus bytes behind an answer, the connection is closed and never
/// reused, so that a late answer cannot reach another request. Interim (1xx) answers are skipped.
/// An answer whose end is marked only by the end of the connection counts as malformed, because its
/// truncation would not be noticed (RFC 9112 section 8).
/// Not thread-safe; runs on the executor it was given.
class client_connection
{
public:
    client_connection(boost::asio::any_io_executor executor, address server);

    /// Sends `message` and reads the answer within `timeout`, connecting first if needed. Bodies
    /// over `body_limit` bytes count as failures. A connection that the server has closed while it
    /// was idle is replaced before anything is written.
    boost::asio::awaitable<exchange_result> exchange(request message,
                                                     std::chrono::milliseconds timeout,
                                                     std::size_t body_limit = 16U << 20U);

    /// As above, with separate limits for the start and the end of the exchange.
    boost::asio::awaitable<exchange_result> exchange(request message, exchange_limits limits);

    /// The executor that all calls must run on.
    [[nodiscard]] boost::asio::any_io_executor executor() { return stream_.get_executor(); }

    /// True if the connection can be used for another exchange.
    [[nodiscard]] bool is_open() const { return open_; }

    /// How often it has been connected.
    [[nodiscard]] std::uint64_t connects() const { return connects_; }

    /// Closes the connection; an exchange in progress fails.
    void close();

    /// Closes the idle connection if the server has closed it or sent something unasked. Returns
    /// true if it is open.
    bool check_open();

    [[nodiscard]] const address& server() const { return server_; }

private:
    boost::asio::awaitable<bool> connect(std::chrono::steady_clock::time_point deadline,
                                         exchange_result& result);
    boost::asio::awaitable<void> read_answer(bool is_head, const exchange_limits& limits,
                                             exchange_result& result);
    /// Reads one message. The deadline moves as `limits` say while it arrives.
    template <typename Parser>
    boost::asio::awaitable<boost::system::error_code> read_message(Parser& parser,
                                                                   const exchange_limits& limits);
    void fail(exchange_result& result, exchange_failure failure, std::string reason);
    /// True if the server has closed the idle connection or sent something unasked.
    [[nodiscard]] bool is_stale();

    address server_;
    boost::beast::tcp_stream stream_;
    boost::beast::flat_buffer buffer_;
    bool open_ = false;
    std::uint64_t connects_ = 0;
};

} // namespace lacewingquay::http
