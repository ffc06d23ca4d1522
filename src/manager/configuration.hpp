#pragma once

#include "job/queue.hpp"

#include <algorithm>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace lacewingquay::manager
{

/// A named group of machines that serves a set of queues.
struct pool
{
    std::string name;
    /// Machines in this pool are powered off and incur no cost.
    bool standby = false;
};

/// Queues and pools as configured by the operator.
struct configuration
{
    std::int64_t version = 0;
    std::vector<job::queue> queues;
    std::vector<pool> pools;

    [[nodiscard]] bool has_pool(std::string_view name) const
    {
        return std::any_of(pools.begin(), pools.end(),
                           [&](const pool& candidate) { return candidate.name == name; });
    }

    /// Returns the queue of `host` with the longest prefix that matches `path`, or null.
    [[nodiscard]] const job::queue* find_queue(std::string_view host, std::string_view path) const
    {
        const job::queue* best = nullptr;
        for (const job::queue& candidate : queues)
        {
            if (candidate.host == host && path.starts_with(candidate.prefix) &&
                (best == nullptr || candidate.prefix.size() > best->prefix.size()))
            {
                best = &candidate;
            }
        }
        return best;
    }
};

} // namespace lacewingquay::manager
