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

/// States of the jobs that this host has stored, read or scheduled. Spares reads of final states,
/// and answers callers while the store is away. News may arrive in any order and more than once; a
/// state never goes back from a final one. Bounded: the oldest job is forgotten first.
class job_cache
{
public:
    explicit job_cache(std::size_t limit);

    /// A job's state was read or written with this version of its row.
    void note(std::string_view id, job::state shown, std::int64_t version);

    /// A job's caller has cancelled it.
    void cancel(std::string_view id);

    /// The state that callers are shown; nothing if the job is not in the cache.
    [[nodiscard]] std::optional<job::state> state_of(std::string_view id) const;

    [[nodiscard]] std::size_t size() const { return jobs_.size(); }

private:
    struct entry
    {
        job::state shown = job::state::queued;
        std::int64_t version = 0;
        bool cancelled = false;
    };

    entry& find_or_add(std::string_view id);

    std::size_t limit_;
    std::unordered_map<std::string, entry> jobs_;
    /// In the order in which they were added.
    std::deque<std::string> order_;
};

} // namespace lacewingquay::manager
