#pragma once

#include "dispatch/copy_store.hpp"
#include "dispatch/directory.hpp"
#include "dispatch/domain_load_cache.hpp"
#include "dispatch/domain_state.hpp"
#include "dispatch/settings.hpp"

#include <cstdint>
#include <deque>
#include <string>
#include <vector>

namespace lacewingquay::dispatch
{

/// Dispatches the (pool, zone) domains of one entry host: queues, slot tables, terms, copies at the
/// successor and spill to other domains. See section 8 of the design document. Driven by `node`.
class dispatcher
{
public:
    dispatcher(directory& host_directory, const settings& core_settings, steady_time now);

    /// Handles a change of the directory; `snapshot` lists the backend servers.
    void on_update(steady_time now, const routing::snapshot& snapshot, actions& out);
    void on_tick(steady_time now, actions& out);

    void on_request(steady_time now, const slot_request& message, actions& out);
    void on_cancel(steady_time now, const cancel& message);
    void on_release(steady_time now, const release& message, actions& out);
    void on_mirror(steady_time now, name_id from, const mirror& message, actions& out);
    void on_mirror_ack(steady_time now, name_id from, const mirror_ack& message, actions& out);
    void on_report(steady_time now, name_id from, const grant_report& message, actions& out);
    void on_slot_news(steady_time now, name_id from, const slot_news& message, actions& out);

    /// Adds this dispatcher's state to a report: its own table, copies and lost entry hosts.
    void append_report(steady_time now, domain_index domain, grant_report& report) const;
    /// Stops dispatching the domain because the entry host accepted another dispatcher's term.
    void on_other_term(steady_time now, domain_index domain, actions& out);
    /// Stops dispatching all domains after a pause of this length and begins new terms.
    void on_pause(steady_time now, steady_time::duration length, actions& out);

    /// Assumes that requests of an incarnation may still run for the maximum grant duration, for
    /// example of the previous incarnation of this entry host.
    void assume_lost(steady_time now, name_id incarnation);

    /// Lowest placement version with an outstanding grant, or the current version if there is none.
    [[nodiscard]] std::uint64_t lowest_placement_version(steady_time now) const;
    /// Hosts of the local zone that are not serving but may have outstanding grants, sorted.
    [[nodiscard]] std::vector<std::string> busy_draining_hosts(steady_time now) const;
    [[nodiscard]] bool is_active(domain_index domain) const;
    [[nodiscard]] std::size_t queue_length() const;

private:
    struct last_seen
    {
        name_id incarnation = name_id::none;
        steady_time at;
    };

    domain_state* find(domain_index domain);
    [[nodiscard]] const domain_state* find(domain_index domain) const;
    domain_state& state_of(domain_index domain);

    [[nodiscard]] bool reports_use(steady_time now, const domain_state& domain) const;

    void claim_domains(steady_time now, actions& out);
    void begin_term(steady_time now, domain_state& domain, actions& out);
    void send_term_begin(const domain_state& domain, name_id to, actions& out) const;
    /// Resends the term to live entry hosts that have not reported for it.
    void resend_term_begin(steady_time now, domain_state& domain, actions& out) const;
    void stop(steady_time now, domain_state& domain, actions& out);
    /// Activates the term once all live entry hosts have reported and at least one of them has not
    /// paused recently: after a pause, entry hosts that merely look dead may already dispatch.
    void activate_if_reported(steady_time now, domain_state& domain, actions& out);
    /// Entry hosts of the zone that have not reported and whose requests may still run.
    [[nodiscard]] std::vector<lost_incarnation> unreported(steady_time now,
                                                           const domain_state& domain) const;
    void activate(steady_time now, domain_state& domain, actions& out);
    void import_grants(steady_time now, domain_state& domain,
                       const std::vector<takeover::known_grant>& grants);
    void import_late_report(steady_time now, domain_state& domain, name_id from,
                            const grant_report& message, actions& out);
    void update_silent(steady_time now, domain_state& domain);
    void update_last_seen(steady_time now);
    [[nodiscard]] std::vector<lost_incarnation> lost_incarnations(steady_time now) const;

    void choose_successor(steady_time now, domain_state& domain, actions& out);
    void copy_all(steady_time now, domain_state& domain, actions& out);
    void send_copy(steady_time now, domain_state& domain, table_grant& granted, actions& out);
    [[nodiscard]] bool needs_copy(name_id holder) const;

    void admit(steady_time now, domain_state& domain, queued_request&& entry, actions& out);
    bool try_grant(steady_time now, domain_state& domain, const queued_request& entry,
                   actions& out);
    void issue_grant(steady_time now, domain_state& domain, std::uint32_t host,
                     const queued_request& entry, actions& out);
    void grant_queued(steady_time now, domain_state& domain, actions& out);
    [[nodiscard]] bool may_start_deferrable(steady_time now, const domain_state& domain) const;
    [[nodiscard]] bool fits_deadline(steady_time now, const domain_state& domain,
                                     const queued_request& entry) const;
    bool spill(steady_time now, domain_state& domain, const queued_request& entry, actions& out);
    /// The pool's domain in the zone whose expected wait is shorter by at least the spill gain.
    std::optional<domain_index> shorter_queue(steady_time now, const domain_state& domain,
                                              const queued_request& entry);
    void spill_queue(steady_time now, domain_state& domain, actions& out);
    void refuse(const slot_request& request, refusal_reason reason, actions& out) const;
    /// Records a release that arrives before the reports are merged.
    void record_early_release(domain_state& domain, const release& message) const;
    [[nodiscard]] bool has_host_elsewhere(const domain_state& domain) const;

    void publish_load(steady_time now, domain_state& domain, actions& out);
    void send_slot_news(const domain_state& domain, actions& out) const;
    /// True if the entry host dispatches a domain that may spill to the pool.
    [[nodiscard]] bool wants_slot_news(name_id pool, name_id incarnation) const;

    directory& directory_;
    const settings& settings_;
    /// A deque keeps references valid when a domain is added.
    std::deque<domain_state> domains_;
    /// Position in `domains_` plus one, by domain index; 0 if there is none.
    std::vector<std::uint32_t> positions_;
    copy_store copies_;
    domain_load_cache loads_;
    std::vector<last_seen> last_seen_;
    /// Earliest time at which domains may be claimed on the basis of the live set.
    steady_time claims_allowed_at_;
    /// Start or end of the last pause.
    steady_time running_since_;
};

} // namespace lacewingquay::dispatch
