#include "planner/trace.hpp"

#include "core/json.hpp"

#include <algorithm>
#include <istream>
#include <limits>
#include <ostream>

namespace lacewingquay::planner
{

namespace leaf = boost::leaf;

namespace
{

constexpr std::int64_t trace_format = 1;
constexpr std::int64_t max_int64 = std::numeric_limits<std::int64_t>::max();
/// Limits of the demand in a sample and of the number of lines read, against damaged files.
constexpr std::int64_t max_millislots = 1'000'000'000;
constexpr std::size_t max_lines = 4'000'000;

boost::json::object header_json(const demand_trace& trace)
{
    boost::json::array services;
    for (const trace_service& service : trace.services)
    {
        services.push_back(boost::json::object{{"name", service.name}, {"pool", service.pool}});
    }
    boost::json::array hosts;
    for (const trace_host& host : trace.hosts)
    {
        hosts.push_back(boost::json::object{{"name", host.name},
                                            {"availability_zone", host.availability_zone},
                                            {"rack", host.rack},
                                            {"pool", host.pool},
                                            {"slots", host.slots}});
    }
    return {{"kind", "header"},
            {"format", trace_format},
            {"start_minute", trace.start_minute},
            {"step_seconds", trace.step_seconds},
            {"services", std::move(services)},
            {"hosts", std::move(hosts)}};
}

leaf::result<void> read_header(json_reader& reader, demand_trace& trace)
{
    if (leaf::result<std::int64_t> checked = reader.integer("format", trace_format, trace_format);
        !checked)
    {
        return checked.error();
    }
    BOOST_LEAF_ASSIGN(trace.start_minute, reader.integer("start_minute", 0, max_int64));
    BOOST_LEAF_ASSIGN(trace.step_seconds, reader.integer("step_seconds", 1, 60));
    if (60 % trace.step_seconds != 0)
    {
        return leaf::new_error(input_error{reader.path("step_seconds"),
                                           std::to_string(trace.step_seconds), "a divisor of 60"});
    }
    BOOST_LEAF_AUTO(services, reader.array("services"));
    for (const boost::json::value& entry : *services)
    {
        if (!entry.is_object())
        {
            return leaf::new_error(
                input_error{reader.path("services"), "another JSON type", "objects"});
        }
        json_reader fields(entry.get_object(), reader.path("services"));
        trace_service service;
        BOOST_LEAF_ASSIGN(service.name, fields.text("name"));
        BOOST_LEAF_ASSIGN(service.pool, fields.text("pool"));
        if (leaf::result<void> checked = fields.finish(); !checked)
        {
            return checked.error();
        }
        trace.services.push_back(std::move(service));
    }
    BOOST_LEAF_AUTO(hosts, reader.array("hosts"));
    for (const boost::json::value& entry : *hosts)
    {
        if (!entry.is_object())
        {
            return leaf::new_error(
                input_error{reader.path("hosts"), "another JSON type", "objects"});
        }
        json_reader fields(entry.get_object(), reader.path("hosts"));
        trace_host host;
        BOOST_LEAF_ASSIGN(host.name, fields.text("name"));
        BOOST_LEAF_ASSIGN(host.availability_zone, fields.text("availability_zone"));
        BOOST_LEAF_ASSIGN(host.rack, fields.text("rack"));
        BOOST_LEAF_ASSIGN(host.pool, fields.text("pool"));
        BOOST_LEAF_ASSIGN(host.slots, fields.integer("slots", 1, 1'000));
        if (leaf::result<void> checked = fields.finish(); !checked)
        {
            return checked.error();
        }
        trace.hosts.push_back(std::move(host));
    }
    return reader.finish();
}

leaf::result<void> read_demand(json_reader& reader, demand_trace& trace)
{
    BOOST_LEAF_AUTO(busy, reader.array("busy_millislots"));
    std::vector<std::int64_t> sample;
    for (const boost::json::value& value : *busy)
    {
        const std::int64_t* number = value.if_int64();
        if (number == nullptr || *number < 0 || *number > max_millislots)
        {
            return leaf::new_error(input_error{reader.path("busy_millislots"),
                                               boost::json::serialize(value),
                                               "integers from 0 to 1000000000"});
        }
        sample.push_back(*number);
    }
    if (sample.size() != trace.services.size())
    {
        return leaf::new_error(input_error{reader.path("busy_millislots"),
                                           std::to_string(sample.size()) + " values",
                                           "one value for each service of the header"});
    }
    trace.samples.push_back(std::move(sample));
    return reader.finish();
}

leaf::result<void> read_event(json_reader& reader, bool lost, demand_trace& trace)
{
    host_event event;
    event.step = static_cast<std::int64_t>(trace.samples.size());
    event.lost = lost;
    BOOST_LEAF_ASSIGN(event.host, reader.text("host"));
    const bool known = std::any_of(trace.hosts.begin(), trace.hosts.end(),
                                   [&](const trace_host& host) { return host.name == event.host; });
    if (!known)
    {
        return leaf::new_error(
            input_error{reader.path("host"), event.host, "a host of the header"});
    }
    trace.events.push_back(std::move(event));
    return reader.finish();
}

leaf::result<void> read_line(const std::string& line, const std::string& where, demand_trace& trace)
{
    BOOST_LEAF_AUTO(object, parse_json_object(line, where));
    json_reader reader(object, where);
    BOOST_LEAF_AUTO(kind, reader.text("kind"));
    const bool has_header = !trace.services.empty();
    if (kind == "header" && !has_header)
    {
        return read_header(reader, trace);
    }
    if (kind == "demand" && has_header)
    {
        return read_demand(reader, trace);
    }
    if ((kind == "host_lost" || kind == "host_back") && has_header)
    {
        return read_event(reader, kind == "host_lost", trace);
    }
    return leaf::new_error(
        input_error{reader.path("kind"), kind, "one header, then demand, host_lost or host_back"});
}

} // namespace

void write_trace(const demand_trace& trace, std::ostream& out)
{
    out << boost::json::serialize(header_json(trace)) << '\n';
    std::size_t next_event = 0;
    for (std::size_t step = 0; step < trace.samples.size(); ++step)
    {
        while (next_event < trace.events.size() &&
               trace.events[next_event].step <= static_cast<std::int64_t>(step))
        {
            const host_event& event = trace.events[next_event++];
            out << boost::json::serialize(boost::json::object{
                       {"kind", event.lost ? "host_lost" : "host_back"}, {"host", event.host}})
                << '\n';
        }
        const boost::json::array busy(trace.samples[step].begin(), trace.samples[step].end());
        out << boost::json::serialize(
                   boost::json::object{{"kind", "demand"}, {"busy_millislots", busy}})
            << '\n';
    }
}

leaf::result<demand_trace> read_trace(std::istream& in)
{
    demand_trace trace;
    std::string line;
    for (std::size_t number = 1; number <= max_lines && std::getline(in, line); ++number)
    {
        if (leaf::result<void> checked =
                read_line(line, "trace line " + std::to_string(number), trace);
            !checked)
        {
            return checked.error();
        }
    }
    if (trace.samples.empty())
    {
        return leaf::new_error(input_error{"trace", "no demand", "a header and demand lines"});
    }
    return trace;
}

} // namespace lacewingquay::planner
