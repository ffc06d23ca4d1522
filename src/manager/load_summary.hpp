#pragma once

#include "core/clock.hpp"
#include "scheduler/load.hpp"

#include <boost/leaf.hpp>

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>

namespace lacewingquay::manager
{

/// Load of all queues, which the owner publishes to the other hosts.
struct load_summary
{
    /// Jobs stored with a later version than this are not included.
    std::int64_t covered_version = 0;
    /// All jobs stored before this time are included; on the store's steady clock. Zero if unknown.
    milliseconds complete_at{0};
    scheduler::load_report load;
    /// False if queues with waiting jobs are missing, as the row has no space for them.
    bool waiting_complete = true;
};

/// Longest text of a load summary. The queues with the most waiting jobs are listed first.
inline constexpr std::size_t max_load_bytes = 60'000;

/// Returns the text of at most `max_bytes` bytes; queues, then pools, that do not fit are left out.
[[nodiscard]] std::string serialize_load(const load_summary& value,
                                         std::size_t max_bytes = max_load_bytes);
[[nodiscard]] boost::leaf::result<load_summary> parse_load(std::string_view text);

/// The latest load known to this host. The owner stores a summary with each renewal of its
/// ownership. Without an active owner no task starts, so jobs stored since are added to the counts.
class load_tracker
{
public:
    /// Takes a summary of the owner; ignored if its row is older than the latest one.
    void observe(load_summary summary, std::int64_t row_version);

    /// Adds jobs, counted by queue, that were stored after the owner's summary and up to `version`.
    /// They were read from the store at `store_time`.
    void add_waiting(const std::map<std::string, std::int64_t, std::less<>>& queues,
                     std::int64_t version, milliseconds store_time);

    /// Takes the counts of all jobs that were stored up to `version`, as read from the store at
    /// `store_time`.
    void add_full_count(std::map<std::string, std::int64_t, std::less<>> queues,
                        std::int64_t version, milliseconds store_time);

    /// True if the owner's summary tells the count of a queue.
    [[nodiscard]] bool lists(const job::queue& queue) const;

    /// Waiting jobs of a queue; none if no count is known that is at most `max_age` old.
    [[nodiscard]] std::optional<std::int64_t> waiting(const job::queue& queue, milliseconds max_age,
                                                      milliseconds store_time) const;

    /// Load of a queue.
    [[nodiscard]] scheduler::queue_load load_of(const job::queue& queue) const
    {
        return summary_.load.of(queue);
    }

    /// Jobs stored after this version are not included in the counts yet.
    [[nodiscard]] std::int64_t covered_version() const { return summary_.covered_version; }

    /// Time since the counts were complete, however they reached this host; none if unknown.
    [[nodiscard]] std::optional<milliseconds> age(milliseconds store_time) const;

    [[nodiscard]] bool is_older_than(milliseconds limit, milliseconds store_time) const
    {
        return age(store_time).value_or(milliseconds::max()) > limit;
    }

private:
    load_summary summary_;
    /// Counts of all queues, for those that the summary does not list.
    load_summary full_count_;
    std::int64_t row_version_ = 0;
};

} // namespace lacewingquay::manager
