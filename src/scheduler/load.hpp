#pragma once

#include "core/clock.hpp"
#include "job/model.hpp"

#include <cstdint>
#include <functional>
#include <map>
#include <string>

namespace lacewingquay::scheduler
{

using std::chrono::milliseconds;

/// Load of one queue, for callers and for admission.
struct queue_load
{
    /// Accepted jobs of which no task has started.
    std::int64_t waiting = 0;
    /// Time in which the queue's pool does the work that goes before a new job of the queue and can
    /// still be on time, by the estimates.
    milliseconds drain{0};
    /// Processors that do this work, in thousandths of a core. Zero without such work.
    std::int64_t cpu = 0;

    friend bool operator==(const queue_load&, const queue_load&) = default;
};

/// By the queue's name.
using queue_loads = std::map<std::string, queue_load, std::less<>>;

/// Load of one pool, for the fleet's planner.
struct pool_load
{
    /// Booked by runs, and wanted by tasks that could start now.
    job::resources running;
    job::resources waiting;
    job::resources capacity;
    /// Tasks that no machine of the pool may take, whatever its free processors: limits for each
    /// server, labels, or tasks that must not share a server.
    int unplaceable = 0;
};

} // namespace lacewingquay::scheduler
