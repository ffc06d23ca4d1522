#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace lacewingquay::maintenance
{

/// Which hosts a wave covers.
enum class scope_kind : std::uint8_t
{
    pool,
    zone,
    all
};

enum class wave_state : std::uint8_t
{
    /// Requested by an operator; the lease holder has not determined the hosts yet.
    requested,
    running,
    /// Stopped after failures. No further host is drained; hosts that are out return to service.
    stopped,
    finished
};

/// Phase of a host in a wave. Phases are passed in this order, at most once each; some can be
/// skipped after a failure.
enum class host_phase : std::uint8_t
{
    waiting,
    draining,
    rebooting,
    /// Has rebooted, or its drain was abandoned; is being returned to service.
    returning,
    done,
    /// Did not drain or reboot in time, was returned before its reboot, or was reported as lost.
    failed
};

struct wave_host
{
    std::string pool;
    std::string availability_zone;
    std::string rack;
    host_phase phase = host_phase::waiting;
    /// Number of the batch that took the host out of service; 0 if none has.
    std::int64_t batch = 0;
    /// Milliseconds since the Unix epoch at which the phase began.
    std::int64_t since_ms = 0;
    /// Why the host failed. While it is returning: why it becomes `failed` afterwards.
    std::string failure;
};

/// A maintenance wave as stored in row `wave/<id>`.
struct wave
{
    std::string id;
    /// Identifies the last write of the row, so that it is recognized after a lost answer.
    std::string write_id;
    scope_kind scope = scope_kind::all;
    /// Name of the pool or zone; empty for `scope_kind::all`.
    std::string scope_name;
    wave_state state = wave_state::requested;
    /// Set and cleared by operators. While it is set, no new batch starts.
    bool paused = false;
    /// Why the wave is paused or stopped.
    std::string reason;
    std::int64_t started_ms = 0;
    /// Milliseconds since the Unix epoch by which the wave should have finished.
    std::int64_t deadline_ms = 0;
    /// True while the wave is expected to miss its deadline. Kept in the row, so that the notice is
    /// given once when it becomes true.
    bool deadline_at_risk = false;
    /// Number of the latest batch, or 0 before the first. Batch 1 is the canary, a single host.
    std::int64_t batch = 0;
    /// Duration of the longest batch so far.
    std::int64_t longest_batch_ms = 0;
    /// Milliseconds since the Unix epoch at which the current batch began; 0 if none is running.
    std::int64_t batch_started_ms = 0;
    std::map<std::string, wave_host, std::less<>> hosts;
};

/// Current state of a pool as known to the lease holder. Not part of the row.
struct pool_status
{
    /// Hosts in the pool, including those that are out of service.
    std::int64_t hosts = 0;
    /// Hosts that the forecast requires until a batch that starts now has returned to service.
    std::int64_t hosts_needed = 0;
    /// Hosts lost or out of service for reasons other than this wave, including other waves.
    std::int64_t other_hosts_unavailable = 0;
    /// Share of the availability budget that is left, 0 to 1.
    double budget_left = 1.0;
};

using pool_statuses = std::map<std::string, pool_status, std::less<>>;

struct wave_settings
{
    /// A host that has not drained within this time is returned to service and counts as failed.
    std::int64_t drain_timeout_ms = 15LL * 60 * 1'000;
    /// A host that is not live within this time after its reboot was requested counts as failed.
    std::int64_t reboot_timeout_ms = 30LL * 60 * 1'000;
    /// Expected duration of a batch, used until one has completed.
    std::int64_t expected_batch_ms = 10LL * 60 * 1'000;
    /// A wave takes no host out of a pool with a smaller share of its availability budget left.
    double min_budget_left = 0.1;
    /// Failures within one batch that stop the wave. A failed canary always stops it.
    std::int64_t stop_after_failures = 2;
    /// Share of the time left that is planned for batches; the rest is reserved for delays before
    /// batches can start.
    double planned_time_share = 0.5;
    /// Maximum size of the first batch after the canary. The maximum doubles with each batch.
    std::int64_t first_batch_hosts = 2;
};

[[nodiscard]] constexpr std::string_view to_string(scope_kind scope)
{
    switch (scope)
    {
    case scope_kind::pool:
        return "pool";
    case scope_kind::zone:
        return "zone";
    case scope_kind::all:
        return "all";
    }
    return "all";
}

[[nodiscard]] constexpr std::string_view to_string(wave_state state)
{
    switch (state)
    {
    case wave_state::requested:
        return "requested";
    case wave_state::running:
        return "running";
    case wave_state::stopped:
        return "stopped";
    case wave_state::finished:
        return "finished";
    }
    return "stopped";
}

[[nodiscard]] constexpr std::string_view to_string(host_phase phase)
{
    switch (phase)
    {
    case host_phase::waiting:
        return "waiting";
    case host_phase::draining:
        return "draining";
    case host_phase::rebooting:
        return "rebooting";
    case host_phase::returning:
        return "returning";
    case host_phase::done:
        return "done";
    case host_phase::failed:
        return "failed";
    }
    return "failed";
}

/// True in the phases in which the wave keeps the host out of service.
[[nodiscard]] constexpr bool is_out_of_service(host_phase phase)
{
    return phase == host_phase::draining || phase == host_phase::rebooting ||
           phase == host_phase::returning;
}

} // namespace lacewingquay::maintenance
