#pragma once

#include "core/clock.hpp"
#include "platform/port.hpp"
#include "report/counters.hpp"

#include <boost/leaf.hpp>

#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace lacewingquay::report
{

/// Counters of one entry host incarnation over one minute or hour, as a row of the table service.
struct counter_row
{
    /// `burn_minute` or `burn_hour`.
    std::string kind;
    /// Minutes or hours since the Unix epoch.
    std::int64_t period = 0;
    std::string incarnation;
    counts_by_service counts;
};

[[nodiscard]] std::string row_key(const counter_row& row);
[[nodiscard]] std::string row_value(const counter_row& row);

/// Parses a row of the table service; fails with `input_error`.
boost::leaf::result<counter_row> parse_counter_row(std::string_view key, std::string_view value);

/// The common prefix of the row keys of one kind and period: KIND/PERIOD/, the period with twelve
/// digits.
[[nodiscard]] std::string period_prefix(std::string_view kind, std::int64_t period);

/// Limits of `row_buffer`.
struct row_buffer_settings
{
    /// Minute rows kept while the platform cannot be written. The counts of older ones remain in
    /// the hour rows.
    std::size_t max_minutes = 180;
    /// Hour rows kept while the platform cannot be written.
    std::size_t max_hours = 24 * 7;
};

/// Accumulates counts in one row per minute and one per hour and returns the rows to write. Each
/// row holds all counts of its period so far, and only this incarnation writes it, so writes are
/// idempotent and can be repeated after a lost answer. Deterministic; control thread only.
class row_buffer
{
public:
    row_buffer(std::string incarnation, row_buffer_settings settings);

    /// Adds counts to the current minute and hour.
    void add(wall_time now, const counts_by_service& counts);

    /// Writes for the rows that have changed since they were last written, in the order of their
    /// keys, at most `limit`.
    [[nodiscard]] std::vector<platform::row_write> pending(std::size_t limit) const;

    /// Marks rows as written unless they have changed since `pending` returned them, and drops
    /// those whose period is over.
    void written(const std::vector<platform::row_write>& rows, wall_time now);

private:
    struct entry
    {
        counter_row row;
        bool changed = false;
    };

    void add_to(const std::string& kind, std::int64_t period, const counts_by_service& counts);
    void drop_oldest(const std::string& kind, std::size_t max_rows);

    std::string incarnation_;
    row_buffer_settings settings_;
    std::map<std::string, entry> rows_;
};

} // namespace lacewingquay::report
