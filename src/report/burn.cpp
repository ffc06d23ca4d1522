#include "report/burn.hpp"

#include <cstdio>

namespace lacewingquay::report
{

namespace
{

/// Burn rate that uses 2% of a 30-day budget in an hour. The 5 min and the 1 h window must both
/// reach it.
constexpr double fast_burn_rate = 14.4;
/// Burn rate that uses 5% of a 30-day budget in six hours. The 1 h and the 6 h window must both
/// reach it.
constexpr double slow_burn_rate = 6.0;

/// Longest window that is computed from minute rows.
constexpr std::chrono::minutes max_minute_window{60};

/// True if the row belongs to the window of this length that ends now. The current, incomplete
/// period is part of it.
bool is_in_window(const counter_row& row, wall_time now, std::chrono::minutes length)
{
    const std::int64_t minute = unix_milliseconds(now) / 60'000;
    if (length <= max_minute_window)
    {
        return row.kind == "burn_minute" && row.period <= minute &&
               row.period > minute - length.count();
    }
    const std::int64_t hour = minute / 60;
    return row.kind == "burn_hour" && row.period <= hour && row.period > hour - length.count() / 60;
}

double burn_rate(const service_counts& counts, double slo)
{
    if (counts.total == 0 || slo >= 1.0)
    {
        return 0.0;
    }
    const double bad_share = static_cast<double>(counts.bad) / static_cast<double>(counts.total);
    return bad_share / (1.0 - slo);
}

std::string alarm_of(const std::vector<window_burn>& windows)
{
    if (windows[0].rate >= fast_burn_rate && windows[1].rate >= fast_burn_rate)
    {
        return "fast_burn";
    }
    if (windows[1].rate >= slow_burn_rate && windows[2].rate >= slow_burn_rate)
    {
        return "slow_burn";
    }
    return "ok";
}

} // namespace

const std::vector<burn_window>& burn_windows()
{
    static const std::vector<burn_window> windows = {{"5m", std::chrono::minutes{5}},
                                                     {"1h", std::chrono::hours{1}},
                                                     {"6h", std::chrono::hours{6}},
                                                     {"3d", std::chrono::hours{72}}};
    return windows;
}

std::vector<service_burn> compute_burn(const config::configuration& configuration,
                                       std::span<const counter_row> rows, wall_time now)
{
    std::vector<service_burn> burns;
    for (const std::pair<const std::string, config::service>& service : configuration.services)
    {
        service_burn burn;
        burn.service = service.first;
        burn.slo = service.second.slo;
        for (const burn_window& window : burn_windows())
        {
            window_burn result{window.name, {}, 0.0};
            for (const counter_row& row : rows)
            {
                const counts_by_service::const_iterator counts = row.counts.find(service.first);
                if (counts != row.counts.end() && is_in_window(row, now, window.length))
                {
                    result.counts += counts->second;
                }
            }
            result.rate = burn_rate(result.counts, burn.slo);
            burn.windows.push_back(std::move(result));
        }
        burn.alarm = alarm_of(burn.windows);
        burns.push_back(std::move(burn));
    }
    return burns;
}

std::string burn_table(std::span<const service_burn> burns)
{
    constexpr std::size_t line_limit = 256;
    char line[line_limit];
    std::snprintf(line, sizeof line, "%-24s %8s %10s %10s %10s %10s %12s %8s  %s\n", "service",
                  "slo", "burn 5m", "burn 1h", "burn 6h", "burn 3d", "requests 3d", "bad 3d",
                  "alarm");
    std::string table = line;
    for (const service_burn& burn : burns)
    {
        const service_counts& longest = burn.windows.back().counts;
        std::snprintf(line, sizeof line,
                      "%-24s %8.5f %10.2f %10.2f %10.2f %10.2f %12llu %8llu  %s\n",
                      burn.service.c_str(), burn.slo, burn.windows[0].rate, burn.windows[1].rate,
                      burn.windows[2].rate, burn.windows[3].rate,
                      static_cast<unsigned long long>(longest.total),
                      static_cast<unsigned long long>(longest.bad), burn.alarm.c_str());
        table += line;
    }
    return table;
}

boost::json::array burn_json(std::span<const service_burn> burns)
{
    boost::json::array result;
    for (const service_burn& burn : burns)
    {
        boost::json::object windows;
        for (const window_burn& window : burn.windows)
        {
            windows[window.window] = {{"burn_rate", window.rate},
                                      {"total", window.counts.total},
                                      {"bad", window.counts.bad},
                                      {"not_run", window.counts.not_run},
                                      {"may_have_run", window.counts.may_have_run},
                                      {"late", window.counts.late}};
        }
        result.push_back({{"service", burn.service},
                          {"slo", burn.slo},
                          {"alarm", burn.alarm},
                          {"windows", std::move(windows)}});
    }
    return result;
}

std::map<std::string, double> mean_busy_slots(std::span<const counter_row> rows, wall_time now,
                                              std::chrono::minutes length)
{
    std::map<std::string, double> busy;
    // The current minute is excluded because it is incomplete.
    const wall_time last_complete = now - std::chrono::minutes{1};
    for (const counter_row& row : rows)
    {
        if (!is_in_window(row, last_complete, length))
        {
            continue;
        }
        for (const counts_by_service::value_type& entry : row.counts)
        {
            busy[entry.first] += static_cast<double>(entry.second.busy_ms) /
                                 static_cast<double>(milliseconds(length).count());
        }
    }
    return busy;
}

} // namespace lacewingquay::report
