#include "entry/platform_views.hpp"

#include "core/error.hpp"
#include "core/log.hpp"
#include "placement/row.hpp"
#include "report/rows.hpp"

#include <boost/leaf.hpp>

#include <string_view>
#include <utility>

namespace lacewingquay::entry
{

namespace asio = boost::asio;
namespace leaf = boost::leaf;

namespace
{

/// Parses with `parse`, or logs the error and returns nothing.
template <typename Result, typename Function>
std::optional<Result> parse_or_log(std::string_view key, Function parse)
{
    return leaf::try_handle_all(
        [&]() -> leaf::result<std::optional<Result>>
        {
            BOOST_LEAF_AUTO(value, parse());
            return std::optional<Result>(std::move(value));
        },
        [&](const input_error& error)
        {
            log_event(log_level::error, "platform_row_refused",
                      {{"row", key}, {"reason", error.message()}});
            return std::optional<Result>();
        },
        [] { return std::optional<Result>(); });
}

std::optional<placement::request_row> read_request(const platform::row& row)
{
    const std::optional<std::string_view> host = placement::host_of_request_key(row.key);
    if (!host)
    {
        return std::nullopt;
    }
    return parse_or_log<placement::request_row>(
        row.key, [&] { return placement::parse_request(row.value, *host); });
}

} // namespace

asio::awaitable<std::optional<placed_hosts>> read_placement(platform::port& platform)
{
    const platform::rows_result rows = co_await platform.read_rows("placement/");
    if (rows.status == platform::read_status::unavailable)
    {
        co_return std::nullopt;
    }
    placed_hosts placed;
    for (const platform::row& row : rows.rows)
    {
        const std::optional<std::string_view> zone = placement::zone_of_placement_key(row.key);
        if (!zone)
        {
            continue;
        }
        std::optional<placement::zone_placement> parsed = parse_or_log<placement::zone_placement>(
            row.key, [&] { return placement::parse_placement(row.value, *zone); });
        if (!parsed)
        {
            co_return std::nullopt;
        }
        placed.merge(parsed->hosts);
    }
    co_return placed;
}

std::int64_t last_counted_minute(wall_time now)
{
    // Twice the usual interval of writing counters.
    constexpr std::int64_t settle_ms = 20'000;
    constexpr std::int64_t minute_ms = 60'000;
    return (unix_milliseconds(now) - settle_ms) / minute_ms - 1;
}

asio::awaitable<std::optional<report::counts_by_service>> read_minute(platform::port& platform,
                                                                      std::int64_t minute)
{
    const platform::rows_result rows =
        co_await platform.read_rows(report::period_prefix("burn_minute", minute));
    if (rows.status == platform::read_status::unavailable)
    {
        co_return std::nullopt;
    }
    report::counts_by_service total;
    for (const platform::row& row : rows.rows)
    {
        const std::optional<report::counter_row> parsed = parse_or_log<report::counter_row>(
            row.key, [&] { return report::parse_counter_row(row.key, row.value); });
        if (!parsed)
        {
            continue;
        }
        for (const auto& [service, counts] : parsed->counts)
        {
            total[service] += counts;
        }
    }
    co_return total;
}

std::optional<placement::request_row> read_waiting_request(const platform::row& row)
{
    std::optional<placement::request_row> request = read_request(row);
    return request && request->refusal.empty() ? request : std::nullopt;
}

bool is_waiting_request(const platform::row& row)
{
    return read_waiting_request(row).has_value();
}

bool is_other_request_of(const platform::row& row, const placement::request_row& wanted)
{
    const std::optional<placement::request_row> request = read_request(row);
    return request && request->author == wanted.author &&
           request->request.kind != wanted.request.kind;
}

} // namespace lacewingquay::entry
