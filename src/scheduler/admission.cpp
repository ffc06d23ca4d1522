#include "scheduler/admission.hpp"

#include "scheduler/work_estimate.hpp"

#include <algorithm>

namespace lacewingquay::scheduler
{

milliseconds allowed_time(const job::definition& work, const job::queue& from)
{
    const double chain = static_cast<double>(longest_chain(work).count());
    return milliseconds(static_cast<std::int64_t>(chain * from.stretch)) + from.objective;
}

admission_control::admission_control(admission_settings values) : settings_(values) {}

admission admission_control::decide(const job::definition& work, const job::queue& from,
                                    const queue_load& load, int hosts, steady_time now)
{
    const bool lasts = std::any_of(work.steps.begin(), work.steps.end(),
                                   [](const job::step& step) { return step.long_running; });
    if (lasts || work.times.occurrences > 0)
    {
        return {};
    }
    const milliseconds longest(static_cast<std::int64_t>(
        static_cast<double>(allowed_time(work, from).count()) * settings_.longest_stay));
    const milliseconds stay = load.drain + longest_chain(work);
    if (load.cpu <= 0 || stay <= longest)
    {
        if (load.cpu <= 0 || stay <= longest / 2)
        {
            overloads_.erase(from.name);
        }
        return {};
    }
    const milliseconds own(static_cast<std::int64_t>(
        core_seconds(work) * 1e6 / static_cast<double>(load.cpu) * std::max(1, hosts)));
    overload& state = overloads_.try_emplace(from.name, overload{now, now}).first->second;
    const steady_time over = now + load.drain + (now - state.since);
    state.promised_until =
        std::min(std::max(state.promised_until, over) + own, now + settings_.longest_retry);
    return {false, std::max(settings_.shortest_retry,
                            std::chrono::duration_cast<milliseconds>(state.promised_until - now))};
}

} // namespace lacewingquay::scheduler
