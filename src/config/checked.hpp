#pragma once

#include "core/error.hpp"

#include <boost/leaf.hpp>

#include <optional>
#include <string>
#include <utility>

namespace lacewingquay::config
{

/// A parsed value, or why the input was refused. Unlike `leaf::result` it can be kept across a
/// suspension of a coroutine.
template <typename T>
struct checked
{
    std::optional<T> value;
    /// Empty if there is a value.
    std::string refusal;
};

/// Calls a function that returns `leaf::result<T>` and fails with `input_error`.
template <typename Function>
auto check_input(Function function)
{
    using value_type = std::decay_t<decltype(function().value())>;
    return boost::leaf::try_handle_all(
        [&]() -> boost::leaf::result<checked<value_type>>
        {
            BOOST_LEAF_AUTO(value, function());
            return checked<value_type>{std::move(value), {}};
        },
        [](const input_error& error) {
            return checked<value_type>{{}, error.message()};
        },
        [] {
            return checked<value_type>{{}, "unknown error"};
        });
}

} // namespace lacewingquay::config
