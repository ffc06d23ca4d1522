#pragma once

#include <boost/leaf.hpp>

#include <cstdint>
#include <iosfwd>
#include <string>
#include <vector>

namespace lacewingquay::planner
{

struct trace_service
{
    std::string name;
    std::string pool;
};

struct trace_host
{
    std::string name;
    std::string availability_zone;
    std::string rack;
    /// The pool at the start of the trace.
    std::string pool;
    std::int64_t slots = 8;
};

/// Loss or return of a host.
struct host_event
{
    /// Index of the sample before which the event takes place.
    std::int64_t step = 0;
    std::string host;
    bool lost = true;
};

/// Recorded demand of a deployment: slots that the services would keep busy if no request were
/// refused.
struct demand_trace
{
    /// Time of the first sample, in minutes since the Unix epoch.
    std::int64_t start_minute = 0;
    /// Time between samples; a divisor of 60.
    std::int64_t step_seconds = 5;
    std::vector<trace_service> services;
    std::vector<trace_host> hosts;
    /// Demand in thousandths of a slot, by step and service.
    std::vector<std::vector<std::int64_t>> samples;
    /// Ordered by step.
    std::vector<host_event> events;

    [[nodiscard]] std::int64_t steps_per_minute() const { return 60 / step_seconds; }

    /// Number of whole minutes in the trace.
    [[nodiscard]] std::int64_t minutes() const
    {
        return static_cast<std::int64_t>(samples.size()) / steps_per_minute();
    }
};

/// Writes a trace as JSON lines: a `header`, then `demand`, `host_lost` and `host_back` by step.
void write_trace(const demand_trace& trace, std::ostream& out);

/// Reads a trace in the format of `write_trace`. Fails with an `input_error` that names the line.
boost::leaf::result<demand_trace> read_trace(std::istream& in);

} // namespace lacewingquay::planner
