#pragma once

#include "job/queue.hpp"

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace lacewingquay::manager
{

/// A pool of machines.
struct pool
{
    std::string name;
    /// Its machines are off and cost nothing.
    bool standby = false;
};

/// The operator's configuration.
struct configuration
{
    std::int64_t version = 0;
    std::vector<job::queue> queues;
    std::vector<pool> pools;

    /// The queue with the longest prefix of `path` at `host`, or null.
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
