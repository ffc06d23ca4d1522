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

/// Where machines are: sizes pools by the work that waits and moves idle machines between them.
/// Answers queues that ask, one after the other, for several times their pool for some seconds.
namespace lacewingquay::fleet
{

/// Settings of `planner`. Moves and paid machines are weighed by these alone, so that deployments
/// differ by setting.
struct planner_settings
{
    /// Capacity wanted beyond the work that runs and waits.
    double headroom = 1.1;
    /// Machines kept beyond that in each pool.
    int spare_machines = 1;
    /// Growth is looked at over this time, and expected to last until a moved machine serves.
    milliseconds growth_window{1'500};
    milliseconds growth_horizon{1'800};
    /// An idle machine is lent to another pool after this time.
    milliseconds lend_after{200};
    /// An idle machine is parked in the standby pool after this time. A move there and back costs
    /// about as much as 2.3 s of a paid machine (site prices).
    milliseconds park_after{1'500};
};

/// A machine that can be moved, as of now.
struct machine_view
{
    std::string name;
    std::string pool;
    std::int64_t cpu = 0;
    /// Serves or is off in a standby pool; false while it moves or is maintained.
    bool available = false;
    /// Nothing runs there and it takes orders; with the time since then.
    bool idle = false;
    milliseconds idle_for{0};
    /// Runs on it, and lasting ones among them.
    int tasks = 0;
    int lasting = 0;
    /// Pool for which it has been drained; empty for none.
    std::string drained_for;
};

/// Work and machines of a pool.
struct pool_view
{
    std::string name;
    bool standby = false;
    /// Processors in thousandths: booked by runs, and wanted by tasks that wait.
    std::int64_t running_cpu = 0;
    std::int64_t waiting_cpu = 0;
    /// Of machines that serve, and of those on their way.
    std::int64_t capacity_cpu = 0;
    std::int64_t incoming_cpu = 0;
    /// A task waits that none of the pool's machines may take, although they have room.
    bool needs_other_machine = false;
};

struct move_order
{
    /// The machine gets no new runs and moves once it is idle.
    bool drain_first = false;
    std::string machine;
    std::string from;
    std::string to;
    /// For logs.
    std::string reason;
};

/// Decides which idle machines move. Deterministic.
class planner
{
public:
    explicit planner(planner_settings values);

    /// Moves to be ordered now.
    std::vector<move_order> decide(std::span<const machine_view> machines,
                                   std::span<const pool_view> pools, steady_time now);

    /// The platform refuses to have this machine in this pool.
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
    [[nodiscard]] bool may_lend(const machine_view& machine, const pool_plan& to,
                                std::vector<pool_plan>& plans);
    [[nodiscard]] const machine_view* choose_drained(std::span<const machine_view> machines,
                                                     const pool_plan& to,
                                                     std::span<const pool_plan> plans) const;
    [[nodiscard]] std::int64_t growth(const pool_view& pool, steady_time now);

    planner_settings settings_;
    std::map<std::string, std::deque<sample>> history_;
    std::set<std::pair<std::string, std::string>> forbidden_;
};

} // namespace lacewingquay::fleet
