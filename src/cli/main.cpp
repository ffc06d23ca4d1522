#include "cli/command.hpp"
#include "cli/host_commands.hpp"
#include "cli/note_commands.hpp"
#include "cli/platform_flags.hpp"
#include "cli/pool_commands.hpp"
#include "cli/preset_command.hpp"
#include "cli/report_commands.hpp"
#include "cli/wave_commands.hpp"
#include "dispatch/wait_model.hpp"
#include "entry/daemon.hpp"
#include "load/audit.hpp"
#include "load/runner.hpp"
#include "manager/daemon.hpp"
#include "planner/measurement.hpp"
#include "platform/blocking.hpp"
#include "platform/http_client.hpp"
#include "replay/replay.hpp"

#include <memory>
#include <string>
#include <vector>

namespace
{

using lacewingquay::cli::command;

using arguments_view = std::span<const std::string>;

/// Makes the platform client of the commands that take a factory.
std::unique_ptr<lacewingquay::platform::port>
make_port(const boost::asio::any_io_executor& executor, const lacewingquay::address& where)
{
    lacewingquay::platform::http_client_settings settings;
    settings.platform = where;
    settings.node = "operator";
    return std::make_unique<lacewingquay::platform::http_client>(executor, settings);
}

/// The platform flags and client of the wave commands.
lacewingquay::cli::platform_access wave_access()
{
    using namespace lacewingquay;
    cli::platform_access access;
    access.declare_flags = [](cli::option_set& options)
    {
        cli::add_platform_flags(options);
    };
    access.run = [](const cli::option_set& options,
                    std::function<boost::asio::awaitable<int>(platform::port&)> work)
    {
        return cli::run_checked(
            [&]() -> boost::leaf::result<int>
            {
                BOOST_LEAF_AUTO(flags, cli::read_common_flags(options));
                return platform::run_with_platform(flags.platform, work);
            });
    };
    return access;
}

std::vector<command> all_commands()
{
    using namespace lacewingquay;
    std::vector<command> commands{
        {"entry", "the daemon of an entry host", entry::run_entry},
        {"manage", "the daemon of an entry host on the users' platform", manager::run_manager}};
    for (const std::span<const command> table :
         {cli::note_command_table(), cli::pool_command_table(), cli::preset_command_table(),
          cli::report_command_table()})
    {
        commands.insert(commands.end(), table.begin(), table.end());
    }
    const std::vector<command> others{
        {"host list", "hosts with zone, pool and state",
         [](arguments_view arguments)
         {
             return cli::run_host_list(make_port, arguments);
         }},
        {"host leave", "drain a host that is to be taken away",
         [](arguments_view arguments)
         {
             return cli::run_host_leave(make_port, arguments);
         }},
        {"host move", "move a host to another pool",
         [](arguments_view arguments)
         {
             return cli::run_host_move(make_port, arguments);
         }},
        {"host return", "let a drained host serve again",
         [](arguments_view arguments)
         {
             return cli::run_host_return(make_port, arguments);
         }},
        {"wave start", "start a maintenance wave",
         [](arguments_view arguments)
         {
             return cli::run_wave_start(arguments, wave_access());
         }},
        {"wave pause", "pause a maintenance wave",
         [](arguments_view arguments)
         {
             return cli::run_wave_pause(arguments, wave_access());
         }},
        {"wave resume", "resume a paused maintenance wave",
         [](arguments_view arguments)
         {
             return cli::run_wave_resume(arguments, wave_access());
         }},
        {"wave status", "progress of maintenance waves",
         [](arguments_view arguments)
         {
             return cli::run_wave_status(arguments, wave_access());
         }},
        {"replay", "compare decisions on a recorded trace with stated outcomes",
         replay::run_replay},
        {"measure planner", "cost of the planner beside baselines and a lower bound",
         planner::run_planner_measurement},
        {"measure dispatch", "waits for slots of the dispatch core beside one shared queue",
         dispatch::run_wait_model},
        {"load", "open-loop load tool", load::run_load},
        {"audit", "compare callers' records with backend servers' journals", load::run_audit}};
    commands.insert(commands.end(), others.begin(), others.end());
    return commands;
}

} // namespace

int main(int argc, char** argv)
{
    const std::vector<std::string> arguments(argv + 1, argv + argc);
    return lacewingquay::cli::dispatch_command("lacewingquay", all_commands(), arguments);
}
