#include "fleet/planner.hpp"

#include <algorithm>

namespace lacewingquay::fleet
{

namespace
{

/// A pool with the capacity it should have.
struct pool_plan
{
    const pool_view* view = nullptr;
    std::int64_t wanted = 0;
    /// Serving and on its way, as the orders of this round change it.
    std::int64_t capacity = 0;
};

} // namespace

planner::planner(planner_settings values) : settings_(values) {}

void planner::forbid(const std::string& machine, const std::string& pool)
{
    forbidden_.insert({machine, pool});
}

std::int64_t planner::growth(const pool_view& pool, steady_time now)
{
    std::deque<sample>& samples = history_[pool.name];
    const std::int64_t demand = pool.running_cpu + pool.waiting_cpu;
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

std::vector<move_order> planner::decide(std::span<const machine_view> machines,
                                        std::span<const pool_view> pools, steady_time now)
{
    std::vector<pool_plan> plans;
    std::string parking;
    std::int64_t machine_cpu = 1;
    for (const machine_view& machine : machines)
    {
        machine_cpu = std::max(machine_cpu, machine.cpu);
    }
    for (const pool_view& pool : pools)
    {
        if (pool.standby)
        {
            parking = parking.empty() ? pool.name : parking;
            continue;
        }
        const std::int64_t demand = pool.running_cpu + pool.waiting_cpu + growth(pool, now);
        std::int64_t wanted =
            static_cast<std::int64_t>(static_cast<double>(demand) * settings_.headroom) +
            settings_.spare_machines * machine_cpu;
        if (pool.needs_other_machine && pool.incoming_cpu == 0)
        {
            wanted = std::max(wanted, pool.capacity_cpu + machine_cpu);
        }
        plans.push_back({&pool, wanted, pool.capacity_cpu + pool.incoming_cpu});
    }
    std::sort(plans.begin(), plans.end(),
              [](const pool_plan& left, const pool_plan& right)
              { return left.wanted - left.capacity > right.wanted - right.capacity; });
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
    std::vector<const machine_view*> free;
    for (const machine_view& machine : machines)
    {
        if (machine.available && machine.idle)
        {
            free.push_back(&machine);
        }
    }
    // Machines that are off go first, then those that have been idle longest.
    std::sort(free.begin(), free.end(),
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
    for (pool_plan& plan : plans)
    {
        for (const machine_view*& machine : free)
        {
            if (plan.capacity >= plan.wanted)
            {
                break;
            }
            if (machine == nullptr || machine->pool == plan.view->name ||
                forbidden_.contains({machine->name, plan.view->name}))
            {
                continue;
            }
            const auto donor = plan_of(machine->pool);
            if (donor != plans.end())
            {
                if (machine->idle_for < settings_.lend_after ||
                    donor->capacity - machine->cpu < donor->wanted)
                {
                    continue;
                }
                donor->capacity -= machine->cpu;
            }
            plan.capacity += machine->cpu;
            orders.push_back({machine->name, machine->pool, plan.view->name, "demand"});
            machine = nullptr;
        }
    }
    for (const machine_view* machine : free)
    {
        if (machine == nullptr || parking.empty() || is_standby(machine->pool) ||
            machine->idle_for < settings_.park_after ||
            forbidden_.contains({machine->name, parking}))
        {
            continue;
        }
        const auto owner = plan_of(machine->pool);
        if (owner == plans.end() || owner->capacity - machine->cpu < owner->wanted)
        {
            continue;
        }
        owner->capacity -= machine->cpu;
        orders.push_back({machine->name, machine->pool, parking, "idle"});
    }
    return orders;
}

} // namespace lacewingquay::fleet
