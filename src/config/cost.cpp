#include "config/cost.hpp"

namespace lacewingquay::config
{

namespace
{

void add(capacity& total, const capacity& part)
{
    total.hosts += part.hosts;
    total.buffer_hosts += part.buffer_hosts;
    total.hour_cost += part.hour_cost;
    total.buffer_hour_cost += part.buffer_hour_cost;
}

} // namespace

std::map<std::string, capacity, std::less<>> capacity_of(const configuration& value,
                                                         const placed_hosts& placed)
{
    std::map<std::string, capacity, std::less<>> result;
    for (const auto& [name, entry] : value.pools)
    {
        result[name].buffer_hosts = entry.buffer_hosts;
    }
    for (const auto& [name, entry] : value.hosts)
    {
        const auto found = placed.find(name);
        const bool is_known = found != placed.end() && result.contains(found->second);
        ++result[is_known ? found->second : entry.initial_pool].hosts;
    }
    for (auto& [name, entry] : result)
    {
        const double price = value.pools.at(name).host_hour_cost;
        entry.hour_cost = price * static_cast<double>(entry.hosts);
        entry.buffer_hour_cost = price * static_cast<double>(entry.buffer_hosts);
    }
    return result;
}

cost_report cost_of(const configuration& before, const configuration& after)
{
    cost_report report;
    for (const auto& [name, entry] : capacity_of(before))
    {
        report.pools[name].before = entry;
        add(report.total.before, entry);
    }
    for (const auto& [name, entry] : capacity_of(after))
    {
        report.pools[name].after = entry;
        add(report.total.after, entry);
    }
    for (const auto& [name, entry] : after.hosts)
    {
        const auto found = before.hosts.find(name);
        if (found != before.hosts.end() && found->second.initial_pool != entry.initial_pool)
        {
            report.moves.push_back({name, found->second.initial_pool, entry.initial_pool});
        }
    }
    return report;
}

} // namespace lacewingquay::config
