#pragma once

#include "core/error.hpp"

#include <boost/leaf.hpp>

#include <cstdint>
#include <string>
#include <string_view>

namespace lacewingquay
{

/// An IP number and port.
struct address
{
    std::string ip;
    std::uint16_t port = 0;

    [[nodiscard]] std::string text() const { return ip + ":" + std::to_string(port); }

    friend bool operator==(const address&, const address&) = default;
};

/// Parses `IP:PORT` (IPv4); fails with `input_error` naming `where`. Host names are refused, as
/// processes talk by IP number.
boost::leaf::result<address> parse_address(std::string_view text, std::string_view where);

} // namespace lacewingquay
