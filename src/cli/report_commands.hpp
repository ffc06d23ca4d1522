#pragma once

#include "cli/command.hpp"

#include <span>
#include <string>

namespace lacewingquay::cli
{

/// `report burn`: use of each service's availability budget over several windows.
int run_report_burn(std::span<const std::string> arguments);

/// `report buffer`: spare capacity of each pool, its cost, and the demand that it stands by for.
int run_report_buffer(std::span<const std::string> arguments);

/// `report moves`: hosts that have changed pools.
int run_report_moves(std::span<const std::string> arguments);

/// `report rollout`: time from acceptance of each release note until it was in force everywhere.
int run_report_rollout(std::span<const std::string> arguments);

[[nodiscard]] std::span<const command> report_command_table();

} // namespace lacewingquay::cli
