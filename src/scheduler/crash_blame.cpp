#include "scheduler/crash_blame.hpp"

#include <algorithm>

namespace lacewingquay::scheduler
{

bool suspect_crash(job::crash_history& history, int run, milliseconds age, bool alone,
                   std::string_view machine, const settings& values)
{
    if (age >= values.crash_window || run <= history.crashed_run || run <= history.exposed_run)
    {
        return false;
    }
    history.exposed_run = run;
    history.exposed_at_start = age < values.crash_at_start;
    history.exposed_alone = alone;
    history.machine = machine;
    return true;
}

void clear_suspicion(job::crash_history& history)
{
    history.exposed_run = 0;
    history.exposed_at_start = false;
    history.exposed_alone = false;
    history.machine.clear();
}

crash_verdict confirm_crash(job::crash_history& history, const exposed_run& exposed,
                            const settings& values)
{
    history.suspect = exposed.at_start;
    history.crashed_run = std::max(history.crashed_run, exposed.run);
    ++history.crashes;
    if (history.exposed_run == exposed.run)
    {
        clear_suspicion(history);
    }
    const bool is_responsible = history.crashes >= values.shared_crashes_to_give_up ||
                                (history.crashes >= values.crashes_to_give_up && exposed.alone);
    return is_responsible ? crash_verdict::give_up : crash_verdict::counted;
}

bool needs_isolation(const job::crash_history& history, const settings& values)
{
    return history.suspect || history.exposed_run != 0 ||
           history.crashes >= values.crashes_to_give_up;
}

bool needs_exclusive_server(const job::crash_history& history, milliseconds age,
                            const settings& values)
{
    return history.crashes >= values.crashes_to_give_up ||
           (history.suspect && age < values.isolation_time);
}

} // namespace lacewingquay::scheduler
