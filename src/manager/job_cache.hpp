#pragma once

#include "job/model.hpp"

#include <cstddef>
#include <cstdint>
#include <deque>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>

namespace lacewingquay::manager
{

/// Caches the states of jobs that this host has stored, read or scheduled. Saves reads of final
/// states and serves callers during store outages. Updates may arrive in any order and repeatedly;
/// a final state is never replaced. Bounded: the entry that was added first is evicted first.
class job_cache
{
public:
    explicit job_cache(std::size_t limit);

    /// Records a job's state, which was read or written with this version of its row.
    void update(std::string_view id, job::state reported_state, std::int64_t version);

    /// Marks a job as cancelled by its caller.
    void cancel(std::string_view id);

    /// The state reported to callers; empty if the job is not cached.
    [[nodiscard]] std::optional<job::state> state_of(std::string_view id) const;

    [[nodiscard]] std::size_t size() const { return jobs_.size(); }

private:
    struct entry
    {
        job::state reported_state = job::state::queued;
        std::int64_t version = 0;
        bool cancelled = false;
    };

    entry& find_or_add(std::string_view id);

    std::size_t limit_;
    std::unordered_map<std::string, entry> jobs_;
    /// Keys of `jobs_` in the order in which they were added.
    std::deque<std::string> order_;
};

} // namespace lacewingquay::manager
