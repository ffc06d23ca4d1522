#pragma once

#include <cstdint>
#include <string_view>

namespace lacewingquay
{

/// Says whether a request may have run at a backend server.
enum class verdict : std::uint8_t
{
    /// Proven not to have run: nothing was written, or the backend server refused it by protocol.
    not_run,
    /// At least one byte may have reached a backend server and no complete answer came back.
    may_have_run,
    /// A complete answer came back.
    completed
};

/// The value of the header `Lacewingquay-Verdict`.
[[nodiscard]] constexpr std::string_view to_string(verdict value)
{
    switch (value)
    {
    case verdict::not_run:
        return "not-run";
    case verdict::may_have_run:
        return "may-have-run";
    case verdict::completed:
        return "completed";
    }
    return "may-have-run";
}

} // namespace lacewingquay
