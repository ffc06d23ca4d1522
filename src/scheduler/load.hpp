#pragma once

#include "core/clock.hpp"
#include "job/model.hpp"
#include "job/queue.hpp"

#include <cstdint>
#include <functional>
#include <map>
#include <string>

namespace lacewingquay::scheduler
{

using std::chrono::milliseconds;

/// Load of one queue, reported to callers and used for admission.
struct queue_load
{
    /// Accepted jobs none of whose tasks is known to have started.
    std::int64_t waiting = 0;
    /// Estimated time in which the queue's pool completes the work that precedes a new job of the
    /// queue. Work that can no longer be on time is not counted.
    milliseconds drain{0};
    /// CPU that does this work, in thousandths of a core; zero if there is no such work.
    std::int64_t cpu = 0;
    /// As `drain`, with the work that will be late but still of use to its callers.
    milliseconds useful_drain{0};

    friend bool operator==(const queue_load&, const queue_load&) = default;
};

/// Work of one pool, cumulated over all queues up to one priority.
struct backlog
{
    /// Time in which the work that can still be on time is completed.
    milliseconds drain{0};
    /// CPU that does this work, in thousandths of a core.
    std::int64_t cpu = 0;
    /// As `drain`, with the work that will be late but still of use.
    milliseconds useful_drain{0};

    friend bool operator==(const backlog&, const backlog&) = default;
};

/// Load of all queues. A configuration may have thousands of queues on a few pools, so the backlog
/// is kept per pool.
struct load_report
{
    /// Jobs none of whose tasks is known to have started, by queue; queues without any are omitted.
    std::map<std::string, std::int64_t, std::less<>> waiting;
    /// Backlog by pool and queue priority; priorities without work are omitted.
    std::map<std::string, std::map<int, backlog>, std::less<>> pools;

    /// Load of one queue.
    [[nodiscard]] queue_load of(const job::queue& queue) const;

    friend bool operator==(const load_report&, const load_report&) = default;
};

/// Load of one pool, for the fleet planner.
struct pool_load
{
    /// Reserved by runs.
    job::resources running;
    /// Requested by tasks that could start now.
    job::resources waiting;
    job::resources capacity;
    /// Long-running tasks that no server of the pool accepts, and other tasks that none accepts
    /// although one has enough free capacity: because of labels, limits per server, or tasks that
    /// must not share a server. At most one task is counted for each step.
    int unplaceable = 0;
};

} // namespace lacewingquay::scheduler
