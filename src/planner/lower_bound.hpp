#pragma once

#include "planner/evaluation.hpp"

namespace lacewingquay::planner
{

/// A lower bound of the cost of any policy on this trace whose moves all have the spare pool on one
/// side.
///
/// For each regular pool, a dynamic program over the minutes finds the sizes with the lowest
/// weighted cost, with the whole trace known. The problem is relaxed in five ways, none of which
/// raises the cost: the hosts of other pools do not limit a pool, a pool may be smaller than
/// `min_hosts`, a move takes no time, the loss or return of a host changes a pool's size without a
/// move or not at all, whichever is cheaper, and bursts are never missed.
[[nodiscard]] run_cost lower_bound(const demand_trace& trace,
                                   const evaluated_deployment& deployment);

} // namespace lacewingquay::planner
