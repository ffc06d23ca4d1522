#include "planner/host_choice.hpp"

#include <algorithm>
#include <map>
#include <tuple>

namespace lacewingquay::planner
{

namespace
{

/// Available hosts of one pool by zone and by rack. A moving host counts in its new pool.
struct spread
{
    std::map<std::string, std::int64_t, std::less<>> by_zone;
    std::map<std::string, std::int64_t, std::less<>> by_rack;
};

std::string_view destination(const host_view& host)
{
    return host.next_pool.empty() ? host.pool : host.next_pool;
}

spread spread_of(std::span<const host_view> hosts, std::string_view pool)
{
    spread result;
    for (const host_view& host : hosts)
    {
        if (host.available && destination(host) == pool)
        {
            ++result.by_zone[host.availability_zone];
            ++result.by_rack[host.rack];
        }
    }
    return result;
}

std::int64_t count(const std::map<std::string, std::int64_t, std::less<>>& counts,
                   std::string_view key)
{
    const auto found = counts.find(key);
    return found == counts.end() ? 0 : found->second;
}

/// True if a pool that has hosts in two zones would have them in one after the host has left.
bool leaves_one_zone(const spread& pool, const host_view& host)
{
    return pool.by_zone.size() == 2 && count(pool.by_zone, host.availability_zone) == 1;
}

} // namespace

std::int64_t hosts_held(std::span<const host_view> hosts, std::string_view pool)
{
    return std::count_if(hosts.begin(), hosts.end(),
                         [&](const host_view& host)
                         { return host.available && destination(host) == pool; });
}

std::int64_t hosts_not_moving(std::span<const host_view> hosts, std::string_view pool)
{
    return std::count_if(hosts.begin(), hosts.end(),
                         [&](const host_view& host)
                         { return host.available && host.next_pool.empty() && host.pool == pool; });
}

std::int64_t hosts_moving(std::span<const host_view> hosts, std::string_view pool)
{
    return std::count_if(hosts.begin(), hosts.end(),
                         [&](const host_view& host) {
                             return !host.next_pool.empty() &&
                                    (host.pool == pool || host.next_pool == pool);
                         });
}

std::optional<std::string> choose_host(std::span<const host_view> hosts, std::string_view from,
                                       std::string_view to)
{
    const spread leaving = spread_of(hosts, from);
    const spread entering = spread_of(hosts, to);
    // The lowest rank wins: the host's zone and rack should have few hosts of `to` and many of
    // `from`.
    using rank = std::tuple<std::int64_t, std::int64_t, std::string>;
    std::optional<rank> best;
    for (const host_view& host : hosts)
    {
        const bool movable = host.available && host.next_pool.empty() && host.pool == from;
        if (!movable || leaves_one_zone(leaving, host))
        {
            continue;
        }
        const rank candidate{count(entering.by_zone, host.availability_zone) -
                                 count(leaving.by_zone, host.availability_zone),
                             count(entering.by_rack, host.rack) - count(leaving.by_rack, host.rack),
                             host.name};
        if (!best || candidate < *best)
        {
            best = candidate;
        }
    }
    if (!best)
    {
        return std::nullopt;
    }
    return std::get<std::string>(*best);
}

} // namespace lacewingquay::planner
