#pragma once

#include "core/address.hpp"
#include "http/client.hpp"

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>

namespace lacewingquay::http
{

/// Settings of `connection_pool`.
struct pool_settings
{
    /// Idle connections kept for each server.
    std::size_t max_idle = 4;
    /// An idle connection is closed after this time; below the usual idle timeout of servers.
    std::chrono::milliseconds idle_limit{12'000};
};

/// Reuses connections to many servers. A connection carries one exchange at a time, so that a call
/// that gets no answer delays no other. Not thread-safe.
class connection_pool
{
public:
    connection_pool(boost::asio::any_io_executor executor, pool_settings settings);

    /// Sends `message` to `server` and reads the answer within `timeout`.
    boost::asio::awaitable<exchange_result> call(const address& server, request message,
                                                 std::chrono::milliseconds timeout);

    /// As above. `may_start` is checked immediately before the first byte is written; if it returns
    /// false, nothing is sent and the outcome is `not_run`.
    boost::asio::awaitable<exchange_result> call(const address& server, request message,
                                                 std::chrono::milliseconds timeout,
                                                 std::function<bool()> may_start);

    /// As above, with all limits of the exchange.
    boost::asio::awaitable<exchange_result> call(const address& server, request message,
                                                 exchange_limits limits);

    /// As above, only on an open connection that `identify` has assigned to `peer`, so that no
    /// later process at the same address receives the message. Nothing if there is none; `message`
    /// and `limits` are unchanged then, else they are moved from.
    boost::asio::awaitable<std::optional<exchange_result>>
    call_peer(const address& server, std::int64_t peer, request& message, exchange_limits& limits);

    /// Notes which process answers on a connection, by the number in its latest result. `peer` is
    /// any number but zero. The note ends with the connection.
    void identify(const address& server, std::uint64_t connection, std::int64_t peer);

    /// Connections opened so far.
    [[nodiscard]] std::uint64_t opened() const { return opened_; }

private:
    struct pooled_connection
    {
        std::unique_ptr<client_connection> connection;
        std::uint64_t number = 0;
        /// Who answers on it; zero if that is not known.
        std::int64_t peer = 0;
        std::chrono::steady_clock::time_point idle_since{};
    };

    /// An idle connection, of `peer` if that is not zero; nothing if there is none.
    std::optional<pooled_connection> take_idle(const address& server, std::int64_t peer);
    boost::asio::awaitable<exchange_result> exchange(pooled_connection entry, request message,
                                                     exchange_limits limits);
    void give_back(pooled_connection entry);

    boost::asio::any_io_executor executor_;
    pool_settings settings_;
    std::map<std::string, std::deque<pooled_connection>> idle_;
    std::uint64_t opened_ = 0;
};

} // namespace lacewingquay::http
