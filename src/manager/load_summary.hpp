#pragma once

#include "core/clock.hpp"
#include "scheduler/load.hpp"

#include <boost/leaf.hpp>

#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <string_view>

namespace lacewingquay::manager
{

/// What the owner tells the other hosts of its queues.
struct load_summary
{
    /// Jobs stored with a later version than this are not counted.
    std::int64_t covered_version = 0;
    scheduler::load_report load;
};

/// Queues whose waiting jobs are reported, those with most: the row must stay below the store's
/// 64 KiB, and every host reads it.
inline constexpr std::size_t max_reported_queues = 400;

[[nodiscard]] std::string serialize_load(const load_summary& value);
[[nodiscard]] boost::leaf::result<load_summary> parse_load(std::string_view text);

/// The newest load that this host knows of. The owner stores it as it renews its ownership; while
/// it is silent nothing starts, and jobs stored since then are added here.
class load_board
{
public:
    /// The owner's summary was read or written.
    void observe(load_summary summary, std::int64_t row_version, steady_time now);

    /// Jobs were stored up to `version` since the owner's summary; their numbers by queue.
    void add_waiting(const std::map<std::string, std::int64_t, std::less<>>& queues,
                     std::int64_t version, steady_time now);

    /// Load of a queue.
    [[nodiscard]] scheduler::queue_load load_of(const job::queue& queue) const
    {
        return summary_.load.of(queue);
    }

    /// Version from which jobs are not counted yet.
    [[nodiscard]] std::int64_t covered_version() const { return summary_.covered_version; }

    [[nodiscard]] bool is_older_than(milliseconds age, steady_time now) const
    {
        return now - updated_ > age;
    }

private:
    load_summary summary_;
    std::int64_t row_version_ = 0;
    steady_time updated_{};
};

} // namespace lacewingquay::manager
