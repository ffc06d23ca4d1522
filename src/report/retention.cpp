#include "report/retention.hpp"

#include "report/rows.hpp"

#include <algorithm>

namespace lacewingquay::report
{

retention_cursor::retention_cursor(retention_settings settings) : settings_(settings) {}

std::optional<std::string> retention_cursor::next(wall_time now)
{
    const std::int64_t minute = unix_milliseconds(now) / 60'000;
    const std::int64_t last_minute = minute - settings_.minutes_kept.count();
    const std::int64_t last_hour = minute / 60 - settings_.hours_kept.count();
    next_minute_ = std::max(next_minute_, last_minute - settings_.lookback_periods);
    next_hour_ = std::max(next_hour_, last_hour - settings_.lookback_periods);
    if (next_minute_ < last_minute)
    {
        last_is_minute_ = true;
        return period_prefix("burn_minute", next_minute_);
    }
    if (next_hour_ < last_hour)
    {
        last_is_minute_ = false;
        return period_prefix("burn_hour", next_hour_);
    }
    return std::nullopt;
}

void retention_cursor::removed()
{
    if (last_is_minute_)
    {
        ++next_minute_;
    }
    else
    {
        ++next_hour_;
    }
}

} // namespace lacewingquay::report
