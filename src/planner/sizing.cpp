#include "planner/sizing.hpp"

#include <algorithm>
#include <cmath>
#include <cstdlib>

namespace lacewingquay::planner
{

std::int64_t size_cost::required_hosts(double level_slots) const
{
    const std::int64_t hosts =
        static_cast<std::int64_t>(std::ceil(level_slots / usable_slots_per_host));
    return std::max(min_hosts, hosts);
}

std::int64_t size_cost::excess_hosts(std::int64_t hosts, double level_slots) const
{
    return std::max<std::int64_t>(0, hosts - required_hosts(level_slots));
}

double size_cost::missed_requests_per_hour(std::int64_t hosts, double level_slots) const
{
    const double capacity = usable_slots_per_host * static_cast<double>(hosts);
    return std::max(0.0, level_slots - capacity) * requests_per_slot_hour;
}

double size_cost::holding_cost(std::int64_t hosts, double level_slots, double hours) const
{
    const std::int64_t usable = std::max<std::int64_t>(0, hosts - buffer_hosts);
    return hours *
           (cost_weights.buffer_host_hour * static_cast<double>(excess_hosts(usable, level_slots)) +
            cost_weights.missed_request * missed_requests_per_hour(usable, level_slots));
}

std::int64_t best_size(const size_cost& cost, std::int64_t current, std::int64_t max_hosts,
                       std::span<const double> levels, double step_hours, double spread)
{
    // A size above the highest requirement is never better.
    const double max_level = levels.empty() ? 0.0 : *std::max_element(levels.begin(), levels.end());
    const std::int64_t max_useful_hosts =
        cost.required_hosts(max_level * (1.0 + spread)) + cost.buffer_hosts;
    const std::size_t sizes =
        static_cast<std::size_t>(std::max(std::min(max_hosts, max_useful_hosts), current)) + 1;
    std::vector<double> value(sizes, 0.0);
    for (std::size_t step = levels.size(); step-- > 0;)
    {
        // The cost of a change is linear in the number of hosts, so one sweep up and one down find
        // the best size to change to.
        for (std::size_t size = 1; size < sizes; ++size)
        {
            value[size] = std::min(value[size], value[size - 1] + cost.cost_weights.move);
        }
        for (std::size_t size = sizes - 1; size-- > 0;)
        {
            value[size] = std::min(value[size], value[size + 1] + cost.cost_weights.move);
        }
        for (std::size_t size = 0; size < sizes; ++size)
        {
            const std::int64_t hosts = static_cast<std::int64_t>(size);
            for (const double factor : {1.0 - spread, 1.0, 1.0 + spread})
            {
                value[size] += cost.holding_cost(hosts, levels[step] * factor, step_hours) / 3.0;
            }
        }
    }
    /// Costs that differ by less are equal.
    constexpr double tie_tolerance = 1e-9;
    std::int64_t best = current;
    double best_cost = value[static_cast<std::size_t>(current)];
    for (std::size_t size = 0; size < sizes; ++size)
    {
        const std::int64_t distance = std::abs(static_cast<std::int64_t>(size) - current);
        const double total = value[size] + cost.cost_weights.move * static_cast<double>(distance);
        const bool closer = distance < std::abs(best - current);
        if (total < best_cost - tie_tolerance || (total < best_cost + tie_tolerance && closer))
        {
            best = static_cast<std::int64_t>(size);
            best_cost = total;
        }
    }
    return best;
}

} // namespace lacewingquay::planner
