#pragma once

#include <span>
#include <string>

namespace lacewingquay::manager
{

/// Runs the daemon of an entry host on the users' platform until SIGTERM; returns the process's
/// exit code.
int run_manager(std::span<const std::string> arguments);

} // namespace lacewingquay::manager
