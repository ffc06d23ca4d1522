#pragma once

#include <cstdint>
#include <string>
#include <string_view>

namespace lacewingquay::fleet
{

/// What the plans for a machine mean for a backend server on it.
struct server_marks
{
    /// No new runs.
    bool closed = false;
    /// An order that ends all its runs is about to be sent or under way.
    bool ending = false;

    friend bool operator==(const server_marks&, const server_marks&) = default;
};

/// The plans for a machine that concern its backend server.
struct machine_plans
{
    /// An order is in flight, or its effect is not visible yet.
    bool ordered = false;
    /// The backend server that the order terminates; empty if the machine had none.
    std::string_view former_server;
    std::int64_t former_born = 0;
    /// Being emptied for a move or a wave.
    bool draining = false;
};

/// Derives the marks of the server incarnation `id` that started at `born`. They are derived anew
/// rather than set and cleared, so that they end with their reason, whether or not the server is
/// registered at that moment.
[[nodiscard]] inline server_marks marks_of(const machine_plans& plans, std::string_view id,
                                           std::int64_t born)
{
    const bool ending = plans.ordered && plans.former_server == id && plans.former_born == born;
    return {ending || plans.draining, ending};
}

} // namespace lacewingquay::fleet
