#pragma once

#include "job/queue.hpp"

#include <chrono>
#include <cstdint>
#include <string>
#include <vector>

namespace lacewingquay::job
{

using std::chrono::milliseconds;

/// Amounts of a backend server's resources.
struct resources
{
    /// Thousandths of a core.
    std::int64_t cpu = 0;
    /// MiB.
    std::int64_t memory = 0;
    /// Whole accelerators.
    std::int64_t accelerators = 0;

    [[nodiscard]] bool fits_into(const resources& free) const
    {
        return cpu <= free.cpu && memory <= free.memory && accelerators <= free.accelerators;
    }

    resources& operator+=(const resources& other)
    {
        cpu += other.cpu;
        memory += other.memory;
        accelerators += other.accelerators;
        return *this;
    }

    resources& operator-=(const resources& other)
    {
        cpu -= other.cpu;
        memory -= other.memory;
        accelerators -= other.accelerators;
        return *this;
    }

    friend resources operator-(resources left, const resources& right) { return left -= right; }
    friend bool operator==(const resources&, const resources&) = default;
};

/// One step of a job: a set of identical tasks.
struct step
{
    int count = 0;
    /// What each task requests.
    resources request;
    /// The caller's estimate of one task's duration.
    milliseconds estimate{0};
    /// Indices of the steps whose tasks must all be done before this step starts.
    std::vector<std::size_t> after;
    /// The tasks save checkpoints, from which a later run resumes.
    bool checkpoints = false;
    /// All tasks must run at the same time; if one ends, the others end with it.
    bool gang = false;
    /// The tasks run slower on more than one rack.
    bool same_rack = false;
    /// Several runs of one task may overlap.
    bool speculative = false;
    /// The tasks run until the job is cancelled and are restarted however they end.
    bool long_running = false;
    /// The tasks use only capacity that others leave unused; no CPU is reserved for them.
    bool best_effort = false;
    /// Label that the backend server must have; empty for none.
    std::string required_label;
    /// Rack on which the tasks run at full speed; empty for any.
    std::string data_rack;
    /// Image that the tasks run; tasks of one image behave alike.
    std::string image;
    /// Most tasks of the step on one backend server; 0 for no limit.
    int max_per_server = 0;
    /// Upper bound of the tail latency of tasks that serve callers themselves; zero for none.
    milliseconds latency_target{0};
    /// Tasks that may be unavailable at the same time through decisions of the scheduler;
    /// negative if the step has no such budget.
    int disruption_budget = -1;
};

/// Repetition of a job's steps. With zero occurrences the steps run once, immediately.
struct schedule
{
    int occurrences = 0;
    /// Milliseconds since the Unix epoch.
    std::int64_t first_due = 0;
    milliseconds interval{0};
};

/// A job as its caller defined it.
struct definition
{
    /// Opaque text, passed to the backend server with each task.
    std::string payload;
    std::vector<step> steps;
    schedule times;
};

/// A stored job.
struct record
{
    std::string id;
    /// Its queue at the time of acceptance; used if the queue is later removed.
    job::queue queue;
    /// When the job was accepted, on the store's steady clock.
    milliseconds accepted{0};
    definition work;
};

/// State of a job as reported to callers.
enum class state : std::uint8_t
{
    queued,
    running,
    completed,
    failed,
    cancelled
};

[[nodiscard]] constexpr bool is_final(state value)
{
    return value != state::queued && value != state::running;
}

} // namespace lacewingquay::job
