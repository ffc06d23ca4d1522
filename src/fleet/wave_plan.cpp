#include "fleet/wave_plan.hpp"

#include <algorithm>

namespace lacewingquay::fleet
{

wave_step plan_wave(const wave& wanted, std::span<const wave_machine> machines, int away,
                    milliseconds left, const wave_settings& values)
{
    wave_step step;
    int free_places = wanted.max_away - away;
    int closing = 0;
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
        const bool drained = machine.idle || (machine.closing && machine.can_interrupt &&
                                              machine.closing_for >= values.longest_drain);
        if (drained && free_places > 0)
        {
            --free_places;
            step.maintain.push_back(machine.name);
            continue;
        }
        closing += machine.closing ? 1 : 0;
        if (!machine.closing)
        {
            busy.push_back(&machine);
        }
    }
    const milliseconds time = std::max(left - values.reserve, values.round);
    const std::int64_t rounds = std::max<std::int64_t>(1, time / values.round);
    const int pace = static_cast<int>((remaining + rounds - 1) / rounds);
    const int limit = std::min(wanted.max_away, std::max(1, pace));
    std::sort(busy.begin(), busy.end(),
              [](const wave_machine* left_machine, const wave_machine* right_machine)
              {
                  if (left_machine->lasting != right_machine->lasting)
                  {
                      return left_machine->lasting < right_machine->lasting;
                  }
                  if (left_machine->tasks != right_machine->tasks)
                  {
                      return left_machine->tasks < right_machine->tasks;
                  }
                  return left_machine->name < right_machine->name;
              });
    for (const wave_machine* machine : busy)
    {
        if (closing >= limit)
        {
            break;
        }
        ++closing;
        step.close.push_back(machine->name);
    }
    return step;
}

} // namespace lacewingquay::fleet
