#pragma once

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/associated_executor.hpp>
#include <boost/asio/post.hpp>

#include <functional>
#include <memory>
#include <utility>

namespace lacewingquay::entry
{

/// Wraps the handler of an awaiting coroutine as a copyable function that may be called once, on
/// any thread; the coroutine resumes on its own executor.
template <typename Answer, typename Handler>
std::function<void(Answer)> make_completion(Handler handler)
{
    std::shared_ptr<Handler> shared = std::make_shared<Handler>(std::move(handler));
    return [shared](Answer answer)
    {
        boost::asio::any_io_executor executor = boost::asio::get_associated_executor(*shared);
        boost::asio::post(executor, [shared, answer = std::move(answer)]() mutable
                          { (*shared)(std::move(answer)); });
    };
}

} // namespace lacewingquay::entry
