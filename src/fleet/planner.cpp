#include "fleet/planner.hpp"

#include <algorithm>

namespace lacewingquay::fleet
{

/// Target and planned capacity of a pool, in thousandths of a processor core.
struct planner::pool_plan
{
    const pool_view* view = nullptr;
    std::int64_t target = 0;
    /// Serving and incoming capacity, updated by the moves chosen in this round.
    std::int64_t capacity = 0;
    /// Needs another machine whatever its capacity, as a task cannot be placed.
    bool needs_other_machine = false;
    /// No further machine was found for it in this round.
    bool exhausted = false;

    [[nodiscard]] double shortage() const
    {
        return static_cast<double>(target - capacity) /
               static_cast<double>(std::max<std::int64_t>(1, target));
    }

    /// Pools with a task that cannot be placed come first, then those with the largest shortage.
    [[nodiscard]] bool has_priority_over(const pool_plan& other) const
    {
        if (needs_other_machine != other.needs_other_machine)
        {
            return needs_other_machine;
        }
        return shortage() > other.shortage();
    }
};

planner::planner(planner_settings values) : settings_(values) {}

void planner::forbid(const std::string& machine, const std::string& pool)
{
    forbidden_.insert({machine, pool});
}

std::int64_t planner::growth(const pool_view& pool, std::int64_t demand, steady_time now)
{
    std::deque<sample>& samples = history_[pool.name];
    samples.push_back({now, demand});
    while (samples.size() > 1 && samples.front().at + settings_.growth_window < now)
    {
        samples.pop_front();
    }
    const double seconds = std::chrono::duration<double>(now - samples.front().at).count();
    if (seconds <= 0.0 || demand <= samples.front().demand)
    {
        return 0;
    }
    const double slope =
        static_cast<double>(demand - samples.front().demand) /
        std::max(seconds, std::chrono::duration<double>(settings_.growth_window).count());
    return static_cast<std::int64_t>(
        slope * std::chrono::duration<double>(settings_.growth_horizon).count());
}

bool planner::needs_other_machine(const pool_view& pool, steady_time now)
{
    if (!pool.needs_other_machine)
    {
        waiting_since_.erase(pool.name);
        return false;
    }
    const steady_time since = waiting_since_.try_emplace(pool.name, now).first->second;
    return pool.incoming_cpu == 0 || now - since >= settings_.max_arrival_wait;
}

std::vector<planner::pool_plan> planner::plan_pools(std::span<const machine_view> machines,
                                                    std::span<const pool_view> pools,
                                                    steady_time now)
{
    std::int64_t machine_cpu = 1;
    std::int64_t machine_memory = 1;
    for (const machine_view& machine : machines)
    {
        machine_cpu = std::max(machine_cpu, machine.cpu);
        machine_memory = std::max(machine_memory, machine.memory);
    }
    std::vector<pool_plan> plans;
    for (const pool_view& pool : pools)
    {
        if (pool.standby)
        {
            continue;
        }
        // Tasks that need much memory fill machines whose processors are not in use.
        const std::int64_t cpu_for_memory = pool.demand_memory * machine_cpu / machine_memory;
        const std::int64_t present = std::max(pool.running_cpu + pool.waiting_cpu, cpu_for_memory);
        const std::int64_t demand = present + growth(pool, present, now);
        pool_plan plan;
        plan.view = &pool;
        plan.target = static_cast<std::int64_t>(static_cast<double>(demand) * settings_.headroom) +
                      settings_.spare_machines * machine_cpu;
        plan.capacity = pool.capacity_cpu + pool.incoming_cpu;
        plan.needs_other_machine = needs_other_machine(pool, now);
        plans.push_back(plan);
    }
    return plans;
}

bool planner::may_move(const machine_view& machine, const pool_plan& to,
                       std::vector<pool_plan>& plans)
{
    if (machine.pool == to.view->name || forbidden_.contains({machine.name, to.view->name}))
    {
        return false;
    }
    if (!machine.drain_target_pool.empty())
    {
        return machine.drain_target_pool == to.view->name;
    }
    const auto source =
        std::find_if(plans.begin(), plans.end(),
                     [&](const pool_plan& plan) { return plan.view->name == machine.pool; });
    if (source == plans.end())
    {
        return true;
    }
    return machine.idle_for >= settings_.min_idle_before_move &&
           (to.needs_other_machine || source->capacity - machine.cpu >= source->target);
}

const machine_view* planner::choose_machine_to_drain(std::span<const machine_view> machines,
                                                     const pool_plan& to,
                                                     std::span<const pool_plan> plans) const
{
    const machine_view* best = nullptr;
    for (const machine_view& machine : machines)
    {
        if (machine.drain_target_pool == to.view->name)
        {
            return nullptr;
        }
        const bool serves =
            std::any_of(plans.begin(), plans.end(),
                        [&](const pool_plan& plan) { return plan.view->name == machine.pool; });
        if (machine.available && !machine.idle && serves && machine.long_running_tasks == 0 &&
            machine.tasks > 0 && machine.pool != to.view->name &&
            machine.drain_target_pool.empty() &&
            !forbidden_.contains({machine.name, to.view->name}) &&
            (best == nullptr || machine.tasks < best->tasks))
        {
            best = &machine;
        }
    }
    return best;
}

std::vector<move_order> planner::decide(std::span<const machine_view> machines,
                                        std::span<const pool_view> pools, steady_time now)
{
    std::vector<pool_plan> plans = plan_pools(machines, pools, now);
    std::string standby_pool;
    for (const pool_view& pool : pools)
    {
        standby_pool = pool.standby && standby_pool.empty() ? pool.name : standby_pool;
    }
    const auto is_standby = [&](const std::string& name)
    {
        return std::any_of(pools.begin(), pools.end(),
                           [&](const pool_view& pool)
                           { return pool.standby && pool.name == name; });
    };
    const auto plan_of = [&](const std::string& name)
    {
        return std::find_if(plans.begin(), plans.end(),
                            [&](const pool_plan& plan) { return plan.view->name == name; });
    };
    std::vector<const machine_view*> free_machines;
    for (const machine_view& machine : machines)
    {
        if (machine.available && machine.idle)
        {
            free_machines.push_back(&machine);
        }
    }
    // Powered-off machines come first, then those that have been idle longest.
    std::sort(free_machines.begin(), free_machines.end(),
              [&](const machine_view* left, const machine_view* right)
              {
                  const bool left_off = is_standby(left->pool);
                  const bool right_off = is_standby(right->pool);
                  if (left_off != right_off)
                  {
                      return left_off;
                  }
                  return left->idle_for != right->idle_for ? left->idle_for > right->idle_for
                                                           : left->name < right->name;
              });
    std::vector<move_order> orders;
    while (true)
    {
        pool_plan* next = nullptr;
        for (pool_plan& plan : plans)
        {
            const bool lacks = plan.needs_other_machine || plan.capacity < plan.target;
            if (lacks && !plan.exhausted && (next == nullptr || plan.has_priority_over(*next)))
            {
                next = &plan;
            }
        }
        if (next == nullptr)
        {
            break;
        }
        const auto found = std::find_if(free_machines.begin(), free_machines.end(),
                                        [&](const machine_view* machine)
                                        { return may_move(*machine, *next, plans); });
        if (found != free_machines.end())
        {
            const machine_view& machine = **found;
            const auto source = plan_of(machine.pool);
            if (source != plans.end())
            {
                source->capacity -= machine.cpu;
            }
            next->capacity += machine.cpu;
            if (next->needs_other_machine)
            {
                waiting_since_[next->view->name] = now;
            }
            next->needs_other_machine = false;
            orders.push_back({false, machine.name, machine.pool, next->view->name, "demand"});
            free_machines.erase(found);
            continue;
        }
        const machine_view* to_drain =
            next->needs_other_machine ? choose_machine_to_drain(machines, *next, plans) : nullptr;
        if (to_drain != nullptr)
        {
            orders.push_back({true, to_drain->name, to_drain->pool, next->view->name, "drain"});
        }
        next->exhausted = true;
    }
    for (const machine_view* machine : free_machines)
    {
        if (standby_pool.empty() || is_standby(machine->pool) ||
            !machine->drain_target_pool.empty() ||
            machine->idle_for < settings_.min_idle_before_standby ||
            forbidden_.contains({machine->name, standby_pool}))
        {
            continue;
        }
        const auto source = plan_of(machine->pool);
        if (source == plans.end() || source->capacity - machine->cpu < source->target)
        {
            continue;
        }
        source->capacity -= machine->cpu;
        orders.push_back({false, machine->name, machine->pool, standby_pool, "idle"});
    }
    return orders;
}

} // namespace lacewingquay::fleet
