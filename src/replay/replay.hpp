#pragma once

#include <boost/leaf.hpp>

#include <cstddef>
#include <iosfwd>
#include <span>
#include <string>

namespace lacewingquay::replay
{

/// What a replay found.
struct replay_summary
{
    std::size_t events = 0;
    /// Events whose line states an outcome.
    std::size_t compared = 0;
    std::size_t differences = 0;
};

/// Replays a trace of JSON lines. The first line is `{"core", "failure", ...}` with the core's name
/// and settings and the failure that the trace shows. Each further line is `{"at", "event",
/// "outcome", ...}`: milliseconds since the start, the event with its fields, and the decisions
/// that must follow; without `outcome` the decisions are only printed. Prints the decisions beside
/// the stated outcomes. Fails with `input_error` that names the line.
boost::leaf::result<replay_summary> replay_trace(std::istream& trace, std::ostream& out);

/// `lacewingquay replay FILE`. Returns an `exit_code`: 1 on any difference, 2 for a file that
/// cannot be read.
int run_replay(std::span<const std::string> arguments);

} // namespace lacewingquay::replay
