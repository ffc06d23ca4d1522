#pragma once

#include "core/json.hpp"
#include "core/log.hpp"

#include <boost/leaf.hpp>

#include <cstdint>
#include <exception>
#include <optional>
#include <string_view>
#include <type_traits>

namespace lacewingquay
{

/// The value that `parse` returns. If the input cannot be used, logs `event` with the input's key,
/// its version and the reason, and returns nothing. An exception counts as such an input, as it
/// would end the coroutine that reads a list.
template <typename Parse>
[[nodiscard]] auto parse_or_log(std::string_view event, std::string_view key, std::int64_t version,
                                Parse&& parse)
    -> std::optional<std::decay_t<decltype(parse().value())>>
{
    using value_type = std::decay_t<decltype(parse().value())>;
    const auto note = [&](std::string_view reason)
    {
        log_event(log_level::error, event,
                  {{"key", key}, {"row_version", version}, {"reason", reason}});
        return std::optional<value_type>();
    };
    try
    {
        return boost::leaf::try_handle_all(
            [&]() -> boost::leaf::result<std::optional<value_type>>
            {
                BOOST_LEAF_AUTO(value, parse());
                return std::optional<value_type>(std::move(value));
            },
            [&](const input_error& error) { return note(error.message()); },
            [&] { return note("not readable"); });
    }
    catch (const std::exception& error)
    {
        return note(error.what());
    }
}

} // namespace lacewingquay
