#pragma once

#include "config/model.hpp"
#include "report/rows.hpp"

#include <boost/json.hpp>

#include <span>
#include <string>
#include <vector>

namespace lacewingquay::report
{

/// A window over which the burn rate of the availability budget is measured. Short windows detect a
/// fast burn, long ones a slow burn. (Beyer et al., The Site Reliability Workbook, 2018, chapter 5)
struct burn_window
{
    std::string name;
    std::chrono::minutes length;
};

/// 5 min, 1 h, 6 h and 3 d.
[[nodiscard]] const std::vector<burn_window>& burn_windows();

/// Burn of one service over one window.
struct window_burn
{
    std::string window;
    service_counts counts;
    /// Share of bad requests divided by the share that the SLO allows: a rate of 1 uses up the
    /// budget exactly over the SLO's period. 0 without requests.
    double rate = 0.0;
};

struct service_burn
{
    std::string service;
    double slo = 0.0;
    std::vector<window_burn> windows;
    /// `ok`, `slow_burn` or `fast_burn`; see docs/OPERATIONS.md.
    std::string alarm;
};

/// Computes the burn of each service from counter rows. Minute rows are used for windows of up to
/// an hour, hour rows for longer ones. Rows outside all windows are ignored.
[[nodiscard]] std::vector<service_burn> compute_burn(const config::configuration& configuration,
                                                     std::span<const counter_row> rows,
                                                     wall_time now);

[[nodiscard]] std::string burn_table(std::span<const service_burn> burns);
[[nodiscard]] boost::json::array burn_json(std::span<const service_burn> burns);

/// Mean busy slots of each service over the last `length` of complete minutes, from minute rows.
/// `length` is at most one hour.
[[nodiscard]] std::map<std::string, double>
mean_busy_slots(std::span<const counter_row> rows, wall_time now, std::chrono::minutes length);

} // namespace lacewingquay::report
