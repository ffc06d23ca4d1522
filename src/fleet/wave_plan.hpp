#pragma once

#include "core/clock.hpp"
#include "fleet/model.hpp"

#include <chrono>
#include <set>
#include <span>
#include <string>
#include <vector>

/// Pace and order of a maintenance wave.
namespace lacewingquay::fleet
{

/// A machine of a wave, as of now.
struct wave_machine
{
    std::string name;
    /// Up or off, and no other order for it is under way.
    bool available = false;
    /// No longer known to the platform: it has been taken away.
    bool missing = false;
    /// Nothing runs there.
    bool idle = false;
    /// Its lasting tasks may be ended now within their disruption budgets.
    bool can_interrupt = false;
    int tasks = 0;
    int lasting = 0;
    /// Already closed for this wave.
    bool closing = false;
    milliseconds closing_for{0};
};

struct wave_settings
{
    /// Time that one machine takes from being closed until it is back: its maintenance, the end of
    /// its runs and its registration.
    milliseconds round{4'500};
    /// Kept back from the wave's duration.
    milliseconds reserve{3'000};
    /// A closed machine whose runs do not end is taken after this time if budgets allow it.
    milliseconds longest_drain{3'000};
};

/// What to do for a wave now.
struct wave_step
{
    /// Machines to be closed for new runs and evacuated.
    std::vector<std::string> close;
    /// Machines to be maintained at once.
    std::vector<std::string> maintain;
};

/// Chooses the next machines of `wave`. `away` machines of it are being maintained; `left` is the
/// time until it has to be finished. Idle machines go first; others are closed at the pace that the
/// time left asks for.
[[nodiscard]] wave_step plan_wave(const wave& wanted, std::span<const wave_machine> machines,
                                  int away, milliseconds left, const wave_settings& values);

} // namespace lacewingquay::fleet
