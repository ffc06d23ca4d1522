#pragma once

#include "core/address.hpp"

#include <chrono>
#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace lacewingquay::config
{

/// How urgently a service's requests are started when slots are short.
enum class priority : std::uint8_t
{
    urgent,
    normal,
    /// Starts only on idle slots or when its latest start is near.
    deferrable
};

/// A service that callers reach under the path `/<name>/`.
struct service
{
    std::string name;
    /// The pool whose hosts serve it first.
    std::string pool;
    /// Fraction of requests that must be answered in time, for example 0.999.
    double slo = 0.999;
    /// An answer later than this counts against the availability budget.
    std::chrono::milliseconds latency_target{1'000};
    /// Longest time that a request may run at a backend server.
    std::chrono::milliseconds request_timeout{2'000};
    /// HTTP methods whose requests may be sent again after they may have run.
    std::vector<std::string> idempotent_methods{"GET", "HEAD"};
    priority default_priority = priority::normal;
    /// Configuration epoch of the last change.
    std::uint64_t changed_epoch = 0;
};

/// A group of hosts. Exactly one pool of a configuration is the spare pool.
struct pool
{
    std::string name;
    /// Fewest hosts that the pool may be shrunk to by moves.
    std::int64_t min_hosts = 1;
    /// Hosts held beyond the forecast need.
    std::int64_t buffer_hosts = 0;
    /// Cost of one host for one hour, in the deployment's currency.
    double host_hour_cost = 1.0;
    bool spare = false;
    std::uint64_t changed_epoch = 0;
};

/// A backend server host.
struct host
{
    std::string name;
    std::string availability_zone;
    std::string rack;
    address where;
    /// Requests that may be in progress at once.
    std::int64_t slots = 8;
    std::int64_t connections = 64;
    /// The pool of a host that no placement row names yet.
    std::string initial_pool;
    std::uint64_t changed_epoch = 0;
};

/// What the deployment's owner weighs, in the planner's cost units.
struct weights
{
    double move = 1.0;
    double buffer_host_hour = 1.0;
    double missed_request = 1.0;
};

/// Settings of a deployment as a whole.
struct deployment_settings
{
    weights cost_weights;
    /// Time that the finance chief has to veto a release note.
    std::chrono::milliseconds veto_window{3'600'000};
    std::uint64_t changed_epoch = 0;
};

/// Everything that release notes change. Ordered by name, so that iteration is deterministic.
struct configuration
{
    std::uint64_t epoch = 0;
    std::map<std::string, service, std::less<>> services;
    std::map<std::string, pool, std::less<>> pools;
    std::map<std::string, host, std::less<>> hosts;
    deployment_settings settings;
};

} // namespace lacewingquay::config
