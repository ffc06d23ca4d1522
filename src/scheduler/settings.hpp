#pragma once

#include <chrono>
#include <cstddef>
#include <cstdint>

namespace lacewingquay::scheduler
{

using std::chrono::milliseconds;

/// Settings of the scheduler.
struct settings
{
    /// Lease of the runs on a backend server. Longer than a takeover (about 3.5 s), so that runs
    /// survive one; otherwise short, as runs on a lost server are repeated only after it expires.
    milliseconds lease{6'000};
    /// Longest lease that a backend server grants. It takes a deadline further ahead for this.
    milliseconds max_lease{10'000};
    /// Greatest relative slowness of the backend servers' clocks.
    double clock_drift = 0.02;
    /// Network delay and timer slack beyond a lease.
    milliseconds lease_slack{300};
    /// After a takeover, the former owner may renew leases until a server that the new owner has
    /// contacted refuses its orders as fenced. An owner calls each server at least this often.
    milliseconds takeover_slack{2'500};
    /// A stop order without effect is repeated after this time.
    milliseconds stop_retry_interval{500};
    /// A server that refused a start order or did not answer it is avoided for this time.
    milliseconds refusal_backoff{400};
    /// A run without progress for this long is stalled. Spans two polls of 1 s and exceeds the time
    /// in which a run restores its checkpoint.
    milliseconds stall_timeout{2'500};
    /// A server is slow if a run there needs this multiple of its estimate. Leaves room for
    /// estimates, which are off by up to half.
    int slow_factor = 4;
    /// The speed of a run is checked only after this time.
    milliseconds slow_check_delay{1'000};
    /// Consecutive failed runs on one server after which it is avoided.
    int failures_to_avoid = 3;
    /// How long a server with failed, stalled or slow runs is avoided.
    milliseconds failure_backoff{5'000};
    /// A server that has neither answered nor renewed its registration for this long gets no new
    /// runs. Registrations are renewed every 1.5 s.
    milliseconds silence_timeout{2'600};
    /// A run that is older than this when its server crashes is not responsible.
    milliseconds crash_window{2'000};
    /// Runs that are younger than this when their server crashes are started alone next time.
    milliseconds crash_at_start{250};
    /// After this time of its run, a task that was on a crashed server shares its server again.
    milliseconds isolation_time{1'000};
    /// A task that no server can take alone shares one after this time, but not with another such
    /// task.
    milliseconds isolation_wait{2'000};
    /// A task under which this many servers have crashed is given up if it was alone on the last.
    int crashes_to_give_up = 2;
    /// A task under which this many servers have crashed is given up even if it shared them.
    int shared_crashes_to_give_up = 3;
    /// A task with as many counted and suspected crashes as `crashes_to_give_up` is not started
    /// until they are proved, or for this time after the latest: longer than a restart of a server.
    milliseconds crash_proof_wait{10'000};
    /// Uncertainty in the comparison of a server's clock with this host's.
    milliseconds clock_margin{500};
    /// Delay from a run's end until the report of it is read and the next task is started. A job
    /// with less slack counts as late; otherwise, under overload, each job in turn would start just
    /// too late.
    milliseconds scheduling_delay{250};
    /// A long-running task that has not been at work for this long is logged.
    milliseconds overdue_after{4'000};
    /// Interval between log lines about the same task.
    milliseconds overdue_log_interval{2'000};
    /// A job that is late by up to this multiple of its allowed time is still of use to its caller.
    int useful_lateness_factor = 2;
    /// Slack added for each core second of remaining work, so that small jobs go first: under
    /// overload they serve more callers with the same machines.
    milliseconds work_penalty{80};
    /// A registration may outlive its server this long: three heartbeats of 1.5 s, and as much
    /// again while the store is unavailable.
    milliseconds max_registration_lag{9'000};
    /// Tasks in one progress row of a job. Part of the stored format.
    std::int64_t tasks_per_row = 32;
    /// Largest row of the store, in bytes.
    std::size_t max_row_bytes = 65'536;
    /// Most bytes of the progress rows of one batch.
    std::size_t max_batch_bytes = 600'000;
    /// A job whose progress the store has rejected is not written again for this time.
    milliseconds rejection_pause{10'000};
};

} // namespace lacewingquay::scheduler
