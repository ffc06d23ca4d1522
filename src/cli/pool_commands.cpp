#include "cli/pool_commands.hpp"

#include "cli/options.hpp"
#include "cli/platform_flags.hpp"
#include "config/checked.hpp"
#include "config/cost.hpp"
#include "config/placement_rows.hpp"
#include "config/release.hpp"
#include "platform/blocking.hpp"
#include "platform/check.hpp"

#include <array>
#include <iomanip>
#include <iostream>
#include <map>
#include <string_view>
#include <utility>

namespace lacewingquay::cli
{

namespace asio = boost::asio;
namespace json = boost::json;
namespace leaf = boost::leaf;

namespace
{

using platform::read_status;

struct pool_rows
{
    config::head_state head;
    platform::rows_result placement;
};

/// What is listed of a pool.
struct pool_line
{
    config::capacity held;
    /// Hosts that are draining, in maintenance or leaving.
    std::int64_t not_serving = 0;
};

using pool_lines = std::map<std::string, pool_line, std::less<>>;

/// Where each host is, and which hosts do not serve.
struct placed_fleet
{
    config::placed_hosts pools;
    std::map<std::string, bool, std::less<>> is_serving;
};

leaf::result<placed_fleet> read_placement(const platform::rows_result& rows)
{
    placed_fleet result;
    for (const platform::row& row : rows.rows)
    {
        BOOST_LEAF_AUTO(zone, config::parse_placement_row(row.key, row.value));
        for (const auto& [name, placed] : zone.hosts)
        {
            result.pools.insert_or_assign(name, placed.pool);
            result.is_serving.insert_or_assign(name,
                                               placed.state == placement::host_state::serving);
        }
    }
    return result;
}

pool_lines lines_of(const config::configuration& value, const placed_fleet& fleet)
{
    pool_lines lines;
    for (auto& [name, held] : config::capacity_of(value, fleet.pools))
    {
        lines[name].held = held;
    }
    for (const auto& [name, entry] : value.hosts)
    {
        const auto state = fleet.is_serving.find(name);
        if (state != fleet.is_serving.end() && !state->second)
        {
            const auto pool = lines.find(fleet.pools.at(name));
            ++(pool == lines.end() ? lines.at(entry.initial_pool) : pool->second).not_serving;
        }
    }
    return lines;
}

pool_line total_of(const pool_lines& lines)
{
    pool_line total;
    for (const auto& [name, line] : lines)
    {
        total.held.hosts += line.held.hosts;
        total.held.buffer_hosts += line.held.buffer_hosts;
        total.held.hour_cost += line.held.hour_cost;
        total.held.buffer_hour_cost += line.held.buffer_hour_cost;
        total.not_serving += line.not_serving;
    }
    return total;
}

json::object line_to_json(const pool_line& line)
{
    return json::object{{"hosts", line.held.hosts},
                        {"not_serving", line.not_serving},
                        {"buffer_hosts", line.held.buffer_hosts},
                        {"hour_cost", line.held.hour_cost},
                        {"buffer_hour_cost", line.held.buffer_hour_cost}};
}

void print_line(const std::string& name, const pool_line& line, std::string_view note)
{
    std::cout << std::left << std::setw(26) << name << std::right << std::fixed
              << std::setprecision(2) << std::setw(6) << line.held.hosts << std::setw(13)
              << line.not_serving << std::setw(8) << line.held.buffer_hosts << std::setw(12)
              << line.held.hour_cost << std::setw(17) << line.held.buffer_hour_cost << "  " << note
              << "\n";
}

void print_pools(const config::configuration& value, const pool_lines& lines, bool as_json)
{
    if (!as_json)
    {
        std::cout << "epoch " << value.epoch << "\n"
                  << std::left << std::setw(26) << "pool" << std::right << std::setw(6) << "hosts"
                  << std::setw(13) << "not serving" << std::setw(8) << "buffer" << std::setw(12)
                  << "cost/hour" << std::setw(17) << "buffer cost/hour"
                  << "\n";
        for (const auto& [name, line] : lines)
        {
            print_line(name, line, value.pools.at(name).spare ? "spare pool" : "");
        }
        print_line("total", total_of(lines), "");
        return;
    }
    json::array pools;
    for (const auto& [name, line] : lines)
    {
        json::object object = line_to_json(line);
        object["name"] = name;
        object["spare"] = value.pools.at(name).spare;
        object["min_hosts"] = value.pools.at(name).min_hosts;
        pools.push_back(std::move(object));
    }
    json::object body{{"epoch", value.epoch}};
    body["pools"] = std::move(pools);
    body["total"] = line_to_json(total_of(lines));
    std::cout << json::serialize(body) << "\n";
}

leaf::result<int> list(std::span<const std::string> arguments)
{
    option_set options("lacewingquay pool list [flags]");
    add_common_flags(options);
    LACEWINGQUAY_CHECK(options.parse(arguments));
    if (options.wants_help())
    {
        std::cout << options.help();
        return exit_ok;
    }
    BOOST_LEAF_AUTO(flags, read_common_flags(options));
    const auto work = [](platform::port& port) -> asio::awaitable<pool_rows>
    {
        config::release_manager manager(port, config::release_settings{});
        pool_rows rows;
        rows.head = co_await manager.read_head();
        rows.placement = co_await port.read_rows(std::string(config::placement_prefix));
        co_return rows;
    };
    const pool_rows rows = platform::run_with_platform(flags.platform, work);
    if (rows.head.status == read_status::absent)
    {
        std::cerr << "no configuration is in force yet; propose and accept a first release note, "
                     "for example from 'lacewingquay preset'\n";
        return exit_failure;
    }
    if (rows.head.status != read_status::found || rows.placement.status != read_status::found)
    {
        return platform_unavailable(flags);
    }
    const config::checked<placed_fleet> fleet =
        config::check_input([&] { return read_placement(rows.placement); });
    if (!fleet.value)
    {
        std::cerr << "unavailable: a placement row cannot be read: " << fleet.refusal << "\n";
        return exit_failure;
    }
    print_pools(rows.head.value, lines_of(rows.head.value, *fleet.value), flags.as_json);
    return exit_ok;
}

} // namespace

int run_pool_list(std::span<const std::string> arguments)
{
    return run_checked([&] { return list(arguments); });
}

std::span<const command> pool_command_table()
{
    static constexpr std::array<command, 1> table{
        {{"pool list", "list hosts, buffer and cost of each pool", run_pool_list}}};
    return table;
}

} // namespace lacewingquay::cli
