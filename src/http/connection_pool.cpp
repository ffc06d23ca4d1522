#include "http/connection_pool.hpp"

#include <algorithm>
#include <iterator>
#include <utility>

namespace lacewingquay::http
{

connection_pool::connection_pool(boost::asio::any_io_executor executor, pool_settings settings)
    : executor_(std::move(executor)), settings_(settings)
{
}

std::optional<connection_pool::pooled_connection> connection_pool::take_idle(const address& server,
                                                                             std::int64_t peer)
{
    const auto found = idle_.find(server.text());
    if (found == idle_.end())
    {
        return std::nullopt;
    }
    const std::chrono::steady_clock::time_point oldest =
        std::chrono::steady_clock::now() - settings_.idle_limit;
    std::deque<pooled_connection>& list = found->second;
    while (!list.empty() && list.front().idle_since < oldest)
    {
        list.pop_front();
    }
    const auto latest = std::find_if(list.rbegin(), list.rend(),
                                     [&](const pooled_connection& entry)
                                     { return peer == 0 || entry.peer == peer; });
    if (latest == list.rend())
    {
        return std::nullopt;
    }
    pooled_connection entry = std::move(*latest);
    list.erase(std::prev(latest.base()));
    return entry;
}

void connection_pool::give_back(pooled_connection entry)
{
    std::deque<pooled_connection>& list = idle_[entry.connection->server().text()];
    entry.idle_since = std::chrono::steady_clock::now();
    list.push_back(std::move(entry));
    if (list.size() > settings_.max_idle)
    {
        list.pop_front();
    }
}

void connection_pool::identify(const address& server, std::uint64_t connection, std::int64_t peer)
{
    const auto found = idle_.find(server.text());
    if (found == idle_.end())
    {
        return;
    }
    for (pooled_connection& entry : found->second)
    {
        if (entry.number == connection)
        {
            entry.peer = peer;
        }
    }
}

boost::asio::awaitable<exchange_result>
connection_pool::call(const address& server, request message, std::chrono::milliseconds timeout)
{
    co_return co_await call(server, std::move(message), timeout, {});
}

boost::asio::awaitable<exchange_result> connection_pool::call(const address& server,
                                                              request message,
                                                              std::chrono::milliseconds timeout,
                                                              std::function<bool()> may_start)
{
    exchange_limits limits;
    limits.deadline = std::chrono::steady_clock::now() + timeout;
    limits.may_start = std::move(may_start);
    co_return co_await call(server, std::move(message), std::move(limits));
}

boost::asio::awaitable<exchange_result>
connection_pool::call(const address& server, request message, exchange_limits limits)
{
    std::optional<pooled_connection> entry = take_idle(server, 0);
    if (!entry)
    {
        entry.emplace();
        entry->connection = std::make_unique<client_connection>(executor_, server);
        entry->number = ++opened_;
    }
    co_return co_await exchange(std::move(*entry), std::move(message), std::move(limits));
}

boost::asio::awaitable<std::optional<exchange_result>>
connection_pool::call_peer(const address& server, std::int64_t peer, request& message,
                           exchange_limits& limits)
{
    std::optional<pooled_connection> entry = take_idle(server, peer);
    while (entry && !entry->connection->check_open())
    {
        entry = take_idle(server, peer);
    }
    if (!entry)
    {
        co_return std::nullopt;
    }
    limits.may_connect = false;
    co_return co_await exchange(std::move(*entry), std::move(message), std::move(limits));
}

boost::asio::awaitable<exchange_result>
connection_pool::exchange(pooled_connection entry, request message, exchange_limits limits)
{
    const std::uint64_t connects = entry.connection->connects();
    exchange_result result =
        co_await entry.connection->exchange(std::move(message), std::move(limits));
    result.connection = entry.number;
    if (entry.connection->connects() != connects)
    {
        entry.peer = 0;
    }
    if (entry.connection->is_open())
    {
        give_back(std::move(entry));
    }
    co_return result;
}

} // namespace lacewingquay::http
