#include "routing/builder.hpp"

#include <algorithm>

namespace lacewingquay::routing
{

namespace
{

backend_server make_server(const config::host& host, const placement::host_placement& entry)
{
    backend_server server;
    server.name = host.name;
    server.availability_zone = host.availability_zone;
    server.rack = host.rack;
    server.pool = entry.pool;
    server.where = host.where;
    server.slots = static_cast<std::uint32_t>(host.slots);
    server.state = entry.state;
    return server;
}

} // namespace

snapshot_pointer build_snapshot(snapshot_parts parts)
{
    std::shared_ptr<snapshot> result = std::make_shared<snapshot>();
    result->config_epoch = parts.configuration.epoch;
    result->config_digest = parts.digest;
    result->members_epoch = parts.members_epoch;
    result->services = parts.configuration.services;
    result->members = std::move(parts.members);
    for (const std::pair<const std::string, config::pool>& pool : parts.configuration.pools)
    {
        if (pool.second.spare)
        {
            result->spare_pool = pool.first;
        }
    }
    for (const std::pair<const std::string, placement::zone_placement>& zone : parts.placements)
    {
        result->placement_epochs[zone.first] = zone.second.epoch;
        for (const std::pair<const std::string, placement::host_placement>& entry :
             zone.second.hosts)
        {
            const std::map<std::string, config::host, std::less<>>::const_iterator host =
                parts.configuration.hosts.find(entry.first);
            if (host != parts.configuration.hosts.end() &&
                host->second.availability_zone == zone.first)
            {
                result->backend_servers.push_back(make_server(host->second, entry.second));
            }
        }
    }
    std::sort(result->backend_servers.begin(), result->backend_servers.end(),
              [](const backend_server& left, const backend_server& right)
              { return left.name < right.name; });
    return result;
}

} // namespace lacewingquay::routing
