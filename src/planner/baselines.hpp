#pragma once

#include "planner/evaluation.hpp"

namespace lacewingquay::planner
{

/// Baseline that never moves a host.
[[nodiscard]] move_policy fixed_pools();

/// Baseline that resizes each pool every minute to the hosts required by the mean load of the last
/// `window_minutes`, without hysteresis.
[[nodiscard]] move_policy proportional_follower(const evaluated_deployment& deployment,
                                                std::int64_t window_minutes = 15);

} // namespace lacewingquay::planner
