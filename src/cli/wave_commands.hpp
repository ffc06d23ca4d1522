#pragma once

#include "cli/options.hpp"
#include "maintenance/wave_model.hpp"
#include "platform/port.hpp"

#include <boost/asio/awaitable.hpp>

#include <cstdint>
#include <functional>
#include <iosfwd>
#include <span>
#include <string>

namespace lacewingquay::cli
{

/// How commands reach the platform. The flags and the construction of the port are in one place,
/// which provides this.
struct platform_access
{
    /// Declares the flags that the port needs.
    std::function<void(option_set&)> declare_flags;
    /// Builds the port from the flags and runs the command on it; returns the command's exit code.
    std::function<int(const option_set&,
                      std::function<boost::asio::awaitable<int>(platform::port&)>)>
        run;
};

/// Values that are new with each run of a command.
struct command_stamp
{
    std::int64_t now_ms = 0;
    /// Never used before; marks the writes of this run.
    std::string write_id;
};

struct wave_request
{
    std::string id;
    maintenance::scope_kind scope = maintenance::scope_kind::all;
    std::string scope_name;
    std::chrono::milliseconds time_limit{0};
};

/// Starts a wave unless one with this id exists or another one is not over. The lease holder lists
/// the hosts.
boost::asio::awaitable<int> start_wave(platform::port& port, wave_request request,
                                       command_stamp stamp, std::ostream& out);

/// Sets or clears the operator's pause of a wave.
boost::asio::awaitable<int> pause_wave(platform::port& port, std::string id, bool pause,
                                       std::string reason, command_stamp stamp, std::ostream& out);

/// Prints one wave with its hosts, or all waves if `id` is empty; as JSON if asked for.
boost::asio::awaitable<int> show_waves(platform::port& port, std::string id, bool json,
                                       std::ostream& out);

/// `wave start ID --scope all|pool:NAME|zone:NAME --time-limit 24h`
int run_wave_start(std::span<const std::string> arguments, const platform_access& access);
/// `wave pause ID --reason TEXT`
int run_wave_pause(std::span<const std::string> arguments, const platform_access& access);
/// `wave resume ID`
int run_wave_resume(std::span<const std::string> arguments, const platform_access& access);
/// `wave status [ID] [--json]`
int run_wave_status(std::span<const std::string> arguments, const platform_access& access);

} // namespace lacewingquay::cli
