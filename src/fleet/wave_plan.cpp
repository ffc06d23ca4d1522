#include "fleet/wave_plan.hpp"

#include <algorithm>

namespace lacewingquay::fleet
{

namespace
{

/// Machines of one kind that are left in a wave.
struct wave_share
{
    int remaining = 0;
    int draining = 0;
    std::vector<const wave_machine*> busy;
};

/// Number of machines to be drained at once so that all `remaining` are done within `time`.
int pace_for(int remaining, milliseconds time, const wave& definition, const wave_settings& values)
{
    const std::int64_t rounds = std::max<std::int64_t>(1, time / values.machine_turnaround);
    const int pace = static_cast<int>((remaining + rounds - 1) / rounds);
    return std::min(definition.max_away, std::max(1, pace));
}

void drain_more(wave_share& share, int limit, wave_step& step)
{
    std::sort(share.busy.begin(), share.busy.end(),
              [](const wave_machine* left_machine, const wave_machine* right_machine)
              {
                  return left_machine->tasks != right_machine->tasks
                             ? left_machine->tasks < right_machine->tasks
                             : left_machine->name < right_machine->name;
              });
    for (const wave_machine* machine : share.busy)
    {
        if (share.draining >= limit)
        {
            break;
        }
        ++share.draining;
        step.drain.push_back(machine->name);
    }
}

} // namespace

wave_step plan_wave(const wave& definition, std::span<const wave_machine> machines,
                    int in_maintenance, milliseconds time_left, const wave_settings& values)
{
    wave_step step;
    int free_slots = definition.max_away - in_maintenance;
    wave_share long_running;
    wave_share others;
    for (const wave_machine& machine : machines)
    {
        if (machine.missing)
        {
            continue;
        }
        wave_share& share = machine.long_running_tasks > 0 ? long_running : others;
        ++share.remaining;
        if (!machine.available)
        {
            continue;
        }
        const bool ready = machine.idle || (machine.draining && machine.can_interrupt &&
                                            machine.draining_for >= values.max_drain_time);
        if (ready && free_slots > 0)
        {
            --free_slots;
            step.maintain.push_back(machine.name);
            continue;
        }
        share.draining += machine.draining ? 1 : 0;
        if (!machine.draining)
        {
            share.busy.push_back(&machine);
        }
    }
    const milliseconds time = std::max(time_left - values.safety_margin, values.machine_turnaround);
    // Disruption budgets allow few stops of long-running tasks at a time, and an outage of the
    // store delays them further, so these machines are to be done in half of the time.
    drain_more(long_running, pace_for(long_running.remaining, time / 2, definition, values), step);
    drain_more(others, pace_for(others.remaining, time, definition, values), step);
    return step;
}

} // namespace lacewingquay::fleet
