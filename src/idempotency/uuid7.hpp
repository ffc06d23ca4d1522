#pragma once

#include "core/clock.hpp"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace lacewingquay::idempotency
{

/// A UUID of version 7 (RFC 9562 section 5.7). Ordered by time of issue first.
struct uuid7
{
    std::uint64_t high = 0;
    std::uint64_t low = 0;

    /// The time of issue, from the 48-bit count of Unix milliseconds in the most significant bits.
    [[nodiscard]] wall_time issued_at() const
    {
        return wall_time{milliseconds{static_cast<std::int64_t>(high >> 16U)}};
    }

    /// The 36-character form in lower case.
    [[nodiscard]] std::string text() const;

    friend bool operator==(const uuid7&, const uuid7&) = default;

    friend bool operator<(const uuid7& left, const uuid7& right)
    {
        return left.high != right.high ? left.high < right.high : left.low < right.low;
    }
};

/// Parses the form of RFC 9562 section 4 (8-4-4-4-12 hexadecimal digits of either case). Empty if
/// the form, the version (7) or the variant (binary 10) is wrong.
std::optional<uuid7> parse_uuid7(std::string_view text);

/// A UUIDv7 with the given time of issue and random bits.
uuid7 make_uuid7(wall_time issued, std::uint64_t random_high, std::uint64_t random_low);

} // namespace lacewingquay::idempotency
