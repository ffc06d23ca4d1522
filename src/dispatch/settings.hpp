#pragma once

#include <chrono>
#include <cstdint>

namespace lacewingquay::dispatch
{

using std::chrono::milliseconds;

/// Faults injected by tests that show that the safety properties can fail. All false in production.
struct fault_switches
{
    /// Holders accept grants of any term and dispatchers ignore higher terms.
    bool ignore_terms = false;
    /// Grants are used without a copy at the successor.
    bool skip_mirror = false;
    /// A new dispatcher grants before all reports have arrived and reserves no unexplained
    /// capacity.
    bool skip_takeover_wait = false;
    /// Holders use grants after `start_by`.
    bool skip_start_by = false;
    /// Pauses are not detected.
    bool skip_pause_detection = false;
};

/// Settings of the dispatch cores.
struct settings
{
    /// Time from the grant until the first byte must be written.
    milliseconds start_window{250};
    /// Added by the dispatcher to a grant's expiry to cover the scheduling delay between the
    /// holder's check of `start_by` and its write.
    milliseconds expiry_margin{500};
    /// Time for which an abandoned request keeps its slot.
    milliseconds abandon_hold{30'000};
    /// Maximum run limit of a request; longer limits are clamped. Bounds the time for which the
    /// capacity of unreachable entry hosts is reserved.
    milliseconds max_run_limit{30'000};
    /// Minimum time between two slot_news messages of a domain.
    milliseconds slot_news_interval{20};
    /// A longer gap between two events counts as a pause.
    milliseconds pause_threshold{300};
    /// Time after which an unanswered term_begin or mirror is sent again.
    milliseconds resend_interval{100};
    /// Minimum time between two terms that one dispatcher begins for a domain.
    milliseconds term_interval{100};
    /// After its start or a pause longer than `failure_timeout`, an entry host claims no domain for
    /// this time, because it does not know the live entry hosts yet.
    milliseconds claim_delay{500};
    /// Membership considers an entry host of the local zone dead after this time without
    /// heartbeats.
    milliseconds failure_timeout{600};
    /// Time after a start or pause until every live dispatcher of the zone has sent its terms.
    milliseconds settle_time{1'000};
    /// Delay before a request is retried after a dispatcher reported that it does not dispatch the
    /// domain, or while no dispatcher is known.
    milliseconds retry_interval{20};
    /// A holder that knows no dispatcher refuses a request after this time.
    milliseconds unreachable_timeout{1'000};
    /// A dispatcher that stopped continues to report busy hosts for this time, until its
    /// successor's reports have reached all entry hosts.
    milliseconds handover_report_period{3'000};
    /// Deferrable requests are treated as normal from this long before their latest start.
    milliseconds deferrable_lead_time{1'000};
    /// Retry-After of refusals.
    milliseconds retry_after{1'000};
    /// Assumed mean service time of a domain without releases.
    milliseconds initial_service_time{50};
    /// Minimum reduction of the expected wait for which a request is forwarded to another queue.
    milliseconds min_spill_gain{5};
    /// Maximum age of a slot_news message whose queue length is used: the dispatcher may have died
    /// without membership having detected it.
    milliseconds slot_news_max_age{100};
    /// A request that has waited this long at one dispatcher is not refused for overload by the
    /// next.
    milliseconds max_wait_for_refusal{20};
    /// A request is refused if fewer than this many mean service times remain after its estimated
    /// wait; the reserve is at most a quarter of the remaining time.
    double admission_margin = 5.0;
    /// Maximum number of requests in the queue of one domain.
    std::uint32_t max_queue = 10'000;
    /// Deferrable requests start while at least one in this many slots is idle.
    std::uint32_t deferrable_idle_divisor = 5;

    fault_switches faults;

    /// Maximum time from a grant until its slot is guaranteed to be free without any message.
    [[nodiscard]] milliseconds max_grant_duration() const
    {
        return start_window + max_run_limit + expiry_margin + abandon_hold;
    }
};

} // namespace lacewingquay::dispatch
