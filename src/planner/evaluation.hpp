#pragma once

#include "planner/model.hpp"
#include "planner/sizing.hpp"
#include "planner/trace.hpp"

#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <vector>

namespace lacewingquay::planner
{

/// Pools, cost weights and planner settings that a trace is replayed with.
struct evaluated_deployment
{
    std::map<std::string, config::pool, std::less<>> pools;
    config::weights cost_weights;
    planner_settings settings;
    /// Minutes from the start of a move until the host serves its new pool.
    std::int64_t move_minutes = 2;
};

/// Returns the moves to start. Called once a minute with the load of the minute that has just
/// ended.
using move_policy = std::function<std::vector<planned_move>(const planner_input&)>;

/// Cost of one replay of a trace.
struct run_cost
{
    /// Host-hours that regular pools held beyond what they required. Hosts of the spare pool do
    /// not count: the size of the fleet is constant, and every host that no regular pool holds is
    /// in the spare pool.
    double buffer_host_hours = 0.0;
    std::int64_t moves = 0;
    /// Requests of the sustained load beyond `utilization_limit` of the pool's own hosts. The spare
    /// pool is reserved for bursts, so sustained load served by it counts as missed.
    double missed_sustained = 0.0;
    /// Requests of bursts beyond the pool's own slots and the free slots of the spare pool.
    double missed_burst = 0.0;
    /// Moves to a size that the sustained load does not require at any time from 30 minutes before
    /// to three hours after the move, so moves caused by a burst or a trough.
    std::int64_t unfounded_moves = 0;

    [[nodiscard]] double missed() const { return missed_sustained + missed_burst; }

    [[nodiscard]] double weighted(const config::weights& weights) const
    {
        return buffer_host_hours * weights.buffer_host_hour +
               static_cast<double>(moves) * weights.move + missed() * weights.missed_request;
    }
};

/// Sustained load of each pool in slots, by minute: the mean over the hour around the minute.
[[nodiscard]] std::map<std::string, std::vector<double>, std::less<>>
sustained_levels(const demand_trace& trace);

/// The cost model of one pool of the deployment.
[[nodiscard]] size_cost cost_model(const evaluated_deployment& deployment,
                                   const config::pool& pool);

/// Replays the trace with a policy. Moves of hosts that are not available, that are moving already
/// or that are not in the pool named as source are ignored.
[[nodiscard]] run_cost evaluate(const demand_trace& trace, const evaluated_deployment& deployment,
                                const move_policy& policy);

} // namespace lacewingquay::planner
