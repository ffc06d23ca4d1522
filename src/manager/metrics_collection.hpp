#pragma once

#include "manager/context.hpp"
#include "manager/session.hpp"

namespace lacewingquay::manager
{

/// Sets the metrics that are kept as state elsewhere. `owner` is this host's session, or null.
void collect_metrics(context& shared, session* owner, bool is_ready);

} // namespace lacewingquay::manager
