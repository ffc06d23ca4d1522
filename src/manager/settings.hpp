#pragma once

#include "core/address.hpp"

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
    /// Longest lease that a backend server accepts.
    milliseconds max_lease{10'000};
    /// How long the final state of a job is kept.
    milliseconds result_retention{120'000};
    /// Least time between orders of two holders for one machine.
    milliseconds machine_lease{3'000};
    /// Time that a machine takes to move to another pool.
    milliseconds move_time{1'500};
    /// Time that a machine is away for maintenance.
    milliseconds maintenance_time{2'000};
    /// Slowdown of tasks away from their data or spread over racks.
    double cross_rack_factor = 3.0;
    /// Write calls a second that the store accepts from all hosts together.
    double store_writes_per_second = 600.0;
};

} // namespace lacewingquay::manager
