#pragma once

#include <span>
#include <string>

namespace lacewingquay::entry
{

/// `lacewingquay entry`: runs the daemon of an entry host until SIGTERM or SIGINT, which start a
/// planned stop, or until a newer incarnation of the same id registers. Returns an exit code.
int run_entry(std::span<const std::string> arguments);

} // namespace lacewingquay::entry
