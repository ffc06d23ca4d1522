#pragma once

#include "config/cost.hpp"
#include "config/model.hpp"

#include <boost/json.hpp>

#include <map>
#include <span>
#include <string>
#include <vector>

namespace lacewingquay::report
{

/// Capacity, demand and buffer of one pool.
struct pool_buffer
{
    std::string pool;
    bool spare = false;
    config::capacity held;
    /// Mean busy slots of the services assigned to the pool.
    double busy_slots = 0.0;
    /// Hosts required for the mean demand; at least the pool's `min_hosts`.
    std::int64_t needed_hosts = 0;
    /// Hosts held beyond the required ones, and their cost per hour.
    std::int64_t idle_hosts = 0;
    double idle_hour_cost = 0.0;
};

/// Computes the buffer of each pool from the configuration, the placement of hosts and the mean
/// busy slots of each service.
[[nodiscard]] std::vector<pool_buffer>
compute_buffers(const config::configuration& configuration, const config::placed_hosts& placed,
                const std::map<std::string, double>& busy_slots);

[[nodiscard]] std::string buffer_table(std::span<const pool_buffer> buffers);
[[nodiscard]] boost::json::array buffer_json(std::span<const pool_buffer> buffers);

} // namespace lacewingquay::report
