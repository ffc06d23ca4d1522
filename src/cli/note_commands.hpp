#pragma once

#include "cli/command.hpp"

#include <span>
#include <string>

namespace lacewingquay::cli
{

/// Commands for release notes. Each returns an `exit_code`.
int run_note_propose(std::span<const std::string> arguments);
int run_note_show(std::span<const std::string> arguments);
int run_note_list(std::span<const std::string> arguments);
int run_note_diff(std::span<const std::string> arguments);
int run_note_veto(std::span<const std::string> arguments);
int run_note_accept(std::span<const std::string> arguments);

/// The commands above, for the overview of the binary.
[[nodiscard]] std::span<const command> note_command_table();

} // namespace lacewingquay::cli
