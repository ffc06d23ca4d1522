#include "scheduler/crash_blame.hpp"

#include <algorithm>
#include <utility>

namespace lacewingquay::scheduler
{

namespace
{

/// A longer list would mean that servers end without ever returning.
constexpr std::size_t max_suspicions = 8;

} // namespace

bool suspect_crash(job::crash_history& history, job::suspected_crash crash, milliseconds age,
                   const settings& values)
{
    const bool is_full = history.suspicions.size() >= max_suspicions;
    // The members of a gang share the run but not the server.
    const bool is_noted = std::any_of(
        history.suspicions.begin(), history.suspicions.end(),
        [&](const job::suspected_crash& other)
        {
            return crash.run < other.run ||
                   (crash.run == other.run &&
                    (is_full || (crash.server == other.server && crash.born == other.born)));
        });
    if (age >= values.crash_window || crash.run <= history.crashed_run || is_noted)
    {
        return false;
    }
    if (is_full)
    {
        history.suspicions.erase(history.suspicions.begin());
    }
    crash.at_start = age < values.crash_at_start;
    history.suspicions.push_back(std::move(crash));
    return true;
}

bool clear_suspicion(job::crash_history& history, const job::suspected_crash& crash)
{
    return std::erase(history.suspicions, crash) > 0;
}

job::crash_history restored_crashes(const job::task_progress& stored)
{
    job::crash_history history = stored.crashes;
    for (job::suspected_crash& crash : history.suspicions)
    {
        if (crash.server.empty() && crash.run == stored.run)
        {
            crash.server = stored.server;
            crash.born = stored.server_born;
        }
    }
    std::erase_if(history.suspicions,
                  [](const job::suspected_crash& crash) { return crash.server.empty(); });
    return history;
}

bool has_crashes(const job::crash_history& history)
{
    return history.suspect || history.crashes > 0 || !history.suspicions.empty();
}

void forget_crashes(job::crash_history& history)
{
    history.crashes = 0;
    history.suspect = false;
    history.suspicions.clear();
}

bool is_suspected(const job::crash_history& history, int run)
{
    return std::any_of(history.suspicions.begin(), history.suspicions.end(),
                       [&](const job::suspected_crash& crash) { return crash.run == run; });
}

crash_verdict confirm_crash(job::crash_history& history, const job::suspected_crash& crash,
                            const settings& values)
{
    history.suspect = crash.at_start;
    history.crashed_run = std::max(history.crashed_run, crash.run);
    ++history.crashes;
    std::erase_if(history.suspicions,
                  [&](const job::suspected_crash& other) { return other.run == crash.run; });
    const bool is_responsible = history.crashes >= values.shared_crashes_to_give_up ||
                                (history.crashes >= values.crashes_to_give_up && crash.alone);
    return is_responsible ? crash_verdict::give_up : crash_verdict::counted;
}

bool needs_isolation(const job::crash_history& history, const settings& values)
{
    return history.suspect || !history.suspicions.empty() ||
           history.crashes >= values.crashes_to_give_up;
}

bool needs_exclusive_server(const job::crash_history& history, milliseconds age,
                            const settings& values)
{
    return history.crashes >= values.crashes_to_give_up ||
           (history.suspect && age < values.isolation_time);
}

} // namespace lacewingquay::scheduler
