#pragma once

#include "config/model.hpp"

#include <chrono>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace lacewingquay::planner
{

/// Load of one service during one minute.
struct service_demand
{
    std::string name;
    /// The service's own pool.
    std::string pool;
    /// Busy slots in all pools, averaged over the minute, in thousandths of a slot. An integer, so
    /// that a planner restored from saved state makes exactly the same decisions.
    std::int64_t busy_millislots = 0;
    /// Requests refused during the minute because no slot was free in time.
    std::int64_t refused_requests = 0;
};

/// Placement and availability of one host.
struct host_view
{
    std::string name;
    std::string availability_zone;
    std::string rack;
    std::string pool;
    /// The pool that the host is moving to, or empty.
    std::string next_pool;
    /// False while the host is lost, leaving or in maintenance.
    bool available = true;
    std::int64_t slots = 8;
};

/// All inputs of one planner decision apart from the planner's state.
struct planner_input
{
    /// Minutes since the Unix epoch; the load is that of the minute that has just ended.
    std::int64_t minute = 0;
    std::vector<service_demand> services;
    std::vector<host_view> hosts;
    std::map<std::string, config::pool, std::less<>> pools;
    config::weights cost_weights;
};

/// A move of one host to another pool.
struct planned_move
{
    std::string host;
    std::string from;
    std::string to;
    /// For the log.
    std::string reason;

    friend bool operator==(const planned_move&, const planned_move&) = default;
};

struct planner_settings
{
    /// Share of a pool's slots that sustained load may use. The rest absorbs the variation within
    /// a minute that the queue cannot.
    double utilization_limit = 0.8;
    /// Converts refused requests to slots and missing slots to missed requests.
    std::chrono::milliseconds mean_service_time{50};
    /// Assumed error of the forecast in both directions, as a share of it.
    double forecast_spread = 0.05;
    /// Share of the forecast added to it to find the size to grow to.
    double grow_headroom = 0.0;
    /// The same for the size to shrink to. Between these two sizes the pool is not resized.
    double shrink_headroom = 0.06;
    /// Limit of moves in progress into or out of one regular pool.
    std::int64_t max_moves_in_progress = 2;
    /// Minutes that the need to grow must persist, and minutes added for each host-hour of buffer
    /// that a move costs.
    double grow_wait_minutes = 10.0;
    double grow_wait_per_move_weight = 0.5;
    /// The same for shrinking. The base is longer than the troughs between bursts.
    double shrink_wait_minutes = 20.0;
    double shrink_wait_per_move_weight = 3.0;
    /// Minutes that a pool may be below `min_hosts`, so that a reboot causes no move.
    std::int64_t below_minimum_wait_minutes = 10;
    /// Minutes after which an ordered move that was not executed is dropped.
    std::int64_t order_timeout_minutes = 30;
};

} // namespace lacewingquay::planner
