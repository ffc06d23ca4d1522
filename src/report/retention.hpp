#pragma once

#include "core/clock.hpp"

#include <cstdint>
#include <optional>
#include <string>

namespace lacewingquay::report
{

/// Retention periods of counter rows.
struct retention_settings
{
    /// Minute rows are used for windows of up to an hour.
    std::chrono::minutes minutes_kept{120};
    /// Hour rows are used for windows of up to three days and for monthly reviews.
    std::chrono::hours hours_kept{24 * 35};
    /// Number of periods before these limits whose rows a new lease holder also removes, in case no
    /// host held the lease for some time.
    std::int64_t lookback_periods = 60;
};

/// Iterates over the row prefixes of expired periods, so that their rows can be removed.
/// Deterministic.
class retention_cursor
{
public:
    explicit retention_cursor(retention_settings settings);

    /// The next prefix whose rows are to be removed, or nothing if no period has expired. Returns
    /// the same prefix until `removed` is called or its period falls out of the look-back.
    [[nodiscard]] std::optional<std::string> next(wall_time now);

    /// Advances to the next period. Call it once the rows with the last prefix are removed.
    void removed();

private:
    retention_settings settings_;
    std::int64_t next_minute_ = 0;
    std::int64_t next_hour_ = 0;
    bool last_is_minute_ = false;
};

} // namespace lacewingquay::report
