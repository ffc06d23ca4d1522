#include "core/base64.hpp"

#include <array>
#include <cstdint>

namespace lacewingquay
{

namespace
{

constexpr std::string_view alphabet =
    "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";

constexpr std::array<std::int8_t, 256> make_values()
{
    std::array<std::int8_t, 256> values{};
    values.fill(-1);
    for (std::size_t index = 0; index < alphabet.size(); ++index)
    {
        values[static_cast<unsigned char>(alphabet[index])] = static_cast<std::int8_t>(index);
    }
    return values;
}

constexpr std::array<std::int8_t, 256> digit_values = make_values();

} // namespace

std::string base64_encode(std::string_view bytes)
{
    std::string text;
    text.reserve((bytes.size() + 2) / 3 * 4);
    for (std::size_t start = 0; start < bytes.size(); start += 3)
    {
        const std::size_t count = std::min<std::size_t>(3, bytes.size() - start);
        std::uint32_t group = 0;
        for (std::size_t index = 0; index < 3; ++index)
        {
            group <<= 8U;
            group |= index < count ? static_cast<unsigned char>(bytes[start + index]) : 0U;
        }
        for (std::size_t index = 0; index < 4; ++index)
        {
            const std::uint32_t digit = (group >> (18U - 6U * index)) & 63U;
            text.push_back(index <= count ? alphabet[digit] : '=');
        }
    }
    return text;
}

std::optional<std::string> base64_decode(std::string_view text)
{
    if (text.size() % 4 != 0)
    {
        return std::nullopt;
    }
    std::size_t padding = 0;
    while (padding < 2 && !text.empty() && text.back() == '=')
    {
        text.remove_suffix(1);
        ++padding;
    }
    std::string bytes;
    bytes.reserve(text.size() / 4 * 3 + 2);
    std::uint32_t group = 0;
    unsigned bits = 0;
    for (const char digit : text)
    {
        const std::int8_t value = digit_values[static_cast<unsigned char>(digit)];
        if (value < 0)
        {
            return std::nullopt;
        }
        group = (group << 6U) | static_cast<std::uint32_t>(value);
        bits += 6;
        if (bits >= 8)
        {
            bits -= 8;
            bytes.push_back(static_cast<char>((group >> bits) & 255U));
        }
    }
    return bytes;
}

} // namespace lacewingquay
