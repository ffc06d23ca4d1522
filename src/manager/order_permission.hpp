#pragma once

#include "core/clock.hpp"

namespace lacewingquay::manager
{

/// What an owner knows about its ownership.
struct ownership_evidence
{
    /// Time since the store last confirmed the ownership; suspended time counts.
    milliseconds confirmed_age{0};
    /// The store does not answer this host.
    bool store_unavailable = false;
    /// Other hosts may still reach the store, so one of them may take over.
    bool isolated = false;
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
    /// Leases, while another host may take over. A new owner assumes that they are not extended for
    /// longer than `scheduler::settings::takeover_slack`.
    milliseconds lease_age{2'500};
};

/// True if an order to a machine may be sent now.
[[nodiscard]] constexpr bool may_order_machines(const ownership_evidence& evidence,
                                                const permission_settings& values = {})
{
    return evidence.confirmed_age < values.machine_order_age;
}

/// True if a start order may be sent now.
[[nodiscard]] constexpr bool may_start_runs(const ownership_evidence& evidence,
                                            const permission_settings& values = {})
{
    return evidence.confirmed_age < values.start_age;
}

/// True if leases may be extended now. During an outage of the whole store no host can take over,
/// so runs go on.
[[nodiscard]] constexpr bool may_extend_leases(const ownership_evidence& evidence,
                                               const permission_settings& values = {})
{
    return evidence.confirmed_age < values.lease_age ||
           (evidence.store_unavailable && !evidence.isolated);
}

} // namespace lacewingquay::manager
