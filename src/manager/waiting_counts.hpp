#pragma once

#include "core/clock.hpp"

#include <boost/leaf.hpp>

#include <cstdint>
#include <map>
#include <string>
#include <string_view>

namespace lacewingquay::manager
{

/// Accepted jobs of which no task has started, by queue, as the owner stores them.
struct waiting_counts
{
    /// Jobs stored with a later version than this are not counted.
    std::int64_t covered_version = 0;
    /// Queues without such jobs are left out.
    std::map<std::string, std::int64_t, std::less<>> queues;
};

[[nodiscard]] std::string serialize_waiting(const waiting_counts& value);
[[nodiscard]] boost::leaf::result<waiting_counts> parse_waiting(std::string_view text);

/// What this host tells callers of waiting jobs. The owner stores its counts as it renews its
/// ownership; while it is silent nothing starts, and jobs stored since then are added here.
class waiting_board
{
public:
    /// The owner's counts were read or written.
    void observe(waiting_counts counts, std::int64_t row_version, steady_time now);

    /// Jobs were stored up to `version` since the owner's counts, one in each queue named.
    void add(const std::map<std::string, std::int64_t, std::less<>>& queues, std::int64_t version,
             steady_time now);

    [[nodiscard]] std::int64_t waiting(std::string_view queue) const;

    /// Version from which jobs are not counted yet.
    [[nodiscard]] std::int64_t covered_version() const { return counts_.covered_version; }

    [[nodiscard]] bool is_older_than(milliseconds age, steady_time now) const
    {
        return now - updated_ > age;
    }

private:
    waiting_counts counts_;
    std::int64_t row_version_ = 0;
    steady_time updated_{};
};

} // namespace lacewingquay::manager
