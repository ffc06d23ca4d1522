#pragma once

#include "job/model.hpp"

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>

namespace lacewingquay::manager
{

/// What this host knows of all stored jobs, for its callers. News may arrive in any order and more
/// than once; a job's state never goes back from a final one.
class mirror
{
public:
    /// A job is stored.
    void add_job(std::string_view id, std::string_view queue);

    /// A job's state was read or written. Unknown jobs are ignored until `add_job` names them.
    void set_state(std::string_view id, job::state shown, std::int64_t version);

    /// A job's caller has cancelled it.
    void cancel(std::string_view id);

    /// A job is no longer kept.
    void remove(std::string_view id);

    /// The state that callers are shown; nothing if the job is not known.
    [[nodiscard]] std::optional<job::state> state_of(std::string_view id) const;

    /// Accepted jobs of a queue of which no task has started.
    [[nodiscard]] std::size_t waiting(std::string_view queue) const;

    [[nodiscard]] std::size_t size() const { return jobs_.size(); }

private:
    struct entry
    {
        std::string queue;
        bool stored = false;
        job::state shown = job::state::queued;
        std::int64_t version = 0;
        bool cancelled = false;
    };

    [[nodiscard]] static job::state shown_state(const entry& value);
    /// Applies a change and keeps the count of waiting jobs.
    template <typename Change>
    void change(std::string_view id, Change&& apply);

    std::unordered_map<std::string, entry> jobs_;
    std::map<std::string, std::size_t, std::less<>> waiting_;
};

} // namespace lacewingquay::manager
