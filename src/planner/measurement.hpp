#pragma once

#include "planner/deployments.hpp"

#include <boost/leaf.hpp>

#include <iosfwd>
#include <span>
#include <string>
#include <vector>

namespace lacewingquay::planner
{

/// Result of one policy over one trace.
struct measured_policy
{
    std::string name;
    run_cost cost;
    double weighted_cost = 0.0;
    /// Weighted cost divided by that of the lower bound.
    double ratio = 0.0;
};

/// Runs the lower bound, the planner and the baselines over one trace, in this order.
[[nodiscard]] std::vector<measured_policy> measure_policies(const demand_trace& trace,
                                                            const evaluated_deployment& deployment);

/// Prints the results as a table.
void print_policies(std::span<const measured_policy> policies, std::ostream& out);

/// Runs the command `measure planner`. Returns an `exit_code`.
int run_planner_measurement(std::span<const std::string> arguments);

} // namespace lacewingquay::planner
