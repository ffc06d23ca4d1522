#pragma once

#include <boost/json.hpp>
#include <boost/leaf.hpp>

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace lacewingquay::planner
{

/// Forecast of one pool's load in slots, by half-hour.
struct demand_forecast
{
    /// The load of the day before, scaled by the ratio of the recent load to the load at the same
    /// time of that day.
    std::vector<double> expected;
    /// For decisions to shrink: like `expected`, but scaled by the ratio of the last day to the day
    /// before if that is higher. Until a full day is known: the highest load recorded, with an
    /// allowance for the daily variation.
    std::vector<double> conservative;
};

/// Load of one pool: 5-minute means of the last 30 minutes and half-hour levels of about two days.
///
/// The level is the median of the last six 5-minute means. A burst of up to five minutes raises at
/// most two of them, so the median stays within the range of the others.
class demand_history
{
public:
    static constexpr std::int64_t bucket_minutes = 5;
    static constexpr std::size_t level_buckets = 6;
    static constexpr std::int64_t half_hours_per_day = 48;

    /// Adds the load of one minute. Returns true if this completed a 5-minute bucket. A minute that
    /// is not later than the last one is ignored.
    bool add(std::int64_t minute, std::int64_t millislots);

    /// Sustained load in slots, or nothing until 30 minutes are known.
    [[nodiscard]] std::optional<double> level() const;

    /// Load in slots for each of the next `steps` half-hours. Needs a level.
    [[nodiscard]] demand_forecast forecast(std::size_t steps) const;

    [[nodiscard]] boost::json::object to_json() const;
    static boost::leaf::result<demand_history> from_json(const boost::json::object& object,
                                                         const std::string& where);

private:
    void close_bucket(std::int64_t minute);
    void update_profile(std::int64_t index);
    /// Ratio of the recent load to the profile of the day before.
    [[nodiscard]] double recent_ratio() const;
    [[nodiscard]] std::optional<double> half_hour(std::int64_t index) const;
    /// Mean of the known profile values within an hour of `index`, which reduces the noise of a
    /// single half-hour.
    [[nodiscard]] std::optional<double> smoothed(std::int64_t index) const;
    /// Ratio of the last `compared` half-hours to the profile a day earlier; 1 if not known.
    [[nodiscard]] double day_ratio(std::int64_t compared) const;

    std::int64_t last_minute_ = -1;
    std::int64_t bucket_sum_ = 0;
    std::int64_t bucket_count_ = 0;
    std::deque<std::int64_t> buckets_;
    /// Median level in thousandths of a slot, by half-hours since the Unix epoch.
    std::map<std::int64_t, std::int64_t> half_hours_;
    /// The same values, averaged with the scaled profile of earlier days at this time of day.
    std::map<std::int64_t, std::int64_t> profile_;
};

} // namespace lacewingquay::planner
