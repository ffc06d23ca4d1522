#pragma once

#include "cli/command.hpp"

#include <span>
#include <string>

namespace lacewingquay::cli
{

/// Prints the first release note of a current deployment (section 1.3 of docs/design.md).
int run_preset(std::span<const std::string> arguments);

[[nodiscard]] std::span<const command> preset_command_table();

} // namespace lacewingquay::cli
