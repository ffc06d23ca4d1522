#include "idempotency/uuid7.hpp"

namespace lacewingquay::idempotency
{

namespace
{

constexpr std::size_t text_size = 36;

bool is_dash_position(std::size_t position)
{
    return position == 8 || position == 13 || position == 18 || position == 23;
}

/// The value of a hexadecimal digit, or 16 for another character.
unsigned digit_value(char character)
{
    if (character >= '0' && character <= '9')
    {
        return static_cast<unsigned>(character - '0');
    }
    if (character >= 'a' && character <= 'f')
    {
        return static_cast<unsigned>(character - 'a') + 10U;
    }
    if (character >= 'A' && character <= 'F')
    {
        return static_cast<unsigned>(character - 'A') + 10U;
    }
    return 16U;
}

} // namespace

std::string uuid7::text() const
{
    constexpr std::string_view digits = "0123456789abcdef";
    std::string result;
    result.reserve(text_size);
    for (unsigned nibble = 0; nibble < 32; ++nibble)
    {
        if (is_dash_position(result.size()))
        {
            result += '-';
        }
        const std::uint64_t half = nibble < 16 ? high : low;
        result += digits[(half >> (60U - 4U * (nibble % 16U))) & 0xfU];
    }
    return result;
}

std::optional<uuid7> parse_uuid7(std::string_view text)
{
    if (text.size() != text_size)
    {
        return std::nullopt;
    }
    uuid7 result;
    unsigned nibble = 0;
    for (std::size_t i = 0; i < text.size(); ++i)
    {
        if (is_dash_position(i))
        {
            if (text[i] != '-')
            {
                return std::nullopt;
            }
            continue;
        }
        const unsigned value = digit_value(text[i]);
        if (value > 15)
        {
            return std::nullopt;
        }
        std::uint64_t& half = nibble < 16 ? result.high : result.low;
        half = (half << 4U) | value;
        ++nibble;
    }
    const bool has_version = ((result.high >> 12U) & 0xfU) == 7;
    const bool has_variant = (result.low >> 62U) == 2;
    return has_version && has_variant ? std::optional<uuid7>(result) : std::nullopt;
}

uuid7 make_uuid7(wall_time issued, std::uint64_t random_high, std::uint64_t random_low)
{
    uuid7 result;
    result.high = (static_cast<std::uint64_t>(unix_milliseconds(issued)) << 16U) | 0x7000U |
                  (random_high & 0xfffU);
    result.low = (std::uint64_t{2} << 62U) | (random_low >> 2U);
    return result;
}

} // namespace lacewingquay::idempotency
