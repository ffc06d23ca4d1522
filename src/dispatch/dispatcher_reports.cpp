#include "dispatch/dispatcher.hpp"

#include <algorithm>

/// Dispatcher state for placement and metrics.
namespace lacewingquay::dispatch
{

bool dispatcher::reports_use(steady_time now, const domain_state& domain) const
{
    return domain.phase != domain_phase::idle ||
           (domain.stopped_at && now < *domain.stopped_at + settings_.handover_report_period);
}

std::uint64_t dispatcher::lowest_placement_version(steady_time now) const
{
    std::uint64_t lowest = directory_.placement_version;
    for (const domain_state& domain : domains_)
    {
        for (const table_grant& granted : domain.table.grants())
        {
            if (granted.active && reports_use(now, domain))
            {
                lowest = std::min(lowest, granted.placement_version);
            }
        }
    }
    return lowest;
}

std::vector<std::string> dispatcher::busy_draining_hosts(steady_time now) const
{
    std::vector<std::string> busy;
    for (const domain_state& domain : domains_)
    {
        // Without a live dispatcher the outstanding grants are unknown.
        const term_id& accepted_term = directory_.at(domain.index).accepted_term;
        const bool unknown =
            domain.phase == domain_phase::collecting ||
            (domain.phase == domain_phase::idle && !directory_.is_live(accepted_term.incarnation));
        const bool counts = reports_use(now, domain);
        for (const slot_table::host_row& row : domain.table.hosts())
        {
            const bool used = row.in_use > 0 || row.unexplained > 0;
            if (!row.serving && ((counts && used) || (unknown && row.slots > 0)))
            {
                busy.push_back(directory_.names.text(row.name));
            }
        }
    }
    std::sort(busy.begin(), busy.end());
    busy.erase(std::unique(busy.begin(), busy.end()), busy.end());
    return busy;
}

bool dispatcher::is_active(domain_index domain) const
{
    const domain_state* known = find(domain);
    return known != nullptr && known->phase == domain_phase::active;
}

std::size_t dispatcher::queue_length() const
{
    std::size_t length = 0;
    for (const domain_state& domain : domains_)
    {
        length += domain.queue.size();
    }
    return length;
}

} // namespace lacewingquay::dispatch
