#include "placement/plan.hpp"

#include "placement/row.hpp"

#include <utility>

namespace lacewingquay::placement
{

namespace
{

/// Builds one plan, with one function per step.
class planner
{
public:
    planner(const zone_placement& current, std::uint64_t epoch, const plan_inputs& inputs)
        : inputs_(inputs)
    {
        plan_.next = current;
        plan_.next.epoch = epoch;
    }

    zone_plan run()
    {
        follow_host_list();
        follow_configuration();
        apply_requests();
        finish_drains();
        add_hosts();
        return std::move(plan_);
    }

private:
    void set(host_placement& entry, host_state state, host_state next_state = host_state::serving,
             std::string next_pool = {})
    {
        entry.state = state;
        entry.next_state = next_state;
        entry.next_pool = std::move(next_pool);
        entry.epoch = plan_.next.epoch;
        plan_.changed = true;
    }

    [[nodiscard]] bool is_configured(std::string_view host) const
    {
        const std::map<std::string, config::host, std::less<>>::const_iterator found =
            inputs_.configuration.hosts.find(host);
        return found != inputs_.configuration.hosts.end() &&
               found->second.availability_zone == plan_.next.availability_zone;
    }

    void follow_host_list()
    {
        for (std::pair<const std::string, host_placement>& item : plan_.next.hosts)
        {
            host_placement& entry = item.second;
            const host_list_status list_status = inputs_.list_status_of(item.first);
            if (list_status == host_list_status::leaving && entry.state != host_state::leaving)
            {
                // A host in maintenance must not serve when the platform lists it as live again.
                const bool in_maintenance = entry.state == host_state::maintenance ||
                                            (entry.state == host_state::draining &&
                                             entry.next_state == host_state::maintenance);
                set(entry, host_state::leaving,
                    in_maintenance ? host_state::maintenance : host_state::serving);
            }
            else if (list_status == host_list_status::stable &&
                     entry.state == host_state::leaving && entry.next_state != host_state::leaving)
            {
                set(entry, entry.next_state);
            }
        }
    }

    void follow_configuration()
    {
        std::map<std::string, host_placement, std::less<>>::iterator item =
            plan_.next.hosts.begin();
        while (item != plan_.next.hosts.end())
        {
            host_placement& entry = item->second;
            if (is_configured(item->first))
            {
                ++item;
                continue;
            }
            if (entry.state != host_state::leaving || entry.next_state != host_state::leaving)
            {
                set(entry, host_state::leaving, host_state::leaving);
                plan_.uses_configuration = true;
            }
            else if (inputs_.is_drained(item->first, entry.epoch))
            {
                // The entry is kept until it is drained, as the host may be added to another pool
                // afterwards.
                item = plan_.next.hosts.erase(item);
                plan_.changed = true;
                plan_.uses_configuration = true;
                plan_.ends_drains = true;
                continue;
            }
            ++item;
        }
    }

    void apply_requests()
    {
        for (const pending_request& pending : inputs_.requests)
        {
            std::string reason = apply(pending.request);
            if (reason.empty())
            {
                plan_.accepted.push_back(pending);
            }
            else
            {
                plan_.refused.push_back({pending, std::move(reason)});
            }
        }
    }

    /// Returns why the request is refused; empty if it is executed or in effect already.
    std::string apply(const placement_request& request)
    {
        const std::map<std::string, host_placement, std::less<>>::iterator found =
            plan_.next.hosts.find(request.host);
        if (found == plan_.next.hosts.end())
        {
            return "host " + request.host + " is not in zone " + plan_.next.availability_zone;
        }
        host_placement& entry = found->second;
        switch (request.kind)
        {
        case request_kind::move:
            return apply_move(request, entry);
        case request_kind::drain:
            return apply_drain(request, entry);
        case request_kind::leave:
            if (entry.state != host_state::leaving || entry.next_state != host_state::leaving)
            {
                set(entry, host_state::leaving, host_state::leaving);
            }
            return {};
        case request_kind::return_to_service:
            return apply_return(request, entry);
        }
        return "unknown action";
    }

    std::string apply_move(const placement_request& request, host_placement& entry)
    {
        if (!inputs_.configuration.pools.contains(request.to_pool))
        {
            return "pool " + request.to_pool + " does not exist";
        }
        const bool is_moving =
            entry.state == host_state::draining && entry.next_state == host_state::serving;
        if (entry.state != host_state::serving && !is_moving)
        {
            return "host " + request.host + " is " + std::string(to_string(entry.state));
        }
        if (entry.pool == request.to_pool)
        {
            if (is_moving)
            {
                set(entry, host_state::serving);
            }
            return {};
        }
        if (!is_moving || entry.next_pool != request.to_pool)
        {
            set(entry, host_state::draining, host_state::serving, request.to_pool);
        }
        return {};
    }

    std::string apply_drain(const placement_request& request, host_placement& entry)
    {
        if (entry.state == host_state::maintenance ||
            (entry.state == host_state::draining && entry.next_state == host_state::maintenance))
        {
            return {};
        }
        if (entry.state != host_state::serving)
        {
            return "host " + request.host + " is " +
                   (entry.next_pool.empty() ? std::string(to_string(entry.state))
                                            : "moving to " + entry.next_pool);
        }
        set(entry, host_state::draining, host_state::maintenance);
        return {};
    }

    std::string apply_return(const placement_request& request, host_placement& entry)
    {
        if (!is_configured(request.host))
        {
            return "host " + request.host + " was withdrawn by a release note";
        }
        if (inputs_.list_status_of(request.host) == host_list_status::leaving)
        {
            return "the platform lists host " + request.host + " as leaving";
        }
        if (entry.state != host_state::serving)
        {
            set(entry, host_state::serving);
        }
        return {};
    }

    void finish_drains()
    {
        for (std::pair<const std::string, host_placement>& item : plan_.next.hosts)
        {
            host_placement& entry = item.second;
            if (entry.state != host_state::draining || entry.epoch == plan_.next.epoch)
            {
                continue;
            }
            if (!entry.next_pool.empty() && !inputs_.configuration.pools.contains(entry.next_pool))
            {
                // The target pool was removed from the configuration during the drain.
                set(entry, host_state::serving);
                continue;
            }
            if (!inputs_.is_drained(item.first, entry.epoch))
            {
                continue;
            }
            plan_.ends_drains = true;
            if (!entry.next_pool.empty())
            {
                plan_.moves.push_back({item.first, entry.pool, entry.next_pool, entry.epoch});
                entry.pool = entry.next_pool;
            }
            set(entry, entry.next_state);
        }
    }

    void add_hosts()
    {
        for (const std::pair<const std::string, config::host>& item : inputs_.configuration.hosts)
        {
            const config::host& host = item.second;
            if (host.availability_zone != plan_.next.availability_zone ||
                plan_.next.hosts.contains(item.first) ||
                !inputs_.configuration.pools.contains(host.initial_pool) ||
                !inputs_.may_add(item.first))
            {
                continue;
            }
            host_placement& entry = plan_.next.hosts[item.first];
            entry.pool = host.initial_pool;
            const bool is_leaving = inputs_.list_status_of(item.first) == host_list_status::leaving;
            set(entry, is_leaving ? host_state::leaving : host_state::serving);
            plan_.uses_configuration = true;
            plan_.adds_hosts = true;
        }
    }

    const plan_inputs& inputs_;
    zone_plan plan_;
};

} // namespace

zone_plan plan_zone(const zone_placement& current, std::uint64_t epoch, const plan_inputs& inputs)
{
    return planner(current, epoch, inputs).run();
}

} // namespace lacewingquay::placement
