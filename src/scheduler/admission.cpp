#include "scheduler/admission.hpp"

#include "scheduler/work_estimate.hpp"

#include <algorithm>

namespace lacewingquay::scheduler
{

namespace
{

/// Longest time in milliseconds that a decision distinguishes, three years; a time point plus some
/// of these stays in range.
constexpr double max_time_ms = 1e11;

milliseconds bounded_time(double time_ms)
{
    return milliseconds(static_cast<std::int64_t>(std::min(time_ms, max_time_ms)));
}

} // namespace

milliseconds allowed_time(const job::definition& work, const job::queue& queue)
{
    const double chain = static_cast<double>(longest_chain(work).count());
    return bounded_time(chain * queue.stretch) + queue.objective;
}

admission_control::admission_control(admission_settings values) : settings_(values) {}

admission admission_control::decide(const job::definition& work, const job::queue& queue,
                                    const queue_load& load, int hosts, steady_time now)
{
    const bool is_unbounded = std::any_of(work.steps.begin(), work.steps.end(),
                                          [](const job::step& step) { return step.long_running; });
    if (is_unbounded || work.times.occurrences > 0)
    {
        return {};
    }
    const auto allowed_times = [&](double factor)
    {
        return milliseconds(static_cast<std::int64_t>(
            static_cast<double>(allowed_time(work, queue).count()) * factor));
    };
    const milliseconds max_time = allowed_times(settings_.max_allowed_time_factor);
    const milliseconds expected_time = load.drain + longest_chain(work);
    const bool can_be_useful =
        load.useful_drain + longest_chain(work) <= allowed_times(settings_.max_useful_time_factor);
    if (load.cpu <= 0 || expected_time <= max_time || can_be_useful)
    {
        if (load.cpu <= 0 || expected_time <= max_time / 2)
        {
            overloads_.erase(queue.name);
        }
        return {};
    }
    const milliseconds service_time =
        bounded_time(core_seconds(work) * 1e6 / static_cast<double>(load.cpu) * std::max(1, hosts));
    queue_overload& state =
        overloads_.try_emplace(queue.name, queue_overload{now, now}).first->second;
    const steady_time overload_end = now + load.drain + (now - state.since);
    state.reserved_until = std::min(std::max(state.reserved_until, overload_end) + service_time,
                                    now + settings_.max_retry_after);
    return {false, std::max(settings_.min_retry_after,
                            std::chrono::duration_cast<milliseconds>(state.reserved_until - now))};
}

} // namespace lacewingquay::scheduler
