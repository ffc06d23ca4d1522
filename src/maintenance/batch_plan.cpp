#include "maintenance/batch_plan.hpp"

#include <algorithm>

namespace lacewingquay::maintenance
{

namespace
{

/// Waiting hosts by zone, pool and rack.
using waiting_hosts =
    std::map<std::string, std::map<std::string, std::map<std::string, std::vector<std::string>>>>;

waiting_hosts list_waiting(const wave& value)
{
    waiting_hosts result;
    for (const auto& [name, host] : value.hosts)
    {
        if (host.phase == host_phase::waiting)
        {
            result[host.availability_zone][host.pool][host.rack].push_back(name);
        }
    }
    return result;
}

/// Hosts that one batch may take out of a pool with no other host out of service: a quarter of the
/// pool, scaled by the availability budget left, and at least one.
std::int64_t batch_limit(const pool_status& pool)
{
    constexpr double max_batch_share = 0.25;
    const double limit =
        max_batch_share * static_cast<double>(pool.hosts) * std::min(1.0, pool.budget_left);
    return std::max<std::int64_t>(1, static_cast<std::int64_t>(limit));
}

const pool_status* find_status(const pool_statuses& pools, const std::string& pool)
{
    const auto found = pools.find(pool);
    return found == pools.end() ? nullptr : &found->second;
}

/// Hosts of one pool that a batch in a given zone could take.
struct pool_selection
{
    std::string pool;
    std::int64_t allowance = 0;
    std::vector<std::string> hosts;
};

/// Selects for each pool the zone's rack with the most waiting hosts, limited to the pool's
/// allowance. Ordered by descending allowance.
std::vector<pool_selection>
select_in_zone(const std::map<std::string, std::map<std::string, std::vector<std::string>>>& zone,
               const pool_statuses& pools, const wave_settings& settings)
{
    std::vector<pool_selection> selections;
    for (const auto& [pool, racks] : zone)
    {
        const pool_status* status = find_status(pools, pool);
        pool_selection selection;
        selection.pool = pool;
        selection.allowance = status == nullptr ? 0 : batch_allowance(*status, settings);
        for (const auto& [rack, hosts] : racks)
        {
            selection.hosts = hosts.size() > selection.hosts.size() ? hosts : selection.hosts;
        }
        const std::size_t most = static_cast<std::size_t>(selection.allowance);
        selection.hosts.resize(std::min(selection.hosts.size(), most));
        if (!selection.hosts.empty())
        {
            selections.push_back(std::move(selection));
        }
    }
    std::stable_sort(selections.begin(), selections.end(),
                     [](const pool_selection& left, const pool_selection& right)
                     { return left.allowance > right.allowance; });
    return selections;
}

/// Target size of the next batch: large enough for the wave to finish in its planned time, and at
/// most a limit that doubles with each batch.
std::int64_t batch_size(const wave& value, std::int64_t now_ms, const pool_statuses& pools,
                        const wave_settings& settings)
{
    constexpr std::int64_t max_doublings = 20;
    if (value.batch == 0)
    {
        return 1;
    }
    const std::int64_t size_limit = settings.first_batch_hosts
                                    << std::min<std::int64_t>(value.batch - 1, max_doublings);
    const std::int64_t waiting =
        std::count_if(value.hosts.begin(), value.hosts.end(),
                      [](const auto& entry) { return entry.second.phase == host_phase::waiting; });
    const double time_left = static_cast<double>(value.deadline_ms - now_ms);
    const std::int64_t batches_possible =
        static_cast<std::int64_t>(time_left * settings.planned_time_share /
                                  static_cast<double>(batch_time_ms(value, settings)));
    // Zone and rack constraints make batches smaller than planned. Unless the remaining time fits
    // more than twice the needed batches, the largest permitted batch is used.
    if (batches_possible <= 2 * batches_needed(value, pools, settings))
    {
        return size_limit;
    }
    return std::min(size_limit, (waiting + batches_possible - 1) / batches_possible);
}

} // namespace

std::int64_t batch_allowance(const pool_status& pool, const wave_settings& settings)
{
    if (pool.budget_left < settings.min_budget_left)
    {
        return 0;
    }
    const std::int64_t spare_hosts = pool.hosts - pool.other_hosts_unavailable - pool.hosts_needed;
    const std::int64_t left_in_limit = batch_limit(pool) - pool.other_hosts_unavailable;
    return std::max<std::int64_t>(0, std::min(spare_hosts, left_in_limit));
}

std::int64_t batches_needed(const wave& value, const pool_statuses& pools,
                            const wave_settings& settings)
{
    std::int64_t total = 0;
    for (const auto& [zone, zone_pools] : list_waiting(value))
    {
        std::int64_t most = 0;
        for (const auto& [pool, racks] : zone_pools)
        {
            const pool_status* status = find_status(pools, pool);
            const std::int64_t allowance =
                status == nullptr ? 1
                                  : std::max<std::int64_t>(1, batch_allowance(*status, settings));
            std::int64_t batches = 0;
            for (const auto& [rack, hosts] : racks)
            {
                batches += (static_cast<std::int64_t>(hosts.size()) + allowance - 1) / allowance;
            }
            most = std::max(most, batches);
        }
        total += most;
    }
    return total;
}

std::int64_t batch_time_ms(const wave& value, const wave_settings& settings)
{
    return value.longest_batch_ms > 0 ? value.longest_batch_ms : settings.expected_batch_ms;
}

std::vector<std::string> plan_batch(const wave& value, std::int64_t now_ms,
                                    const pool_statuses& pools, const wave_settings& settings)
{
    std::vector<pool_selection> best;
    std::size_t most = 0;
    for (const auto& [zone, zone_pools] : list_waiting(value))
    {
        std::vector<pool_selection> selections = select_in_zone(zone_pools, pools, settings);
        std::size_t hosts = 0;
        for (const pool_selection& selection : selections)
        {
            hosts += selection.hosts.size();
        }
        if (hosts > most)
        {
            most = hosts;
            best = std::move(selections);
        }
    }
    const std::size_t size = static_cast<std::size_t>(batch_size(value, now_ms, pools, settings));
    std::vector<std::string> batch;
    // Round-robin over the pools, so that a small batch is spread evenly.
    for (std::size_t round = 0; batch.size() < std::min(size, most); ++round)
    {
        for (const pool_selection& selection : best)
        {
            if (round < selection.hosts.size() && batch.size() < size)
            {
                batch.push_back(selection.hosts[round]);
            }
        }
    }
    std::sort(batch.begin(), batch.end());
    return batch;
}

} // namespace lacewingquay::maintenance
