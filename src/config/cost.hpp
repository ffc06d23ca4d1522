#pragma once

#include "config/model.hpp"

#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <vector>

namespace lacewingquay::config
{

/// Hosts and cost of a pool, or of all pools.
struct capacity
{
    std::int64_t hosts = 0;
    std::int64_t buffer_hosts = 0;
    /// Cost of all hosts for one hour, in the deployment's currency.
    double hour_cost = 0.0;
    /// Cost of the buffer hosts for one hour.
    double buffer_hour_cost = 0.0;

    friend bool operator==(const capacity&, const capacity&) = default;
};

struct capacity_change
{
    capacity before;
    capacity after;

    friend bool operator==(const capacity_change&, const capacity_change&) = default;
};

/// A host whose pool is changed by a note.
struct declared_move
{
    std::string host;
    std::string from;
    std::string to;

    friend bool operator==(const declared_move&, const declared_move&) = default;
};

/// What a note costs. A pool that is added or withdrawn has no hosts before or after.
struct cost_report
{
    std::map<std::string, capacity_change, std::less<>> pools;
    capacity_change total;
    std::vector<declared_move> moves;

    friend bool operator==(const cost_report&, const cost_report&) = default;
};

/// The pool in which each host is now; a host that is not listed is in its initial pool.
using placed_hosts = std::map<std::string, std::string, std::less<>>;

/// Capacity of each pool.
[[nodiscard]] std::map<std::string, capacity, std::less<>>
capacity_of(const configuration& value, const placed_hosts& placed = {});

[[nodiscard]] cost_report cost_of(const configuration& before, const configuration& after);

} // namespace lacewingquay::config
