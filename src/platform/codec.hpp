#pragma once

#include "http/message.hpp"
#include "platform/port.hpp"

#include <boost/leaf.hpp>

#include <cstddef>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace lacewingquay::platform
{

/// JSON bodies of the platform's HTTP interface. All `decode` functions fail with `input_error`.

[[nodiscard]] std::string encode_transaction(const transaction& changes);
boost::leaf::result<transaction> decode_transaction(std::string_view text);

/// The answer to a committed transaction: the new versions in the order of the writes.
[[nodiscard]] std::string encode_versions(std::span<const std::uint64_t> versions);
boost::leaf::result<std::vector<std::uint64_t>> decode_versions(std::string_view text);

[[nodiscard]] std::string encode_conflict(std::string_view key);
boost::leaf::result<std::string> decode_conflict(std::string_view text);

[[nodiscard]] std::string encode_row(const row& value);
boost::leaf::result<row> decode_row(std::string_view text);

/// One page of rows; `more` says that a further page may follow.
struct row_page
{
    std::vector<row> rows;
    bool more = false;
};

[[nodiscard]] std::string encode_page(const row_page& page);
boost::leaf::result<row_page> decode_page(std::string_view text);

[[nodiscard]] std::string encode_hosts(std::span<const listed_host> hosts);
boost::leaf::result<std::vector<listed_host>> decode_hosts(std::string_view text);

/// Bytes of a message on the wire: start line, header fields and body.
template <bool IsRequest>
[[nodiscard]] std::size_t
wire_size(const boost::beast::http::message<IsRequest, boost::beast::http::string_body>& message)
{
    // "HTTP/1.1", two blanks, and the line ends after the start line and the header.
    std::size_t size = 8 + 2 + 4 + message.body().size();
    if constexpr (IsRequest)
    {
        size += message.method_string().size() + message.target().size();
    }
    else
    {
        size += 3 + message.reason().size();
    }
    for (const auto& field : message)
    {
        size += field.name_string().size() + field.value().size() + 4;
    }
    return size;
}

} // namespace lacewingquay::platform
