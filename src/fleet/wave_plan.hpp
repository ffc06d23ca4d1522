#pragma once

#include "core/clock.hpp"
#include "fleet/model.hpp"

#include <chrono>
#include <set>
#include <span>
#include <string>
#include <vector>

/// Order and pace in which the machines of a maintenance wave are taken.
namespace lacewingquay::fleet
{

/// Current state of a machine of a wave that has not been maintained yet.
struct wave_machine
{
    std::string name;
    /// Can be ordered: neither moving nor in maintenance, and no other order is outstanding.
    bool available = false;
    /// No longer listed by the platform.
    bool missing = false;
    /// Without runs.
    bool idle = false;
    /// Ending all runs on it now would keep all disruption budgets.
    bool can_interrupt = false;
    /// Number of runs on it, and of long-running ones among them.
    int tasks = 0;
    int long_running_tasks = 0;
    /// Already being drained for this wave, and for how long.
    bool draining = false;
    milliseconds draining_for{0};
};

/// Settings of `plan_wave`.
struct wave_settings
{
    /// Time from closing a machine for new runs until it is back: the end of its runs, its
    /// maintenance and its registration.
    milliseconds machine_turnaround{4'500};
    /// Safety margin at the end of the wave's duration.
    milliseconds safety_margin{3'000};
    /// A machine whose runs have not ended after this time is maintained if the disruption budgets
    /// allow it.
    milliseconds max_drain_time{3'000};
};

/// Actions to be taken for a wave now.
struct wave_step
{
    /// Machines to be closed for new runs and evacuated.
    std::vector<std::string> drain;
    /// Machines to go into maintenance now.
    std::vector<std::string> maintain;
};

/// Chooses the next machines of a wave. `in_maintenance` of its machines are in maintenance;
/// `time_left` is the time until it must be finished. Idle machines are maintained first; busy ones
/// are closed for new runs at the pace that the remaining time requires, those with long-running
/// tasks at twice that pace.
[[nodiscard]] wave_step plan_wave(const wave& definition, std::span<const wave_machine> machines,
                                  int in_maintenance, milliseconds time_left,
                                  const wave_settings& values);

} // namespace lacewingquay::fleet
