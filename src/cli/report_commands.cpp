#include "cli/report_commands.hpp"

#include "cli/options.hpp"
#include "cli/platform_flags.hpp"
#include "config/placement_rows.hpp"
#include "config/release.hpp"
#include "core/clock.hpp"
#include "platform/blocking.hpp"
#include "report/buffer.hpp"
#include "report/burn.hpp"
#include "report/history.hpp"

#include <array>
#include <functional>
#include <iostream>

namespace lacewingquay::cli
{

namespace asio = boost::asio;
namespace leaf = boost::leaf;

namespace
{

using platform::read_status;

constexpr std::chrono::minutes demand_window{60};

/// Roll-outs that take longer are shown with the entry hosts that were in time.
constexpr std::chrono::milliseconds rollout_window{60'000};

/// What the reports are made of.
struct report_rows
{
    config::head_state head;
    platform::rows_result rows;
};

/// A report: which rows it needs, and how it is printed.
struct report_kind
{
    std::string usage;
    std::vector<std::string> prefixes;
    bool needs_head = false;
    std::function<leaf::result<void>(const report_rows&, bool as_json)> print;
};

asio::awaitable<report_rows> read_rows(platform::port& port, std::vector<std::string> prefixes,
                                       bool needs_head)
{
    report_rows result;
    result.rows.status = read_status::found;
    if (needs_head)
    {
        config::release_manager manager(port, config::release_settings{});
        result.head = co_await manager.read_head();
    }
    for (const std::string& prefix : prefixes)
    {
        platform::rows_result part = co_await port.read_rows(prefix);
        if (part.status == read_status::unavailable)
        {
            result.rows.status = read_status::unavailable;
            co_return result;
        }
        result.rows.rows.insert(result.rows.rows.end(), part.rows.begin(), part.rows.end());
    }
    co_return result;
}

leaf::result<int> run_report(const report_kind& kind, std::span<const std::string> arguments)
{
    option_set options(kind.usage);
    add_common_flags(options);
    BOOST_LEAF_CHECK(options.parse(arguments));
    if (options.wants_help())
    {
        std::cout << options.help();
        return exit_ok;
    }
    BOOST_LEAF_AUTO(flags, read_common_flags(options));
    const report_rows rows =
        platform::run_with_platform(flags.platform, [&kind](platform::port& port)
                                    { return read_rows(port, kind.prefixes, kind.needs_head); });
    const bool no_head = kind.needs_head && rows.head.status != read_status::found;
    if (kind.needs_head && rows.head.status == read_status::absent)
    {
        std::cerr << "no configuration is in force yet; accept a first release note\n";
        return exit_failure;
    }
    if (no_head || rows.rows.status != read_status::found)
    {
        return platform_unavailable(flags);
    }
    BOOST_LEAF_CHECK(kind.print(rows, flags.as_json));
    return exit_ok;
}

/// Counter rows; one that cannot be parsed is named on standard error and left out.
std::vector<report::counter_row> counter_rows(std::span<const platform::row> rows)
{
    std::vector<report::counter_row> parsed;
    for (const platform::row& row : rows)
    {
        leaf::try_handle_all(
            [&]() -> leaf::result<void>
            {
                if (row.key.rfind("burn_", 0) == 0)
                {
                    BOOST_LEAF_AUTO(value, report::parse_counter_row(row.key, row.value));
                    parsed.push_back(std::move(value));
                }
                return {};
            },
            [](const input_error& error) { std::cerr << "left out: " << error.message() << "\n"; },
            [] { std::cerr << "left out: a row that cannot be read\n"; });
    }
    return parsed;
}

leaf::result<void> print_burn(const report_rows& rows, bool as_json)
{
    const std::vector<report::service_burn> burns = report::compute_burn(
        rows.head.value, counter_rows(rows.rows.rows), system_clock_source().wall_now());
    if (as_json)
    {
        std::cout << boost::json::serialize(report::burn_json(burns)) << "\n";
    }
    else
    {
        std::cout << report::burn_table(burns);
    }
    return {};
}

leaf::result<void> print_buffer(const report_rows& rows, bool as_json)
{
    std::vector<platform::row> placements;
    for (const platform::row& row : rows.rows.rows)
    {
        if (row.key.rfind(config::placement_prefix, 0) == 0)
        {
            placements.push_back(row);
        }
    }
    BOOST_LEAF_AUTO(placed, config::placed_hosts_of(placements));
    const std::map<std::string, double> busy = report::mean_busy_slots(
        counter_rows(rows.rows.rows), system_clock_source().wall_now(), demand_window);
    const std::vector<report::pool_buffer> buffers =
        report::compute_buffers(rows.head.value, placed, busy);
    if (as_json)
    {
        std::cout << boost::json::serialize(report::buffer_json(buffers)) << "\n";
    }
    else
    {
        std::cout << report::buffer_table(buffers);
    }
    return {};
}

leaf::result<void> print_moves(const report_rows& rows, bool as_json)
{
    const report::parsed_history history = report::parse_history(rows.rows.rows);
    if (as_json)
    {
        std::cout << boost::json::serialize(report::move_json(history.moves)) << "\n";
    }
    else
    {
        std::cout << report::move_table(history.moves);
    }
    return {};
}

leaf::result<void> print_rollout(const report_rows& rows, bool as_json)
{
    const std::vector<report::rollout> rollouts =
        report::compute_rollouts(report::parse_history(rows.rows.rows), rollout_window);
    if (as_json)
    {
        std::cout << boost::json::serialize(report::rollout_json(rollouts)) << "\n";
    }
    else
    {
        std::cout << report::rollout_table(rollouts);
    }
    return {};
}

} // namespace

int run_report_burn(std::span<const std::string> arguments)
{
    const report_kind kind{
        "lacewingquay report burn [flags]", {"burn_minute/", "burn_hour/"}, true, print_burn};
    return run_checked([&] { return run_report(kind, arguments); });
}

int run_report_buffer(std::span<const std::string> arguments)
{
    const report_kind kind{"lacewingquay report buffer [flags]",
                           {"burn_minute/", std::string(config::placement_prefix)},
                           true,
                           print_buffer};
    return run_checked([&] { return run_report(kind, arguments); });
}

int run_report_moves(std::span<const std::string> arguments)
{
    const report_kind kind{"lacewingquay report moves [flags]", {"moves/"}, false, print_moves};
    return run_checked([&] { return run_report(kind, arguments); });
}

int run_report_rollout(std::span<const std::string> arguments)
{
    const report_kind kind{"lacewingquay report rollout [flags]",
                           {"rollout/", std::string(config::note_prefix)},
                           false,
                           print_rollout};
    return run_checked([&] { return run_report(kind, arguments); });
}

std::span<const command> report_command_table()
{
    static constexpr std::array<command, 4> commands{
        {{"report burn", "use of each service's availability budget", run_report_burn},
         {"report buffer", "spare capacity, its cost and the demand", run_report_buffer},
         {"report moves", "hosts that have changed pools", run_report_moves},
         {"report rollout", "time until release notes were in force", run_report_rollout}}};
    return commands;
}

} // namespace lacewingquay::cli
