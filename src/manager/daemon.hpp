#pragma once

#include <span>
#include <string>

namespace lacewingquay::manager
{

/// Runs the daemon of an entry host on the users' platform until it is told to stop; returns an
/// exit code.
int run_manager(std::span<const std::string> arguments);

} // namespace lacewingquay::manager
