#pragma once

#include "core/base64.hpp"
#include "http/message.hpp"

#include <boost/json.hpp>

#include <cstddef>
#include <string>

namespace lacewingquay::test
{

/// True if the users' store would not accept the transaction: more than 100 entries, 1 MB, or
/// `max_row_bytes` in one row.
inline bool exceeds_store_limits(const http::request& received, std::size_t max_row_bytes = 65'536)
{
    const boost::json::value work = boost::json::parse(received.body());
    const boost::json::array& writes = work.at("set-keys").as_array();
    bool is_row_too_large = false;
    for (const boost::json::value& write : writes)
    {
        const std::string text(write.at("value").as_string());
        is_row_too_large =
            is_row_too_large || base64_decode(text).value_or("").size() > max_row_bytes;
    }
    const std::size_t entries = writes.size() + work.at("precondition").as_array().size() +
                                work.at("remove").as_array().size();
    return entries > 100 || received.body().size() > 1'000'000 || is_row_too_large;
}

} // namespace lacewingquay::test
