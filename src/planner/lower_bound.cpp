#include "planner/lower_bound.hpp"

#include <algorithm>
#include <cstdint>
#include <limits>

namespace lacewingquay::planner
{

namespace
{

/// Dynamic program over the sizes of one pool.
class pool_program
{
public:
    pool_program(const size_cost& cost, std::size_t sizes) : cost_(cost), sizes_(sizes) {}

    /// `lost` and `returned` are the numbers of hosts of the whole fleet that are lost and that
    /// return at each minute.
    run_cost run(std::size_t first_size, const std::vector<double>& levels,
                 const std::vector<std::int64_t>& lost, const std::vector<std::int64_t>& returned)
    {
        std::vector<double> value(sizes_, std::numeric_limits<double>::infinity());
        value[first_size] = 0.0;
        choices_.assign(levels.size() * sizes_, 0);
        for (std::size_t minute = 0; minute < levels.size(); ++minute)
        {
            value = step(minute, value, levels[minute], lost[minute], returned[minute]);
        }
        return backtrack(value, levels, lost, returned);
    }

private:
    static constexpr double hours = 1.0 / 60.0;

    /// Moves needed for a change of size, less the losses or returns of hosts in this minute.
    static std::int64_t moves_between(std::size_t from, std::size_t to, std::int64_t lost,
                                      std::int64_t returned)
    {
        const std::int64_t change = static_cast<std::int64_t>(to) - static_cast<std::int64_t>(from);
        const std::int64_t free_changes = change < 0 ? lost : returned;
        const std::int64_t size = change < 0 ? -change : change;
        return std::max<std::int64_t>(0, size - free_changes);
    }

    std::vector<double> step(std::size_t minute, const std::vector<double>& before, double level,
                             std::int64_t lost, std::int64_t returned)
    {
        std::vector<double> after(sizes_, std::numeric_limits<double>::infinity());
        for (std::size_t to = 0; to < sizes_; ++to)
        {
            for (std::size_t from = 0; from < sizes_; ++from)
            {
                const double total =
                    before[from] + cost_.cost_weights.move *
                                       static_cast<double>(moves_between(from, to, lost, returned));
                if (total < after[to])
                {
                    after[to] = total;
                    choices_[minute * sizes_ + to] = static_cast<std::uint16_t>(from);
                }
            }
            after[to] += minute_cost(to, level);
        }
        return after;
    }

    [[nodiscard]] double minute_cost(std::size_t size, double level) const
    {
        const std::int64_t hosts = static_cast<std::int64_t>(size);
        return hours *
               (cost_.cost_weights.buffer_host_hour *
                    static_cast<double>(cost_.excess_hosts(hosts, level)) +
                cost_.cost_weights.missed_request * cost_.missed_requests_per_hour(hosts, level));
    }

    run_cost backtrack(const std::vector<double>& value, const std::vector<double>& levels,
                       const std::vector<std::int64_t>& lost,
                       const std::vector<std::int64_t>& returned) const
    {
        run_cost result;
        std::size_t size =
            static_cast<std::size_t>(std::min_element(value.begin(), value.end()) - value.begin());
        for (std::size_t minute = levels.size(); minute-- > 0;)
        {
            const std::int64_t hosts = static_cast<std::int64_t>(size);
            result.buffer_host_hours +=
                hours * static_cast<double>(cost_.excess_hosts(hosts, levels[minute]));
            result.missed_sustained +=
                hours * cost_.missed_requests_per_hour(hosts, levels[minute]);
            const std::size_t from = choices_[minute * sizes_ + size];
            result.moves += moves_between(from, size, lost[minute], returned[minute]);
            size = from;
        }
        return result;
    }

    size_cost cost_;
    std::size_t sizes_;
    std::vector<std::uint16_t> choices_;
};

} // namespace

run_cost lower_bound(const demand_trace& trace, const evaluated_deployment& deployment)
{
    const std::size_t minutes = static_cast<std::size_t>(trace.minutes());
    std::vector<std::int64_t> lost(minutes, 0);
    std::vector<std::int64_t> returned(minutes, 0);
    for (const host_event& event : trace.events)
    {
        // A replay applies an event at the first minute that starts at or after it.
        const std::int64_t steps = trace.steps_per_minute();
        const std::size_t minute = static_cast<std::size_t>((event.step + steps - 1) / steps);
        if (minute < minutes)
        {
            ++(event.lost ? lost : returned)[minute];
        }
    }
    run_cost total;
    for (const auto& [name, levels] : sustained_levels(trace))
    {
        const auto found = deployment.pools.find(name);
        if (found == deployment.pools.end() || found->second.spare)
        {
            continue;
        }
        const std::int64_t first = std::count_if(trace.hosts.begin(), trace.hosts.end(),
                                                 [&pool_name = name](const trace_host& host)
                                                 { return host.pool == pool_name; });
        pool_program program(cost_model(deployment, found->second), trace.hosts.size() + 1);
        const run_cost pool = program.run(static_cast<std::size_t>(first), levels, lost, returned);
        total.buffer_host_hours += pool.buffer_host_hours;
        total.moves += pool.moves;
        total.missed_sustained += pool.missed_sustained;
    }
    return total;
}

} // namespace lacewingquay::planner
