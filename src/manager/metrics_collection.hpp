#pragma once

#include "manager/context.hpp"
#include "manager/owner_session.hpp"

namespace lacewingquay::manager
{

/// Updates the metrics whose values other components keep. `owner` is this host's session as owner,
/// or null.
void collect_metrics(context& shared, owner_session* owner, bool is_ready);

} // namespace lacewingquay::manager
