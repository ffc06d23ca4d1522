#include "cli/host_commands.hpp"

#include "cli/options.hpp"
#include "core/error.hpp"
#include "core/hash.hpp"
#include "membership/tracked_write.hpp"
#include "placement/row.hpp"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <exception>
#include <iomanip>
#include <iostream>
#include <map>
#include <optional>
#include <random>
#include <utility>
#include <vector>

namespace lacewingquay::cli
{

namespace asio = boost::asio;
namespace leaf = boost::leaf;

namespace
{

/// The request in a row, or nothing if it is unreadable.
std::optional<placement::request_row> read_request(const platform::row& row)
{
    const std::optional<std::string_view> host = placement::host_of_request_key(row.key);
    if (!host)
    {
        return std::nullopt;
    }
    return leaf::try_handle_all(
        [&]() -> leaf::result<std::optional<placement::request_row>>
        {
            BOOST_LEAF_AUTO(request, placement::parse_request(row.value, *host));
            return std::optional<placement::request_row>(std::move(request));
        },
        [] { return std::optional<placement::request_row>(); });
}

std::optional<placement::zone_placement> read_placement(const platform::row& row, std::ostream& err)
{
    const std::optional<std::string_view> zone = placement::zone_of_placement_key(row.key);
    if (!zone)
    {
        return std::nullopt;
    }
    return leaf::try_handle_all(
        [&]() -> leaf::result<std::optional<placement::zone_placement>>
        {
            BOOST_LEAF_AUTO(parsed, placement::parse_placement(row.value, *zone));
            return std::optional<placement::zone_placement>(std::move(parsed));
        },
        [&](const input_error& error)
        {
            err << error.message() << "\n";
            return std::optional<placement::zone_placement>();
        },
        [] { return std::optional<placement::zone_placement>(); });
}

std::string describe(const placement::request_row& row)
{
    std::string text(placement::to_string(row.request.kind));
    if (!row.request.to_pool.empty())
    {
        text += " to " + row.request.to_pool;
    }
    if (!row.author.empty())
    {
        text += " by " + row.author;
    }
    return row.refusal.empty() ? text : text + ", refused: " + row.refusal;
}

bool is_answered(platform::read_status status)
{
    return status == platform::read_status::found || status == platform::read_status::absent;
}

int print_unavailable(std::ostream& err)
{
    err << "the platform did not answer; nothing was done\n";
    return exit_failure;
}

std::string target_of(const placement::host_placement& entry)
{
    if (entry.state != placement::host_state::draining)
    {
        return "-";
    }
    return entry.next_pool.empty() ? std::string(placement::to_string(entry.next_state))
                                   : entry.next_pool;
}

void print_line(std::ostream& out, std::string_view host, std::string_view zone,
                std::string_view pool, std::string_view state, std::string_view target,
                std::string_view request)
{
    out << std::left << std::setw(20) << host << " " << std::setw(12) << zone << " "
        << std::setw(22) << pool << " " << std::setw(12) << state << " " << std::setw(22) << target
        << " " << request << "\n";
}

/// Follows a recorded request to the lease holder's decision.
asio::awaitable<int> await_decision(platform::port& port, const host_request& request,
                                    command_output output)
{
    const std::string key = placement::request_key(request.wanted.host);
    asio::steady_timer timer(co_await asio::this_coro::executor);
    for (std::chrono::milliseconds waited{0}; waited < request.wait; waited += request.poll)
    {
        timer.expires_after(request.poll);
        co_await timer.async_wait(asio::use_awaitable);
        const platform::row_result current = co_await port.read_row(key, 0);
        if (current.status == platform::read_status::absent)
        {
            output.out << "accepted by the zone's lease holder\n";
            co_return exit_ok;
        }
        if (current.status != platform::read_status::found)
        {
            continue;
        }
        if (membership::write_id_of(current.value.value) == request.write_id)
        {
            continue;
        }
        const std::optional<placement::request_row> row = read_request(current.value);
        if (row && !row->refusal.empty())
        {
            output.err << "refused by the zone's lease holder: " << row->refusal << "\n";
            co_return exit_failure;
        }
        // Another request for the host is there, so this one has been decided.
        output.out << "decided; another request is waiting now\n";
        co_return exit_ok;
    }
    output.out << "recorded; the zone's lease holder has not decided yet\n";
    co_return exit_ok;
}

/// Version that the request row must still have, or an exit code if the request cannot be made.
struct precondition
{
    std::optional<int> stop;
    std::uint64_t version = 0;
};

asio::awaitable<precondition> check_request(platform::port& port, const host_request& request,
                                            command_output output)
{
    const platform::rows_result rows = co_await port.read_rows("placement/");
    if (!is_answered(rows.status))
    {
        co_return precondition{print_unavailable(output.err), 0};
    }
    bool known = false;
    for (const platform::row& row : rows.rows)
    {
        const std::optional<placement::zone_placement> zone = read_placement(row, output.err);
        known = known || (zone && zone->hosts.contains(request.wanted.host));
    }
    if (!known)
    {
        output.err << "host " << request.wanted.host << " is in no zone's placement\n";
        co_return precondition{exit_failure, 0};
    }
    const platform::row_result present =
        co_await port.read_row(placement::request_key(request.wanted.host), 0);
    if (!is_answered(present.status))
    {
        co_return precondition{print_unavailable(output.err), 0};
    }
    if (present.status == platform::read_status::absent)
    {
        co_return precondition{};
    }
    const std::optional<placement::request_row> row = read_request(present.value);
    if (row && row->refusal.empty())
    {
        output.err << "host " << request.wanted.host << ": another request is waiting ("
                   << describe(*row) << ")\n";
        co_return precondition{exit_conflict, 0};
    }
    co_return precondition{std::nullopt, present.value.version};
}

} // namespace

asio::awaitable<int> list_hosts(platform::port& port, command_output output)
{
    const platform::rows_result rows = co_await port.read_rows("placement/");
    const platform::rows_result requests = co_await port.read_rows("move/");
    if (!is_answered(rows.status) || !is_answered(requests.status))
    {
        co_return print_unavailable(output.err);
    }
    std::map<std::string, std::string, std::less<>> waiting;
    for (const platform::row& row : requests.rows)
    {
        const std::optional<placement::request_row> request = read_request(row);
        if (request)
        {
            waiting[request->request.host] = describe(*request);
        }
    }
    int code = exit_ok;
    print_line(output.out, "HOST", "ZONE", "POOL", "STATE", "TARGET", "REQUEST");
    for (const platform::row& row : rows.rows)
    {
        const std::optional<placement::zone_placement> zone = read_placement(row, output.err);
        if (!zone)
        {
            code = exit_failure;
            continue;
        }
        for (const std::pair<const std::string, placement::host_placement>& item : zone->hosts)
        {
            const std::map<std::string, std::string, std::less<>>::const_iterator request =
                waiting.find(item.first);
            print_line(output.out, item.first, zone->availability_zone, item.second.pool,
                       placement::to_string(item.second.state), target_of(item.second),
                       request == waiting.end() ? "-" : request->second);
        }
    }
    co_return code;
}

asio::awaitable<int> request_host(platform::port& port, host_request request, command_output output)
{
    const precondition checked = co_await check_request(port, request, output);
    if (checked.stop)
    {
        co_return *checked.stop;
    }
    const std::string key = placement::request_key(request.wanted.host);
    platform::transaction changes;
    changes.checks.push_back({key, checked.version});
    changes.writes.push_back(
        {key, placement::request_value({request.wanted, request.author, {}}, request.write_id)});
    const platform::transact_result result = co_await port.transact(std::move(changes));
    switch (result.status)
    {
    case platform::transact_status::committed:
        break;
    case platform::transact_status::conflict:
        output.err << "host " << request.wanted.host << ": another request came first\n";
        co_return exit_conflict;
    case platform::transact_status::not_written:
        co_return print_unavailable(output.err);
    case platform::transact_status::unknown:
        const platform::row_result read = co_await port.read_row(key, 0);
        if (read.status != platform::read_status::found ||
            membership::write_id_of(read.value.value) != request.write_id)
        {
            // The lease holder may have removed the row again, so its absence proves nothing.
            output.err << "the platform's answer was lost; see 'host list' before you repeat it\n";
            co_return exit_failure;
        }
        break;
    }
    co_return co_await await_decision(port, request, output);
}

namespace
{

using command_body = std::function<asio::awaitable<int>(platform::port& port)>;

int run_with_port(const port_factory& make_port, const option_set& options,
                  const command_body& body)
{
    return leaf::try_handle_all(
        [&]() -> leaf::result<int>
        {
            BOOST_LEAF_AUTO(where, options.endpoint("platform"));
            asio::io_context context;
            const std::unique_ptr<platform::port> port = make_port(context.get_executor(), where);
            int code = exit_failure;
            asio::co_spawn(context, body(*port),
                           [&](const std::exception_ptr& failure, int result)
                           {
                               code = failure ? exit_failure : result;
                               // Open connections of the port must not keep the command alive.
                               context.stop();
                           });
            context.run();
            return code;
        },
        [](const input_error& error)
        {
            std::cerr << error.message() << "\n";
            return static_cast<int>(exit_usage);
        },
        [] { return static_cast<int>(exit_failure); });
}

/// An exit code if the arguments are refused or ask for help.
std::optional<int> parse_or_help(option_set& options, std::span<const std::string> arguments)
{
    return leaf::try_handle_all(
        [&]() -> leaf::result<std::optional<int>>
        {
            leaf::result<void> parsed = options.parse(arguments);
            if (!parsed)
            {
                return parsed.error();
            }
            if (options.wants_help())
            {
                std::cout << options.help();
                return std::optional<int>(exit_ok);
            }
            return std::optional<int>();
        },
        [](const input_error& error)
        {
            std::cerr << error.message() << "\n";
            return std::optional<int>(exit_usage);
        },
        [] { return std::optional<int>(exit_failure); });
}

std::string new_write_id(const std::string& author)
{
    std::random_device source;
    const std::uint64_t number = (std::uint64_t{source()} << 32U) | source();
    return "cli/" + author + "/" + hex_digest(std::to_string(number));
}

int run_request(const port_factory& make_port, std::span<const std::string> arguments,
                const std::string& name, placement::request_kind kind)
{
    const bool is_move = kind == placement::request_kind::move;
    option_set options("lacewingquay host " + name + " NAME" + (is_move ? " --to POOL" : "") +
                       " [flags]");
    options.add("platform", "", "IP:PORT of the platform");
    options.add("author", "operator", "who asks, shown in 'host list'");
    options.add("wait", "10s", "how long to wait for the lease holder's decision");
    if (is_move)
    {
        options.add("to", "", "pool that the host goes to");
    }
    options.add_positional("name", "name of the host");
    const std::optional<int> stop = parse_or_help(options, arguments);
    if (stop)
    {
        return *stop;
    }
    return leaf::try_handle_all(
        [&]() -> leaf::result<int>
        {
            host_request request;
            request.wanted.kind = kind;
            BOOST_LEAF_ASSIGN(request.wanted.host, options.text("name"));
            if (is_move)
            {
                BOOST_LEAF_ASSIGN(request.wanted.to_pool, options.text("to"));
            }
            BOOST_LEAF_ASSIGN(request.author, options.text("author"));
            BOOST_LEAF_ASSIGN(request.wait, options.duration("wait", std::chrono::milliseconds{0},
                                                             std::chrono::minutes{10}));
            request.write_id = new_write_id(request.author);
            return run_with_port(make_port, options,
                                 [&](platform::port& port) {
                                     return request_host(port, request, {std::cout, std::cerr});
                                 });
        },
        [](const input_error& error)
        {
            std::cerr << error.message() << "\n";
            return static_cast<int>(exit_usage);
        },
        [] { return static_cast<int>(exit_failure); });
}

} // namespace

int run_host_list(const port_factory& make_port, std::span<const std::string> arguments)
{
    option_set options("lacewingquay host list [flags]");
    options.add("platform", "", "IP:PORT of the platform");
    const std::optional<int> stop = parse_or_help(options, arguments);
    if (stop)
    {
        return *stop;
    }
    return run_with_port(make_port, options,
                         [](platform::port& port) {
                             return list_hosts(port, {std::cout, std::cerr});
                         });
}

int run_host_leave(const port_factory& make_port, std::span<const std::string> arguments)
{
    return run_request(make_port, arguments, "leave", placement::request_kind::leave);
}

int run_host_move(const port_factory& make_port, std::span<const std::string> arguments)
{
    return run_request(make_port, arguments, "move", placement::request_kind::move);
}

int run_host_return(const port_factory& make_port, std::span<const std::string> arguments)
{
    return run_request(make_port, arguments, "return", placement::request_kind::return_to_service);
}

} // namespace lacewingquay::cli
