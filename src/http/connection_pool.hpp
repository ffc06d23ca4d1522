#pragma once

#include "core/address.hpp"
#include "http/client.hpp"

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>

#include <chrono>
#include <cstddef>
#include <deque>
#include <functional>
#include <map>
#include <memory>
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

    /// Connections opened so far.
    [[nodiscard]] std::uint64_t opened() const { return opened_; }

private:
    struct idle_connection
    {
        std::unique_ptr<client_connection> connection;
        std::chrono::steady_clock::time_point since;
    };

    std::unique_ptr<client_connection> take(const address& server);
    void give_back(const std::string& key, std::unique_ptr<client_connection> connection);

    boost::asio::any_io_executor executor_;
    pool_settings settings_;
    std::map<std::string, std::deque<idle_connection>> idle_;
    std::uint64_t opened_ = 0;
};

} // namespace lacewingquay::http
