#pragma once

#include "core/address.hpp"
#include "manager/ownership.hpp"

#include <chrono>
#include <cstdint>
#include <string>

namespace lacewingquay::manager
{

using std::chrono::milliseconds;

/// Settings of the daemon that runs on every entry host. The platform hands most of them out.
struct settings
{
    /// Name of this entry host.
    std::string host;
    std::string availability_zone;
    /// Where callers connect.
    address callers;
    /// Where readiness is asked for.
    address readiness;
    /// Where metrics are served.
    address metrics;
    /// The platform's transactional store.
    address store;
    /// The platform's machine service; port 0 if there is none.
    address machines;
    /// The advice service of queues with placement advice; port 0 if there is none.
    address advice;
    /// Time from the request to stop until the process is killed.
    milliseconds stop_grace{6'000};
    /// What this host can do, for the choice of the owner.
    host_strength strength;
    /// Longest lease that a backend server accepts.
    milliseconds max_lease{10'000};
    /// How long the final state of a job is kept.
    milliseconds result_retention{120'000};
    /// Least time between orders of two holders for one machine.
    milliseconds machine_lease{3'000};
};

} // namespace lacewingquay::manager
