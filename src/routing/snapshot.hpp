#pragma once

#include "config/model.hpp"
#include "placement/model.hpp"

#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace lacewingquay::routing
{

/// A registered entry host.
struct member
{
    std::string id;
    /// `<id>#<start time in ms>`; changes with each start of the process.
    std::string incarnation;
    std::string availability_zone;
    address peer_address;
    address dispatch_address;
};

/// A host as a destination of requests.
struct backend_server
{
    std::string name;
    std::string availability_zone;
    std::string rack;
    std::string pool;
    address where;
    std::uint32_t slots = 8;
    placement::host_state state = placement::host_state::serving;
};

/// Routing data for traffic and dispatch threads. Built by the control thread only; immutable once
/// published.
struct snapshot
{
    std::uint64_t config_epoch = 0;
    std::string config_digest;
    std::uint64_t members_epoch = 0;
    /// Placement epoch in force for each availability zone.
    std::map<std::string, std::uint64_t, std::less<>> placement_epochs;
    std::map<std::string, config::service, std::less<>> services;
    std::string spare_pool;
    /// Sorted by name.
    std::vector<backend_server> backend_servers;
    /// Sorted by id.
    std::vector<member> members;
};

using snapshot_pointer = std::shared_ptr<const snapshot>;

} // namespace lacewingquay::routing
