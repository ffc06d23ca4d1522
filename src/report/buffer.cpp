#include "report/buffer.hpp"

#include <algorithm>
#include <cmath>
#include <cstdio>

namespace lacewingquay::report
{

namespace
{

/// Slots of a host if the configuration has no hosts.
constexpr double default_slots = 8.0;

/// Mean slots of the configuration's hosts.
double mean_slots(const config::configuration& configuration)
{
    double total = 0.0;
    for (const std::pair<const std::string, config::host>& host : configuration.hosts)
    {
        total += static_cast<double>(host.second.slots);
    }
    return configuration.hosts.empty() ? default_slots
                                       : total / static_cast<double>(configuration.hosts.size());
}

} // namespace

std::vector<pool_buffer> compute_buffers(const config::configuration& configuration,
                                         const config::placed_hosts& placed,
                                         const std::map<std::string, double>& busy_slots)
{
    const std::map<std::string, config::capacity, std::less<>> held =
        config::capacity_of(configuration, placed);
    const double slots_per_host = mean_slots(configuration);
    std::vector<pool_buffer> buffers;
    for (const std::pair<const std::string, config::pool>& pool : configuration.pools)
    {
        pool_buffer buffer;
        buffer.pool = pool.first;
        buffer.spare = pool.second.spare;
        const std::map<std::string, config::capacity, std::less<>>::const_iterator found =
            held.find(pool.first);
        buffer.held = found == held.end() ? config::capacity{} : found->second;
        for (const std::pair<const std::string, config::service>& service : configuration.services)
        {
            const std::map<std::string, double>::const_iterator busy =
                busy_slots.find(service.first);
            const bool counts = service.second.pool == pool.first && busy != busy_slots.end();
            buffer.busy_slots += counts ? busy->second : 0.0;
        }
        buffer.needed_hosts =
            std::max(pool.second.min_hosts,
                     static_cast<std::int64_t>(std::ceil(buffer.busy_slots / slots_per_host)));
        buffer.idle_hosts = std::max<std::int64_t>(0, buffer.held.hosts - buffer.needed_hosts);
        buffer.idle_hour_cost = static_cast<double>(buffer.idle_hosts) * pool.second.host_hour_cost;
        buffers.push_back(std::move(buffer));
    }
    return buffers;
}

std::string buffer_table(std::span<const pool_buffer> buffers)
{
    constexpr std::size_t line_limit = 200;
    char line[line_limit];
    std::snprintf(line, sizeof line, "%-24s %6s %11s %10s %8s %12s %12s %14s\n", "pool", "hosts",
                  "busy slots", "needed", "idle", "idle cost/h", "agreed", "agreed cost/h");
    std::string table = line;
    for (const pool_buffer& buffer : buffers)
    {
        std::snprintf(
            line, sizeof line, "%-24.24s %6lld %11.1f %10lld %8lld %12.2f %12lld %14.2f%s\n",
            buffer.pool.c_str(), static_cast<long long>(buffer.held.hosts), buffer.busy_slots,
            static_cast<long long>(buffer.needed_hosts), static_cast<long long>(buffer.idle_hosts),
            buffer.idle_hour_cost, static_cast<long long>(buffer.held.buffer_hosts),
            buffer.held.buffer_hour_cost, buffer.spare ? "  spare pool" : "");
        table += line;
    }
    return table;
}

boost::json::array buffer_json(std::span<const pool_buffer> buffers)
{
    boost::json::array result;
    for (const pool_buffer& buffer : buffers)
    {
        result.push_back({{"pool", buffer.pool},
                          {"spare", buffer.spare},
                          {"hosts", buffer.held.hosts},
                          {"busy_slots", buffer.busy_slots},
                          {"needed_hosts", buffer.needed_hosts},
                          {"idle_hosts", buffer.idle_hosts},
                          {"idle_hour_cost", buffer.idle_hour_cost},
                          {"agreed_buffer_hosts", buffer.held.buffer_hosts},
                          {"agreed_buffer_hour_cost", buffer.held.buffer_hour_cost}});
    }
    return result;
}

} // namespace lacewingquay::report
