#include "http/connection_pool.hpp"

#include <utility>

namespace lacewingquay::http
{

connection_pool::connection_pool(boost::asio::any_io_executor executor, pool_settings settings)
    : executor_(std::move(executor)), settings_(settings)
{
}

std::unique_ptr<client_connection> connection_pool::take(const address& server)
{
    const auto found = idle_.find(server.text());
    if (found != idle_.end())
    {
        const std::chrono::steady_clock::time_point oldest =
            std::chrono::steady_clock::now() - settings_.idle_limit;
        std::deque<idle_connection>& list = found->second;
        while (!list.empty() && list.front().since < oldest)
        {
            list.pop_front();
        }
        if (!list.empty())
        {
            std::unique_ptr<client_connection> connection = std::move(list.back().connection);
            list.pop_back();
            return connection;
        }
    }
    ++opened_;
    return std::make_unique<client_connection>(executor_, server);
}

void connection_pool::give_back(const std::string& key,
                                std::unique_ptr<client_connection> connection)
{
    std::deque<idle_connection>& list = idle_[key];
    list.push_back({std::move(connection), std::chrono::steady_clock::now()});
    if (list.size() > settings_.max_idle)
    {
        list.pop_front();
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
    std::unique_ptr<client_connection> connection = take(server);
    exchange_result result = co_await connection->exchange(std::move(message), std::move(limits));
    if (connection->is_open())
    {
        give_back(server.text(), std::move(connection));
    }
    co_return result;
}

} // namespace lacewingquay::http
