#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <set>
#include <string>

namespace lacewingquay::membership
{

/// Placement epochs of one availability zone in use at an entry host.
struct placement_use
{
    /// Epoch of the placement row in force (field `epoch` of the row).
    std::uint64_t in_force = 0;
    /// Lowest epoch under which a grant is still outstanding; at most `in_force`.
    std::uint64_t lowest_in_use = 0;
};

/// A heartbeat of an entry host. Module `peer` converts it to and from protobuf.
struct heartbeat
{
    std::string id;
    std::string incarnation;
    std::string availability_zone;
    std::uint64_t members_epoch = 0;
    std::uint64_t config_epoch = 0;
    std::string config_digest;
    /// By availability zone.
    std::map<std::string, placement_use, std::less<>> placement;
    bool ready = false;
    bool stopping = false;
    /// Hosts that are not serving and on which the sender, as dispatcher or as holder, still counts
    /// an outstanding grant.
    std::set<std::string, std::less<>> busy_draining_hosts;
};

} // namespace lacewingquay::membership
