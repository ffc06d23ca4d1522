#pragma once

#include "dispatch/settings.hpp"

#include <chrono>
#include <cstdint>
#include <span>
#include <string>
#include <vector>

namespace lacewingquay::dispatch
{

/// Options of a queueing simulation with one pool. Times are in seconds unless a name says
/// otherwise.
struct wait_model_options
{
    /// Number of entry hosts and backend servers in each zone.
    std::vector<std::uint32_t> entry_hosts{3, 2, 2};
    std::vector<std::uint32_t> backend_servers{4, 3, 3};
    std::uint32_t slots = 8;
    /// Mean of the exponential service time.
    double mean_service = 0.05;
    /// One-way message delays.
    double zone_delay = 0.0002;
    double cross_zone_delay = 0.0015;
    /// Arrival rate as a fraction of the service rate of all slots.
    double load = 0.9;
    /// Arrival rate of the first two entry hosts relative to the others.
    double skew = 1.0;
    double length = 60.0;
    /// Requests count as in time if they complete within this.
    double deadline = 1.0;
    /// The load is multiplied by `burst_factor` for `burst_length`, from `burst_start` on.
    double burst_factor = 1.0;
    double burst_start = 3.0;
    double burst_length = 5.0;
    /// Time after the burst's start at which a dispatching entry host is killed; none if negative.
    double kill_after = -1.0;
    /// Time after which membership considers it dead in its own zone and in other zones.
    double zone_failure_timeout = 0.6;
    double cross_zone_failure_timeout = 3.0;
    /// The reference queues refuse a request with fewer than this many mean service times left
    /// after its wait. With 3, 95% of the requests that they start complete in time.
    double admission_margin = 3.0;
    std::uint64_t seed = 1;
    settings core_settings;
};

/// One request of a simulation. All designs get the same arrivals.
struct model_arrival
{
    double at = 0.0;
    double service = 0.0;
    std::uint32_t entry_host = 0;
    /// Included in the results: after the warm-up, and within the burst if there is one.
    bool counted = false;
};

struct wait_model_result
{
    double wait_p50_ms = 0.0;
    double wait_p99_ms = 0.0;
    std::uint64_t arrivals = 0;
    std::uint64_t in_time = 0;
    std::uint64_t refused = 0;
    /// Longest time from arrival to a refusal for overload.
    double slowest_refusal_ms = 0.0;
};

[[nodiscard]] std::vector<model_arrival> make_arrivals(const wait_model_options& options);

/// Simulates the dispatch cores, one node for each entry host.
[[nodiscard]] wait_model_result run_dispatch_cores(const wait_model_options& options,
                                                   std::span<const model_arrival> arrivals);
/// Simulates one first-come-first-served queue over all slots, without delays, that knows each wait
/// in advance and refuses immediately.
[[nodiscard]] wait_model_result run_shared_queue(const wait_model_options& options,
                                                 std::span<const model_arrival> arrivals);
/// Simulates such a queue at each entry host over an equal share of the slots.
[[nodiscard]] wait_model_result run_static_shares(const wait_model_options& options,
                                                  std::span<const model_arrival> arrivals);

/// The command `measure dispatch`: prints a table of the designs. Returns an exit code of
/// cli/options.hpp.
int run_wait_model(std::span<const std::string> arguments);

} // namespace lacewingquay::dispatch
