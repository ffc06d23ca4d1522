#pragma once

#include "cli/options.hpp"
#include "core/address.hpp"
#include "core/log.hpp"

#include <boost/leaf.hpp>

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

namespace lacewingquay::entry
{

/// A peer that serves configuration and membership if the platform is down at start.
struct seed_peer
{
    std::string id;
    address peer_address;
};

/// Settings of the daemon on an entry host.
struct entry_settings
{
    /// Name of this entry host, unique in the deployment.
    std::string id;
    std::string availability_zone;
    /// Where callers reach it, behind the platform's balancer.
    address caller_listen;
    /// Health, readiness, metrics and status.
    address operator_listen;
    /// Control messages between entry hosts.
    address peer_listen;
    /// Dispatch messages between entry hosts.
    address dispatch_listen;
    address platform;
    std::vector<seed_peer> seed_peers;
    /// Threads for HTTP with callers and backend servers.
    std::size_t traffic_threads = 2;
    /// Largest accepted request body, in bytes.
    std::size_t body_limit = 1U << 20U;
    /// Time between readiness turning false and the listener closing in a planned stop. The
    /// balancer has to notice in between.
    std::chrono::milliseconds drain_delay{1'000};
    /// Longest wait for requests in progress in a planned stop.
    std::chrono::milliseconds stop_limit{30'000};
    /// Interval of conditional reads of the platform's rows.
    std::chrono::milliseconds poll_interval{1'000};
    /// Interval of writing counters to the platform.
    std::chrono::milliseconds flush_interval{10'000};
    /// Let the planner request moves. Without it the planner only logs what it would move.
    bool planner = false;
    /// Accept `POST /faults` at the operator port; for tests only.
    bool fault_injection = false;
    log_level lowest_level = log_level::info;
};

/// Declares the flags of `lacewingquay entry`.
void declare_entry_options(cli::option_set& options);

/// Reads and validates the settings; fails with `input_error`.
boost::leaf::result<entry_settings> parse_entry_settings(const cli::option_set& options);

} // namespace lacewingquay::entry
