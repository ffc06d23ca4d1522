#include "cli/wave_commands.hpp"

#include "core/clock.hpp"
#include "core/hash.hpp"
#include "maintenance/wave_json.hpp"
#include "maintenance/wave_row.hpp"

#include <boost/json.hpp>

#include <algorithm>
#include <iostream>
#include <random>

namespace lacewingquay::cli
{

namespace asio = boost::asio;
namespace leaf = boost::leaf;

namespace
{

using maintenance::host_phase;
using maintenance::wave;
using maintenance::wave_read;
using maintenance::wave_read_status;
using maintenance::wave_state;
using maintenance::wave_write;
using maintenance::wave_write_status;

/// Rewritten with each start, so that of two starts at the same time one fails.
constexpr const char* starts_key = "wave_starts";
constexpr std::string_view id_characters =
    "abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ0123456789-_.";
/// A busy wave's row changes every few seconds; a pause waits for no lock and tries again.
constexpr int most_attempts = 8;

bool is_over(const wave& value)
{
    const bool any_out = std::any_of(
        value.hosts.begin(), value.hosts.end(),
        [](const auto& entry) { return maintenance::is_out_of_service(entry.second.phase); });
    return value.state == wave_state::finished || (value.state == wave_state::stopped && !any_out);
}

int report_write(wave_write_status status, const std::string& done, std::ostream& out)
{
    switch (status)
    {
    case wave_write_status::written:
        out << done << "\n";
        return exit_ok;
    case wave_write_status::conflict:
        out << "another operator's change came first; nothing was done\n";
        return exit_conflict;
    case wave_write_status::not_written:
        out << "the platform did not accept the change; nothing was done\n";
        return exit_failure;
    case wave_write_status::unknown:
        break;
    }
    out << "the platform's answer was lost; check with 'wave status' before trying again\n";
    return exit_failure;
}

/// The first wave that is not over, or an empty text. Unreadable rows count as not over.
std::string active_wave(const std::vector<wave_read>& waves)
{
    for (const wave_read& entry : waves)
    {
        if (entry.status != wave_read_status::found)
        {
            return entry.error;
        }
        if (!is_over(entry.value))
        {
            return entry.value.id;
        }
    }
    return {};
}

std::int64_t count_phase(const wave& value, host_phase phase)
{
    return std::count_if(value.hosts.begin(), value.hosts.end(),
                         [&](const auto& entry) { return entry.second.phase == phase; });
}

void print_summary(const wave& value, std::ostream& out)
{
    const std::int64_t out_now = std::count_if(
        value.hosts.begin(), value.hosts.end(),
        [](const auto& entry) { return maintenance::is_out_of_service(entry.second.phase); });
    out << value.id << "  " << to_string(value.state) << (value.paused ? " (paused)" : "")
        << "  scope " << to_string(value.scope)
        << (value.scope_name.empty() ? "" : ":" + value.scope_name) << "  batch " << value.batch
        << "  waiting " << count_phase(value, host_phase::waiting) << "  out " << out_now
        << "  done " << count_phase(value, host_phase::done) << "  failed "
        << count_phase(value, host_phase::failed);
    if (value.deadline_at_risk && !is_over(value))
    {
        out << "  deadline at risk";
    }
    if (!value.reason.empty())
    {
        out << "  reason: " << value.reason;
    }
    out << "\n";
}

void print_hosts(const wave& value, std::ostream& out)
{
    for (const auto& [name, host] : value.hosts)
    {
        out << "  " << name << "  " << host.pool << "  " << host.availability_zone << "  "
            << host.rack << "  " << to_string(host.phase);
        if (host.batch > 0)
        {
            out << "  batch " << host.batch;
        }
        if (!host.failure.empty())
        {
            out << "  " << host.failure;
        }
        out << "\n";
    }
}

leaf::result<std::string> wave_id(const option_set& options)
{
    constexpr std::size_t longest = 64;
    BOOST_LEAF_AUTO(id, options.text("id"));
    if (id.empty() || id.size() > longest ||
        id.find_first_not_of(id_characters) != std::string::npos)
    {
        return leaf::new_error(
            input_error{"id", id, "1 to 64 letters, digits and the characters - _ ."});
    }
    return id;
}

command_stamp new_stamp()
{
    const system_clock_source clock;
    std::random_device device;
    const std::uint64_t random = (static_cast<std::uint64_t>(device()) << 32U) | device();
    command_stamp stamp;
    stamp.now_ms = unix_milliseconds(clock.wall_now());
    stamp.write_id = hex_digest(std::to_string(random) + "/" + std::to_string(stamp.now_ms));
    return stamp;
}

/// Parses the arguments, then runs `body`, which returns a result of an exit code.
template <typename Body>
int run_command(option_set& options, std::span<const std::string> arguments, Body body)
{
    return leaf::try_handle_all(
        [&]() -> leaf::result<int>
        {
            if (leaf::result<void> checked = options.parse(arguments); !checked)
            {
                return checked.error();
            }
            if (options.wants_help())
            {
                std::cout << options.help();
                return exit_ok;
            }
            return body();
        },
        [](const input_error& error)
        {
            std::cerr << error.message() << "\n";
            return static_cast<int>(exit_usage);
        },
        []
        {
            std::cerr << "the command failed\n";
            return static_cast<int>(exit_failure);
        });
}

int run_pause(std::span<const std::string> arguments, const platform_access& access, bool pause)
{
    option_set options(pause ? "lacewingquay wave pause ID [flags]"
                             : "lacewingquay wave resume ID [flags]");
    options.add_positional("id", "the wave");
    options.add("reason", pause ? "paused by an operator" : "", "shown by 'wave status'");
    access.declare_flags(options);
    return run_command(options, arguments,
                       [&]() -> leaf::result<int>
                       {
                           BOOST_LEAF_AUTO(id, wave_id(options));
                           std::string reason;
                           if (options.has("reason"))
                           {
                               BOOST_LEAF_ASSIGN(reason, options.text("reason"));
                           }
                           return access.run(options,
                                             [&](platform::port& port) {
                                                 return pause_wave(port, id, pause, reason,
                                                                   new_stamp(), std::cout);
                                             });
                       });
}

/// Whether a wave may start now.
struct start_check
{
    std::uint64_t starts_version = 0;
    std::string refusal;
    int refusal_code = exit_failure;
};

asio::awaitable<start_check> check_start(platform::port& port)
{
    start_check check;
    const platform::row_result starts = co_await port.read_row(starts_key, 0);
    bool available = false;
    const std::vector<wave_read> waves = co_await maintenance::read_waves(port, available);
    check.starts_version = starts.value.version;
    const std::string active = active_wave(waves);
    if (!available || starts.status == platform::read_status::unavailable)
    {
        check.refusal = "the platform is not available; nothing was done";
    }
    else if (!active.empty())
    {
        check.refusal = "another wave is not over: " + active;
        check.refusal_code = exit_conflict;
    }
    co_return check;
}

wave new_wave(const wave_request& request, const command_stamp& stamp)
{
    wave value;
    value.id = request.id;
    value.write_id = stamp.write_id;
    value.scope = request.scope;
    value.scope_name = request.scope_name;
    value.started_ms = stamp.now_ms;
    value.deadline_ms = stamp.now_ms + request.time_limit.count();
    return value;
}

std::string start_record(const wave_request& request, const command_stamp& stamp)
{
    return boost::json::serialize(
        boost::json::object{{"write_id", stamp.write_id}, {"wave", request.id}});
}

/// Outcome of one try to set or clear a pause.
struct pause_attempt
{
    wave_write_status status = wave_write_status::conflict;
    /// Why the row cannot be changed, and the exit code for it.
    std::string refusal;
    int refusal_code = exit_failure;
};

asio::awaitable<pause_attempt> try_pause(platform::port& port, std::string id, bool pause,
                                         std::string reason, std::string write_id)
{
    wave_read stored = co_await maintenance::read_wave(port, id);
    if (stored.status == wave_read_status::absent)
    {
        co_return pause_attempt{wave_write_status::not_written, "there is no wave " + id,
                                exit_usage};
    }
    if (stored.status == wave_read_status::unavailable)
    {
        const std::string cause =
            stored.error.empty() ? "the platform is not available" : stored.error;
        co_return pause_attempt{wave_write_status::not_written, cause + "; nothing was done",
                                exit_failure};
    }
    if (stored.value.state == wave_state::finished || stored.value.state == wave_state::stopped)
    {
        co_return pause_attempt{wave_write_status::not_written,
                                "wave " + id + " is " + std::string(to_string(stored.value.state)),
                                exit_conflict};
    }
    stored.value.paused = pause;
    stored.value.reason = reason;
    stored.value.write_id = write_id;
    const wave_write written =
        co_await maintenance::write_wave(port, std::move(stored.value), stored.version, {}, {});
    co_return pause_attempt{written.status, "", exit_ok};
}

} // namespace

asio::awaitable<int> start_wave(platform::port& port, wave_request request, command_stamp stamp,
                                std::ostream& out)
{
    const start_check check = co_await check_start(port);
    if (!check.refusal.empty())
    {
        out << check.refusal << "\n";
        co_return check.refusal_code;
    }
    const platform::row_check starts_check{starts_key, check.starts_version};
    const platform::row_write starts_write{starts_key, start_record(request, stamp)};
    std::vector<platform::row_check> checks(1, starts_check);
    std::vector<platform::row_write> writes(1, starts_write);
    const wave_write written = co_await maintenance::write_wave(
        port, new_wave(request, stamp), 0, std::move(checks), std::move(writes));
    co_return report_write(written.status, "wave " + request.id + " started", out);
}

asio::awaitable<int> pause_wave(platform::port& port, std::string id, bool pause,
                                std::string reason, command_stamp stamp, std::ostream& out)
{
    pause_attempt result;
    for (int attempt = 0; attempt < most_attempts && result.status == wave_write_status::conflict;
         ++attempt)
    {
        const std::string write_id = stamp.write_id + "-" + std::to_string(attempt);
        result = co_await try_pause(port, id, pause, reason, write_id);
    }
    if (!result.refusal.empty())
    {
        out << result.refusal << "\n";
        co_return result.refusal_code;
    }
    co_return report_write(result.status, "wave " + id + (pause ? " paused" : " resumed"), out);
}

asio::awaitable<int> show_waves(platform::port& port, std::string id, bool json, std::ostream& out)
{
    bool available = false;
    std::vector<wave_read> waves = co_await maintenance::read_waves(port, available);
    if (!available)
    {
        out << "the platform is not available\n";
        co_return exit_failure;
    }
    std::erase_if(waves, [&](const wave_read& entry)
                  { return !id.empty() && entry.value.id != id && entry.error.empty(); });
    if (!id.empty() && waves.empty())
    {
        out << "there is no wave " << id << "\n";
        co_return exit_usage;
    }
    bool any_unreadable = false;
    for (const wave_read& entry : waves)
    {
        if (entry.status != wave_read_status::found)
        {
            any_unreadable = true;
            out << entry.error << "\n";
        }
        else if (json)
        {
            out << maintenance::wave_to_json(entry.value) << "\n";
        }
        else
        {
            print_summary(entry.value, out);
            if (!id.empty())
            {
                print_hosts(entry.value, out);
            }
        }
    }
    co_return any_unreadable ? exit_failure : exit_ok;
}

int run_wave_start(std::span<const std::string> arguments, const platform_access& access)
{
    option_set options("lacewingquay wave start ID [flags]");
    options.add_positional("id", "name of the new wave");
    options.add("scope", "all", "all, pool:NAME or zone:NAME");
    options.add("time-limit", "24h", "time by which the wave is to have finished");
    access.declare_flags(options);
    return run_command(
        options, arguments,
        [&]() -> leaf::result<int>
        {
            wave_request request;
            BOOST_LEAF_ASSIGN(request.id, wave_id(options));
            BOOST_LEAF_AUTO(scope_text, options.text("scope"));
            BOOST_LEAF_AUTO(scope, maintenance::parse_scope(scope_text, "--scope"));
            request.scope = scope.first;
            request.scope_name = scope.second;
            BOOST_LEAF_ASSIGN(request.time_limit,
                              options.duration("time-limit", std::chrono::minutes{10},
                                               std::chrono::hours{24 * 60}));
            return access.run(options, [&](platform::port& port)
                              { return start_wave(port, request, new_stamp(), std::cout); });
        });
}

int run_wave_pause(std::span<const std::string> arguments, const platform_access& access)
{
    return run_pause(arguments, access, true);
}

int run_wave_resume(std::span<const std::string> arguments, const platform_access& access)
{
    return run_pause(arguments, access, false);
}

int run_wave_status(std::span<const std::string> arguments, const platform_access& access)
{
    option_set options("lacewingquay wave status [ID] [flags]");
    options.add_positional("id", "only this wave, with its hosts");
    options.add_switch("json", "print the rows as JSON lines");
    access.declare_flags(options);
    return run_command(options, arguments,
                       [&]() -> leaf::result<int>
                       {
                           std::string id;
                           if (options.has("id"))
                           {
                               BOOST_LEAF_ASSIGN(id, wave_id(options));
                           }
                           return access.run(
                               options, [&](platform::port& port)
                               { return show_waves(port, id, options.is_set("json"), std::cout); });
                       });
}

} // namespace lacewingquay::cli
