#pragma once

#include "cli/command.hpp"

#include <span>
#include <string>

namespace lacewingquay::cli
{

/// Lists hosts, buffer and cost of each pool, from the configuration and the placement rows.
int run_pool_list(std::span<const std::string> arguments);

[[nodiscard]] std::span<const command> pool_command_table();

} // namespace lacewingquay::cli
