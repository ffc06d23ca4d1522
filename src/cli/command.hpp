#pragma once

#include <span>
#include <string>
#include <string_view>

namespace lacewingquay::cli
{

/// One subcommand of the binary.
struct command
{
    /// One or two words, for example `entry` or `note propose`.
    std::string_view name;
    /// One line for the overview.
    std::string_view summary;
    /// Runs the command with the arguments after its name; returns an `exit_code`.
    int (*run)(std::span<const std::string> arguments);
};

/// Runs the command that the arguments name, or prints an overview.
int dispatch_command(std::string_view program, std::span<const command> commands,
                     std::span<const std::string> arguments);

} // namespace lacewingquay::cli
