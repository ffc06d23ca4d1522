#include "fleet/wave_plan.hpp"

#include <algorithm>

namespace lacewingquay::fleet
{

wave_step plan_wave(const wave& definition, std::span<const wave_machine> machines,
                    int in_maintenance, milliseconds time_left, const wave_settings& values)
{
    wave_step step;
    int free_slots = definition.max_away - in_maintenance;
    int draining = 0;
    int remaining = 0;
    std::vector<const wave_machine*> busy;
    for (const wave_machine& machine : machines)
    {
        if (machine.missing)
        {
            continue;
        }
        ++remaining;
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
        draining += machine.draining ? 1 : 0;
        if (!machine.draining)
        {
            busy.push_back(&machine);
        }
    }
    const milliseconds time = std::max(time_left - values.safety_margin, values.machine_turnaround);
    const std::int64_t rounds = std::max<std::int64_t>(1, time / values.machine_turnaround);
    const int pace = static_cast<int>((remaining + rounds - 1) / rounds);
    const int limit = std::min(definition.max_away, std::max(1, pace));
    std::sort(busy.begin(), busy.end(),
              [](const wave_machine* left_machine, const wave_machine* right_machine)
              {
                  if (left_machine->long_running_tasks != right_machine->long_running_tasks)
                  {
                      return left_machine->long_running_tasks < right_machine->long_running_tasks;
                  }
                  if (left_machine->tasks != right_machine->tasks)
                  {
                      return left_machine->tasks < right_machine->tasks;
                  }
                  return left_machine->name < right_machine->name;
              });
    for (const wave_machine* machine : busy)
    {
        if (draining >= limit)
        {
            break;
        }
        ++draining;
        step.drain.push_back(machine->name);
    }
    return step;
}

} // namespace lacewingquay::fleet
