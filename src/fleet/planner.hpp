#pragma once

#include "core/clock.hpp"

#include <chrono>
#include <cstdint>
#include <deque>
#include <map>
#include <set>
#include <span>
#include <string>
#include <utility>
#include <vector>

/// Assigns machines to pools: sizes each pool by its demand and moves idle machines between pools.
/// Handles queues whose demand in turn exceeds their pool several times over for some seconds.
namespace lacewingquay::fleet
{

/// Settings of `planner`. They alone weigh the cost of moves against that of powered-on machines,
/// so that deployments can be tuned.
struct planner_settings
{
    /// Target capacity as a multiple of the demand, which is running, waiting and expected work.
    double headroom = 1.1;
    /// Additional machines in each pool.
    int spare_machines = 1;
    /// Demand growth is measured over the window and extrapolated over the horizon, which is the
    /// time until a moved machine serves.
    milliseconds growth_window{1'500};
    milliseconds growth_horizon{1'800};
    /// Idle time after which a machine may move to another pool.
    milliseconds min_idle_before_move{200};
    /// Idle time after which a machine may move to the standby pool. At the sites' prices a move
    /// there and back costs about as much as 2.3 s of a powered-on machine.
    milliseconds min_idle_before_standby{1'500};
    /// A task that no machine of its pool may run waits this long for a machine that is arriving,
    /// which may not arrive or be of no use to it. Then the pool gets another.
    milliseconds max_arrival_wait{3'000};
};

/// Current state of a machine.
struct machine_view
{
    std::string name;
    std::string pool;
    std::int64_t cpu = 0;
    /// Memory in MiB.
    std::int64_t memory = 0;
    /// Serving, or powered off in a standby pool; false while it moves or is in maintenance.
    bool available = false;
    /// Without runs and able to take orders, and for how long.
    bool idle = false;
    milliseconds idle_for{0};
    /// Number of runs on it, and of long-running ones among them.
    int tasks = 0;
    int long_running_tasks = 0;
    /// Pool to which it moves once it is drained; empty if it is not being drained.
    std::string drain_target_pool;
};

/// Current demand and capacity of a pool.
struct pool_view
{
    std::string name;
    bool standby = false;
    /// Demand of running and of waiting tasks, in thousandths of a processor core.
    std::int64_t running_cpu = 0;
    std::int64_t waiting_cpu = 0;
    /// Memory of running and of waiting tasks together, in MiB.
    std::int64_t demand_memory = 0;
    /// Capacity in the same unit: of serving machines, and of those moving in or returning from
    /// maintenance.
    std::int64_t capacity_cpu = 0;
    std::int64_t incoming_cpu = 0;
    /// A task waits that no machine of the pool may run, although there is free capacity.
    bool needs_other_machine = false;
};

/// An instruction to move a machine to another pool.
struct move_order
{
    /// Only drain the machine for now: it gets no new runs, and moves once it is idle.
    bool drain_first = false;
    std::string machine;
    std::string from;
    std::string to;
    /// Why the machine moves, for logs.
    std::string reason;
};

/// Decides which machines move between pools. Deterministic.
class planner
{
public:
    explicit planner(planner_settings values);

    /// Returns the moves to be ordered now.
    std::vector<move_order> decide(std::span<const machine_view> machines,
                                   std::span<const pool_view> pools, steady_time now);

    /// Excludes a move that the platform has refused from later decisions.
    void forbid(const std::string& machine, const std::string& pool);

private:
    struct sample
    {
        steady_time at{};
        std::int64_t demand = 0;
    };

    struct pool_plan;

    [[nodiscard]] std::vector<pool_plan> plan_pools(std::span<const machine_view> machines,
                                                    std::span<const pool_view> pools,
                                                    steady_time now);
    /// True if the pool has to get a machine for a task that it cannot place.
    [[nodiscard]] bool needs_other_machine(const pool_view& pool, steady_time now);
    [[nodiscard]] bool may_move(const machine_view& machine, const pool_plan& to,
                                std::vector<pool_plan>& plans);
    [[nodiscard]] const machine_view*
    choose_machine_to_drain(std::span<const machine_view> machines, const pool_plan& to,
                            std::span<const pool_plan> plans) const;
    [[nodiscard]] std::int64_t growth(const pool_view& pool, std::int64_t demand, steady_time now);

    planner_settings settings_;
    std::map<std::string, std::deque<sample>> history_;
    /// By pool: since when a task that it cannot place waits for a machine, or for another one.
    std::map<std::string, steady_time> waiting_since_;
    std::set<std::pair<std::string, std::string>> forbidden_;
};

} // namespace lacewingquay::fleet
