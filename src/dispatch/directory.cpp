#include "dispatch/directory.hpp"

#include "core/hash.hpp"

#include <algorithm>
#include <set>
#include <string>

namespace lacewingquay::dispatch
{

directory::directory(name_table& table, name_id id, name_id incarnation, name_id own_zone)
    : names(table), self_id(id), self(incarnation), zone(own_zone)
{
}

void directory::update(const routing::snapshot& snapshot, std::span<const live_entry_host> now_live)
{
    live.assign(now_live.begin(), now_live.end());
    std::sort(live.begin(), live.end(),
              [this](const live_entry_host& left, const live_entry_host& right)
              { return names.text(left.incarnation) < names.text(right.incarnation); });
    std::set<std::string> zone_texts;
    std::set<std::string> pool_texts;
    service_pools_.clear();
    for (const auto& [name, service] : snapshot.services)
    {
        service_pools_.emplace(names.intern(name), names.intern(service.pool));
        pool_texts.insert(service.pool);
    }
    registered.clear();
    for (const routing::member& member : snapshot.members)
    {
        zone_texts.insert(member.availability_zone);
        if (names.intern(member.availability_zone) == zone)
        {
            registered.push_back(names.intern(member.incarnation));
        }
    }
    for (const routing::backend_server& server : snapshot.backend_servers)
    {
        zone_texts.insert(server.availability_zone);
        pool_texts.insert(server.pool);
    }
    zone_texts.insert(names.text(zone));
    spare_pool = names.intern(snapshot.spare_pool);
    if (spare_pool != name_id::none)
    {
        pool_texts.insert(snapshot.spare_pool);
    }
    const auto version = snapshot.placement_epochs.find(names.text(zone));
    placement_version = version == snapshot.placement_epochs.end() ? 0 : version->second;
    zones.clear();
    for (const std::string& text : zone_texts)
    {
        zones.push_back(names.intern(text));
        for (const std::string& pool : pool_texts)
        {
            index_of(names.intern(pool), zones.back());
        }
    }
    for (domain_entry& entry : domains_)
    {
        update_order(entry);
        entry.serving_hosts = 0;
        entry.serving_slots = 0;
    }
    for (const routing::backend_server& server : snapshot.backend_servers)
    {
        if (server.state == placement::host_state::serving)
        {
            domain_entry& entry =
                at(index_of(names.intern(server.pool), names.intern(server.availability_zone)));
            ++entry.serving_hosts;
            entry.serving_slots += server.slots;
        }
    }
}

domain_index directory::index_of(name_id pool, name_id availability_zone)
{
    const std::uint64_t key =
        (static_cast<std::uint64_t>(pool) << 32U) | static_cast<std::uint64_t>(availability_zone);
    const auto [found, added] = indices_.emplace(key, static_cast<domain_index>(domains_.size()));
    if (added)
    {
        domains_.emplace_back();
        domains_.back().pool = pool;
        domains_.back().availability_zone = availability_zone;
        update_order(domains_.back());
    }
    return found->second;
}

name_id directory::dispatcher_of(domain_index index) const
{
    const domain_entry& entry = domains_[index];
    if (entry.accepted_term.number > 0 && is_live(entry.accepted_term.incarnation))
    {
        return entry.accepted_term.incarnation;
    }
    return entry.order.empty() ? name_id::none : entry.order.front();
}

bool directory::is_live(name_id incarnation) const
{
    return zone_of(incarnation) != name_id::none;
}

name_id directory::zone_of(name_id incarnation) const
{
    for (const live_entry_host& host : live)
    {
        if (host.incarnation == incarnation)
        {
            return host.availability_zone;
        }
    }
    return name_id::none;
}

directory::service_entry directory::service(name_id name) const
{
    const auto found = service_pools_.find(name);
    return found == service_pools_.end() ? service_entry{} : service_entry{found->second, true};
}

void directory::update_order(domain_entry& entry)
{
    std::vector<std::string> ids;
    std::vector<name_id> incarnations;
    for (const live_entry_host& host : live)
    {
        if (host.availability_zone == entry.availability_zone && !host.stopping)
        {
            ids.push_back(names.text(host.id));
            incarnations.push_back(host.incarnation);
        }
    }
    const std::string key = names.text(entry.pool) + "@" + names.text(entry.availability_zone);
    entry.order.clear();
    for (const std::size_t position : rendezvous_order(key, ids))
    {
        entry.order.push_back(incarnations[position]);
    }
}

} // namespace lacewingquay::dispatch
