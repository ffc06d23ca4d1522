#pragma once

#include "planner/trace.hpp"

#include <cstdint>
#include <string>
#include <vector>

namespace lacewingquay::planner
{

/// One service for which demand is generated, and its pool.
struct generated_service
{
    std::string name;
    /// Hosts of its pool at the start.
    std::int64_t hosts = 10;
    /// Mean load as a share of the slots of these hosts.
    double mean_utilization = 0.28;
    /// Amplitude of the daily variation, as a share of the mean.
    double daily_swing = 0.3;
};

struct generator_settings
{
    std::uint64_t seed = 1;
    std::int64_t days = 7;
    std::int64_t zones = 3;
    std::vector<generated_service> services;
    /// Factors of two permanent changes of the load, one up and one down, at random times in two
    /// services.
    double step_up = 1.3;
    double step_down = 0.7;
    /// Mean number of hosts lost per day, and the longest time until a host returns.
    double hosts_lost_per_day = 1.0;
    std::int64_t max_absence_hours = 8;
    /// Mean number of periods per day in which a service has no bursts; each lasts 5 to 20 minutes.
    double quiet_periods_per_day = 2.0;
};

/// Generates demand in which the services burst in turn: a burst lasts 5 to 15 s at about five
/// times the service's mean, and between bursts the load is a twentieth of the mean. The same
/// settings give the same trace on every platform.
[[nodiscard]] demand_trace generate_trace(const generator_settings& settings);

} // namespace lacewingquay::planner
