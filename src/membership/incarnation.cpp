#include "membership/incarnation.hpp"

#include <charconv>

namespace lacewingquay::membership
{

std::optional<incarnation> parse_incarnation(std::string_view text)
{
    const std::size_t separator = text.rfind('#');
    if (separator == std::string_view::npos || separator == 0)
    {
        return std::nullopt;
    }
    const std::string_view digits = text.substr(separator + 1);
    incarnation parsed;
    parsed.id = std::string(text.substr(0, separator));
    const std::from_chars_result end =
        std::from_chars(digits.data(), digits.data() + digits.size(), parsed.started_at);
    if (digits.empty() || end.ec != std::errc() || end.ptr != digits.data() + digits.size() ||
        parsed.started_at < 0)
    {
        return std::nullopt;
    }
    return parsed;
}

bool is_newer_incarnation(std::string_view candidate, std::string_view known)
{
    const std::optional<incarnation> left = parse_incarnation(candidate);
    const std::optional<incarnation> right = parse_incarnation(known);
    return left && right && left->id == right->id && left->started_at > right->started_at;
}

} // namespace lacewingquay::membership
