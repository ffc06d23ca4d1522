#pragma once

#include "core/address.hpp"
#include "manager/ownership.hpp"

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <string>

namespace lacewingquay::manager
{

using std::chrono::milliseconds;

/// Settings of the daemon on an entry host. Most of them are provided by the platform.
struct settings
{
    /// Name of this entry host.
    std::string host;
    std::string availability_zone;
    /// Address that callers connect to.
    address callers;
    /// Address of the readiness endpoint.
    address readiness;
    /// Address of the metrics endpoint.
    address metrics;
    /// The platform's transactional store.
    address store;
    /// The platform's machine service; port 0 if there is none.
    address machines;
    /// The advice service of queues with placement advice; port 0 if there is none.
    address advice;
    /// Time from SIGTERM until the process is killed.
    milliseconds stop_grace{6'000};
    /// This host's resources, which decide how soon it takes over ownership.
    host_resources resources;
    /// Longest lease that a backend server accepts.
    milliseconds max_lease{10'000};
    /// How long a job's final state is kept.
    milliseconds result_retention{120'000};
    /// Least time between the orders of two owners for one machine.
    milliseconds machine_lease{3'000};
    /// Largest value of a row that the store accepts, in bytes.
    std::size_t max_row_bytes = 65'536;
};

} // namespace lacewingquay::manager
