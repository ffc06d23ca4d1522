#pragma once

#include "config/model.hpp"

#include <cstdint>
#include <span>
#include <vector>

namespace lacewingquay::planner
{

/// Cost of the size of one pool under a sustained load. The planner applies it to its forecast, the
/// evaluation and the lower bound to the recorded load.
struct size_cost
{
    config::weights cost_weights;
    std::int64_t min_hosts = 1;
    std::int64_t buffer_hosts = 0;
    /// Slots of a host that sustained load may use.
    double usable_slots_per_host = 6.4;
    /// Requests that one slot completes in an hour.
    double requests_per_slot_hour = 72'000.0;

    /// Hosts that the load requires; at least `min_hosts`.
    [[nodiscard]] std::int64_t required_hosts(double level_slots) const;

    /// Hosts held beyond the required ones.
    [[nodiscard]] std::int64_t excess_hosts(std::int64_t hosts, double level_slots) const;

    /// Requests per hour that the pool's own hosts cannot serve.
    [[nodiscard]] double missed_requests_per_hour(std::int64_t hosts, double level_slots) const;

    /// Weighted cost of holding `hosts` for `hours`. The buffer hosts configured by the operator
    /// are taken off first: they are neither counted as excess nor used for the load.
    [[nodiscard]] double holding_cost(std::int64_t hosts, double level_slots, double hours) const;
};

/// Returns the size with the lowest expected cost from now on, by a dynamic program over all sizes
/// up to `max_hosts`. `levels` has one load in slots for each step of the forecast. The load of a
/// step is assumed to be its level or `spread` (a share of it) below or above, with equal
/// probability. Of sizes with equal cost, the one closest to `current` is returned.
std::int64_t best_size(const size_cost& cost, std::int64_t current, std::int64_t max_hosts,
                       std::span<const double> levels, double step_hours, double spread);

} // namespace lacewingquay::planner
