#pragma once

#include "platform/http_client.hpp"

// g++ 12 reports the allocation of coroutine frames in Boost.Asio, which is paired correctly.
#pragma GCC diagnostic ignored "-Wmismatched-new-delete"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/io_context.hpp>

#include <exception>
#include <optional>
#include <utility>

namespace lacewingquay::platform
{

/// Runs `work`, a function from a port to an awaitable, on a context of its own and returns its
/// result. For commands; blocks the calling thread.
template <typename Function>
auto run_with_platform(const http_client_settings& settings, Function work)
{
    using value_type = typename decltype(work(std::declval<port&>()))::value_type;
    boost::asio::io_context io(1);
    http_client client(io.get_executor(), settings);
    std::optional<value_type> result;
    std::exception_ptr failure;
    boost::asio::co_spawn(io, work(client),
                          [&](std::exception_ptr error, value_type value)
                          {
                              failure = std::move(error);
                              result.emplace(std::move(value));
                          });
    io.run();
    if (failure)
    {
        std::rethrow_exception(failure);
    }
    return std::move(*result);
}

} // namespace lacewingquay::platform
