#pragma once

#include "core/clock.hpp"
#include "job/model.hpp"
#include "job/queue.hpp"
#include "scheduler/load.hpp"

#include <map>
#include <string>

/// Admission control: refuses jobs that would finish too late to be of use. Jobs that can be on
/// time are scheduled before those that cannot, so a job that arrives when the backlog of its pool
/// exceeds its allowed time is served on the capacity that is left, in bursts of some seconds often
/// soon after the peak.
namespace lacewingquay::scheduler
{

using std::chrono::milliseconds;

/// Settings of `admission_control`.
struct admission_settings
{
    /// A job is on time if it is expected to need at most this multiple of its allowed time. Leaves
    /// room for declared estimates, which are off by up to half.
    double max_allowed_time_factor = 1.5;
    /// A job that cannot be on time is refused if, behind all work that is still of use, it would
    /// need more than this multiple of its allowed time. Less than the multiple at which it is too
    /// late to be of use, which leaves room for the jobs on time that arrive later.
    double max_useful_time_factor = 2.5;
    /// Lower bound of the retry time given to callers; `Retry-After` has a resolution of 1 s.
    milliseconds min_retry_after{1'000};
    /// Upper bound of it; bursts last some seconds.
    milliseconds max_retry_after{30'000};
};

/// An admission decision.
struct admission
{
    bool accepted = true;
    /// When not accepted: time until the pool has capacity for the job, behind the backlog and the
    /// callers that were given a retry time before.
    milliseconds retry_after{0};
};

/// Time in which a job should finish: `stretch` times its longest chain plus `objective`.
[[nodiscard]] milliseconds allowed_time(const job::definition& work, const job::queue& queue);

/// Decides on new jobs of all queues at one of several entry hosts. Deterministic.
class admission_control
{
public:
    explicit admission_control(admission_settings values);

    /// Decides on a job of `queue` under `load`. `hosts` is the number of entry hosts among which
    /// callers are spread. Long-running and periodic jobs are always accepted.
    [[nodiscard]] admission decide(const job::definition& work, const job::queue& queue,
                                   const queue_load& load, int hosts, steady_time now);

private:
    /// State of a queue whose jobs are being refused.
    struct queue_overload
    {
        /// Time of the first refusal. The overload is expected to last as long again.
        steady_time since{};
        /// End of the pool time that is reserved for callers that were given a retry time.
        steady_time reserved_until{};
    };

    admission_settings settings_;
    std::map<std::string, queue_overload> overloads_;
};

} // namespace lacewingquay::scheduler
