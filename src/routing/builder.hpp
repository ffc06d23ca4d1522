#pragma once

#include "config/model.hpp"
#include "placement/model.hpp"
#include "routing/snapshot.hpp"

#include <map>
#include <string>
#include <vector>

namespace lacewingquay::routing
{

/// Inputs of `build_snapshot`.
struct snapshot_parts
{
    const config::configuration& configuration;
    const std::string& digest;
    const std::map<std::string, placement::zone_placement, std::less<>>& placements;
    std::vector<member> members;
    std::uint64_t members_epoch = 0;
};

/// Builds a snapshot. A host is included only if the configuration and its zone's placement row
/// both contain it, so that no host is used before its pool assignment is recorded.
[[nodiscard]] snapshot_pointer build_snapshot(snapshot_parts parts);

} // namespace lacewingquay::routing
