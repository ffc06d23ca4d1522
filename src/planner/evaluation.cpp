#include "planner/evaluation.hpp"

#include "planner/host_choice.hpp"

#include <algorithm>
#include <cmath>

namespace lacewingquay::planner
{

namespace
{

constexpr double slots_per_millislot = 0.001;

/// Simulation of the pools over one replay of a trace.
class replay_run
{
public:
    replay_run(const demand_trace& trace, const evaluated_deployment& deployment)
        : trace_(trace), deployment_(deployment), levels_(sustained_levels(trace))
    {
        for (const trace_host& host : trace.hosts)
        {
            hosts_.push_back(
                {host.name, host.availability_zone, host.rack, host.pool, "", true, host.slots});
            arrivals_.push_back(-1);
        }
    }

    run_cost run(const move_policy& policy)
    {
        for (std::int64_t minute = 0; minute < trace_.minutes(); ++minute)
        {
            apply_events(minute);
            planner_input input;
            input.minute = trace_.start_minute + minute;
            input.services = serve(minute);
            input.pools = deployment_.pools;
            input.cost_weights = deployment_.cost_weights;
            add_cost(minute);
            input.hosts = hosts_;
            for (const planned_move& move : policy(input))
            {
                start_move(move, minute);
            }
        }
        return cost_;
    }

private:
    [[nodiscard]] bool is_spare(const std::string& pool) const
    {
        const auto found = deployment_.pools.find(pool);
        return found != deployment_.pools.end() && found->second.spare;
    }

    /// Applies the losses and returns of hosts up to this minute and completes moves that are due.
    void apply_events(std::int64_t minute)
    {
        const std::int64_t step = minute * trace_.steps_per_minute();
        while (next_event_ < trace_.events.size() && trace_.events[next_event_].step <= step)
        {
            const host_event& event = trace_.events[next_event_++];
            for (host_view& host : hosts_)
            {
                host.available = host.name == event.host ? !event.lost : host.available;
            }
        }
        for (std::size_t index = 0; index < hosts_.size(); ++index)
        {
            if (!hosts_[index].next_pool.empty() && arrivals_[index] <= minute)
            {
                hosts_[index].pool = hosts_[index].next_pool;
                hosts_[index].next_pool.clear();
            }
        }
    }

    [[nodiscard]] std::map<std::string, double, std::less<>> slots_by_pool() const
    {
        std::map<std::string, double, std::less<>> slots;
        for (const host_view& host : hosts_)
        {
            if (host.available && host.next_pool.empty())
            {
                slots[host.pool] += static_cast<double>(host.slots);
            }
        }
        return slots;
    }

    /// Serves one minute of demand and returns the busy slots and refused requests of each service.
    std::vector<service_demand> serve(std::int64_t minute)
    {
        const std::map<std::string, double, std::less<>> slots = slots_by_pool();
        const double step_requests =
            static_cast<double>(trace_.step_seconds) * 1'000.0 /
            static_cast<double>(deployment_.settings.mean_service_time.count());
        std::vector<double> busy(trace_.services.size(), 0.0);
        std::vector<double> refused(trace_.services.size(), 0.0);
        const std::int64_t steps = trace_.steps_per_minute();
        for (std::int64_t step = minute * steps; step < (minute + 1) * steps; ++step)
        {
            serve_step(trace_.samples[static_cast<std::size_t>(step)], slots, busy, refused);
        }
        std::vector<service_demand> seen;
        for (std::size_t index = 0; index < trace_.services.size(); ++index)
        {
            cost_.missed_burst += refused[index] * step_requests;
            seen.push_back({trace_.services[index].name, trace_.services[index].pool,
                            std::llround(busy[index] / static_cast<double>(steps) * 1'000.0),
                            std::llround(refused[index] * step_requests)});
        }
        return seen;
    }

    void serve_step(const std::vector<std::int64_t>& sample,
                    const std::map<std::string, double, std::less<>>& slots,
                    std::vector<double>& busy, std::vector<double>& refused) const
    {
        std::map<std::string, double, std::less<>> left = slots;
        std::vector<double> overflow(sample.size(), 0.0);
        double spare_left = 0.0;
        for (std::size_t index = 0; index < sample.size(); ++index)
        {
            const double demand = slots_per_millislot * static_cast<double>(sample[index]);
            double& pool_slots = left[trace_.services[index].pool];
            const double taken = std::min(pool_slots, demand);
            pool_slots -= taken;
            busy[index] += taken;
            overflow[index] = demand - taken;
        }
        for (const auto& [pool, free] : left)
        {
            spare_left += is_spare(pool) ? free : 0.0;
        }
        for (std::size_t index = 0; index < sample.size(); ++index)
        {
            const double taken = std::min(spare_left, overflow[index]);
            spare_left -= taken;
            busy[index] += taken;
            refused[index] += overflow[index] - taken;
        }
    }

    /// Adds the buffer and the missed sustained load of one minute to the cost.
    void add_cost(std::int64_t minute)
    {
        constexpr double hours = 1.0 / 60.0;
        for (const auto& [name, pool] : deployment_.pools)
        {
            const size_cost model = cost_model(deployment_, pool);
            const double level = level_at(name, minute);
            const std::int64_t held = hosts_not_moving(hosts_, name);
            cost_.missed_sustained += hours * model.missed_requests_per_hour(held, level);
            if (!pool.spare)
            {
                cost_.buffer_host_hours +=
                    hours * static_cast<double>(model.excess_hosts(held, level));
            }
        }
    }

    void start_move(const planned_move& move, std::int64_t minute)
    {
        for (std::size_t index = 0; index < hosts_.size(); ++index)
        {
            host_view& host = hosts_[index];
            if (host.name == move.host && host.available && host.next_pool.empty() &&
                host.pool == move.from)
            {
                host.next_pool = move.to;
                arrivals_[index] = minute + deployment_.move_minutes;
                ++cost_.moves;
                cost_.unfounded_moves += is_founded(move, minute) ? 0 : 1;
            }
        }
    }

    [[nodiscard]] double level_at(const std::string& pool, std::int64_t minute) const
    {
        const auto found = levels_.find(pool);
        return found == levels_.end() ? 0.0 : found->second[static_cast<std::size_t>(minute)];
    }

    /// True if at some minute around the move the sustained load requires at least the new size (of
    /// a pool that grows) or at most the new size (of a pool that shrinks).
    [[nodiscard]] bool is_founded(const planned_move& move, std::int64_t minute) const
    {
        constexpr std::int64_t minutes_before = 30;
        constexpr std::int64_t minutes_after = 180;
        const bool grows = is_spare(move.from);
        const config::pool& pool = deployment_.pools.find(grows ? move.to : move.from)->second;
        const size_cost model = cost_model(deployment_, pool);
        const std::int64_t size = hosts_held(hosts_, pool.name) - pool.buffer_hosts;
        const std::int64_t last = std::min(trace_.minutes() - 1, minute + minutes_after);
        for (std::int64_t at = std::max<std::int64_t>(0, minute - minutes_before); at <= last; ++at)
        {
            const std::int64_t required = model.required_hosts(level_at(pool.name, at));
            if (grows ? required >= size : required <= size)
            {
                return true;
            }
        }
        return false;
    }

    const demand_trace& trace_;
    const evaluated_deployment& deployment_;
    std::map<std::string, std::vector<double>, std::less<>> levels_;
    std::vector<host_view> hosts_;
    std::vector<std::int64_t> arrivals_;
    std::size_t next_event_ = 0;
    run_cost cost_;
};

} // namespace

std::map<std::string, std::vector<double>, std::less<>> sustained_levels(const demand_trace& trace)
{
    constexpr std::int64_t half_window = 30;
    std::map<std::string, std::vector<double>, std::less<>> levels;
    const std::int64_t minutes = trace.minutes();
    const std::int64_t steps = trace.steps_per_minute();
    for (std::size_t service = 0; service < trace.services.size(); ++service)
    {
        std::vector<double> sums(static_cast<std::size_t>(minutes) + 1, 0.0);
        for (std::int64_t minute = 0; minute < minutes; ++minute)
        {
            double sum = 0.0;
            for (std::int64_t step = minute * steps; step < (minute + 1) * steps; ++step)
            {
                sum += static_cast<double>(trace.samples[static_cast<std::size_t>(step)][service]);
            }
            const std::size_t index = static_cast<std::size_t>(minute);
            sums[index + 1] = sums[index] + sum / static_cast<double>(steps) * slots_per_millislot;
        }
        std::vector<double>& pool = levels[trace.services[service].pool];
        pool.resize(static_cast<std::size_t>(minutes), 0.0);
        for (std::int64_t minute = 0; minute < minutes; ++minute)
        {
            const std::int64_t first = std::max<std::int64_t>(0, minute - half_window);
            const std::int64_t end = std::min(minutes, minute + half_window);
            pool[static_cast<std::size_t>(minute)] +=
                (sums[static_cast<std::size_t>(end)] - sums[static_cast<std::size_t>(first)]) /
                static_cast<double>(end - first);
        }
    }
    return levels;
}

size_cost cost_model(const evaluated_deployment& deployment, const config::pool& pool)
{
    constexpr double slots_per_host = 8.0;
    constexpr double milliseconds_per_hour = 3'600'000.0;
    size_cost cost;
    cost.cost_weights = deployment.cost_weights;
    cost.min_hosts = pool.min_hosts;
    cost.buffer_hosts = pool.buffer_hosts;
    cost.usable_slots_per_host = deployment.settings.utilization_limit * slots_per_host;
    cost.requests_per_slot_hour =
        milliseconds_per_hour / static_cast<double>(deployment.settings.mean_service_time.count());
    return cost;
}

run_cost evaluate(const demand_trace& trace, const evaluated_deployment& deployment,
                  const move_policy& policy)
{
    return replay_run(trace, deployment).run(policy);
}

} // namespace lacewingquay::planner
