#pragma once

#include <boost/json.hpp>

#include <string_view>

namespace lacewingquay
{

/// Severity of a log event.
enum class log_level
{
    debug,
    info,
    warning,
    error
};

/// Sets up the process-wide log: one JSON object a line on standard error. `node` is put into each
/// line; lines below `lowest` are dropped.
void set_up_log(std::string_view node, log_level lowest);

/// Sets up the process-wide log on standard output, bounded and never blocking: lines beyond the
/// bound of a second, and lines that the reader does not take at once, are counted in a line
/// `log_dropped` instead.
void set_up_bounded_log(std::string_view node, log_level lowest);

/// Writes one event. `event` is a stable identifier listed in docs/OPERATIONS.md; `fields` are
/// added to the line. Thread-safe.
void log_event(log_level level, std::string_view event, boost::json::object fields = {});

} // namespace lacewingquay
