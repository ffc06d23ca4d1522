#pragma once

#include "core/clock.hpp"

namespace lacewingquay::manager
{

/// What an owner knows about its ownership.
struct ownership_evidence
{
    /// Time since the latest call was made by which the store confirmed the ownership; suspended
    /// time counts. Not since the answer was read: it may have waited there for long.
    milliseconds confirmed_age{0};
    /// Time since it was last certain that no other host could have taken over: at the latest call
    /// that confirmed the ownership or, in an outage of the whole store, at the latest check of
    /// other hosts. See `sole_ownership`.
    milliseconds unchallenged_age{0};
    /// Age of what this host has read of callers' jobs. Later cancellations are not known yet.
    milliseconds jobs_age{0};
};

/// Settings of the permissions of an owner. Each age stays below the time after which another host
/// may act in its place.
struct permission_settings
{
    /// Orders to machines: the platform does not fence them.
    milliseconds machine_order_age{1'200};
    /// Starts: servers fence them, but only once they have heard of a new owner, which takes over
    /// 2.1 s after the last renewal.
    milliseconds start_age{2'000};
    /// Leases. A new owner assumes that they are not extended for longer than
    /// `scheduler::settings::takeover_slack` after its takeover.
    milliseconds lease_age{2'500};
    /// Starts: a task must not start long after its job was cancelled. Longer than it takes to
    /// repeat a poll for new jobs whose answer was lost.
    milliseconds jobs_age{2'000};
};

/// True if an order to a machine may be sent now.
[[nodiscard]] constexpr bool may_order_machines(const ownership_evidence& evidence,
                                                const permission_settings& values = {})
{
    return evidence.confirmed_age < values.machine_order_age;
}

/// True if this host would know of a job that was cancelled longer ago than `values.jobs_age`.
[[nodiscard]] constexpr bool knows_cancelled_jobs(const ownership_evidence& evidence,
                                                  const permission_settings& values = {})
{
    return evidence.jobs_age < values.jobs_age;
}

/// True if a start order may be sent now.
[[nodiscard]] constexpr bool may_start_runs(const ownership_evidence& evidence,
                                            const permission_settings& values = {})
{
    return evidence.confirmed_age < values.start_age && knows_cancelled_jobs(evidence, values);
}

/// True if leases may be extended now.
[[nodiscard]] constexpr bool may_extend_leases(const ownership_evidence& evidence,
                                               const permission_settings& values = {})
{
    return evidence.unchallenged_age < values.lease_age;
}

} // namespace lacewingquay::manager
