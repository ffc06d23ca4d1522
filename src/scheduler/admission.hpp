#pragma once

#include "core/clock.hpp"
#include "job/model.hpp"
#include "job/queue.hpp"
#include "scheduler/load.hpp"

#include <map>
#include <string>

/// Refusal of jobs that could not be on time. Answers the turn of a queue that asks for several
/// times its pool: jobs that can be on time go before those that cannot, so a job that comes when
/// the pool has work for longer than it may take would wait until the turn is over.
namespace lacewingquay::scheduler
{

using std::chrono::milliseconds;

/// Settings of `admission_control`.
struct admission_settings
{
    /// A job is refused if it would need more than this multiple of its allowed time. Declared
    /// estimates are off by half (platform page), so this leaves as much room.
    double longest_stay = 1.5;
    /// Callers are told to come back after at least this time; `Retry-After` counts in seconds.
    milliseconds shortest_retry{1'000};
    /// And at most after this time; turns last some seconds.
    milliseconds longest_retry{30'000};
};

/// Whether a job is taken.
struct admission
{
    bool accepted = true;
    /// When not accepted: the pool has time for the job after this time, behind the work that waits
    /// and the callers that were told to come back before.
    milliseconds retry_after{0};
};

/// Time in which a job should be done: `stretch` times its longest chain, and the objective.
[[nodiscard]] milliseconds allowed_time(const job::definition& work, const job::queue& from);

/// Decides on new jobs of all queues at one of several entry hosts. Deterministic.
class admission_control
{
public:
    explicit admission_control(admission_settings values);

    /// Decides on a job of queue `from` with this load. `hosts` is the number of entry hosts among
    /// which callers are spread. Jobs that run until they are cancelled, or at set times, are
    /// always taken.
    [[nodiscard]] admission decide(const job::definition& work, const job::queue& from,
                                   const queue_load& load, int hosts, steady_time now);

private:
    /// A queue that refuses jobs.
    struct overload
    {
        /// Since its first refusal. It is expected to last as long again.
        steady_time since{};
        /// Until when the pool is busy with the callers that were told to come back.
        steady_time promised_until{};
    };

    admission_settings settings_;
    std::map<std::string, overload> overloads_;
};

} // namespace lacewingquay::scheduler
