#pragma once

#include "planner/evaluation.hpp"
#include "planner/trace_generator.hpp"

#include <boost/leaf.hpp>

#include <string_view>

namespace lacewingquay::planner
{

/// A reference deployment (section 1.3 of the design page): pools, weights and the settings of the
/// demand generated for it.
struct measured_deployment
{
    evaluated_deployment evaluated;
    generator_settings generator;
};

/// Returns the reference deployment `finland` or `wales`; fails with `input_error` for other names.
///
/// Finland: a move costs as much as 20 host-hours of buffer. Wales: as much as five. In both, 5,000
/// missed requests cost as much as one host-hour of buffer, so a missing host costs as much per
/// hour as 92 host-hours of buffer. The mean load is low enough for the pool and the spare pool
/// together to absorb most bursts; otherwise no policy could, and the ratios would not tell
/// policies apart.
[[nodiscard]] boost::leaf::result<measured_deployment> deployment_named(std::string_view name);

} // namespace lacewingquay::planner
