#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace lacewingquay::membership
{

/// One start of an entry host: `<id>#<start time in ms>`.
struct incarnation
{
    std::string id;
    /// Milliseconds since the Unix epoch.
    std::int64_t started_at = 0;

    [[nodiscard]] std::string text() const { return id + "#" + std::to_string(started_at); }
};

/// Parses `<id>#<start time in ms>`; `std::nullopt` if the text has another form.
[[nodiscard]] std::optional<incarnation> parse_incarnation(std::string_view text);

/// True if both are incarnations of the same id and `candidate` started later than `known`.
[[nodiscard]] bool is_newer_incarnation(std::string_view candidate, std::string_view known);

} // namespace lacewingquay::membership
