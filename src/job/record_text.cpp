#include "job/record_text.hpp"

#include "core/json.hpp"

#include <boost/json.hpp>

namespace lacewingquay::job
{

namespace json = boost::json;

namespace
{

constexpr std::int64_t max_time_ms = 1'000'000'000'000;

} // namespace

std::string serialize_record(const record_header& header, std::string_view body)
{
    const json::object line{{"host", header.source_queue.host},
                            {"prefix", header.source_queue.prefix},
                            {"pool", header.source_queue.pool},
                            {"priority", header.source_queue.priority},
                            {"max_attempts", header.source_queue.max_attempts},
                            {"stretch", header.source_queue.stretch},
                            {"objective_ms", header.source_queue.objective.count()},
                            {"has_advice", header.source_queue.has_advice},
                            {"accepted_ms", header.accepted.count()}};
    return json::serialize(line) + "\n" + std::string(body);
}

boost::leaf::result<parsed_record> parse_record(std::string_view text)
{
    parsed_record result;
    const std::size_t end = text.find('\n');
    if (end == std::string_view::npos)
    {
        return boost::leaf::new_error(input_error{"job record", std::string(text.substr(0, 120)),
                                                  "a header line and a body"});
    }
    result.body = text.substr(end + 1);
    BOOST_LEAF_AUTO(line, parse_json_object(text.substr(0, end), "job record"));
    json_reader reader(line, "job record");
    queue& source_queue = result.header.source_queue;
    BOOST_LEAF_ASSIGN(source_queue.host, reader.text("host"));
    BOOST_LEAF_ASSIGN(source_queue.prefix, reader.text("prefix"));
    BOOST_LEAF_ASSIGN(source_queue.pool, reader.text("pool"));
    BOOST_LEAF_AUTO(priority, reader.integer("priority", -1'000, 1'000));
    BOOST_LEAF_AUTO(attempts, reader.integer("max_attempts", 0, 1'000'000));
    BOOST_LEAF_ASSIGN(source_queue.stretch, reader.number("stretch", 0.0, 1e6));
    BOOST_LEAF_AUTO(objective, reader.integer("objective_ms", 0, max_time_ms));
    BOOST_LEAF_ASSIGN(source_queue.has_advice, reader.flag_or("has_advice", false));
    BOOST_LEAF_AUTO(accepted, reader.integer("accepted_ms", 0, max_time_ms));
    source_queue.name = source_queue.host + source_queue.prefix;
    source_queue.priority = static_cast<int>(priority);
    source_queue.max_attempts = static_cast<int>(attempts);
    source_queue.objective = std::chrono::milliseconds(objective);
    result.header.accepted = std::chrono::milliseconds(accepted);
    return result;
}

std::string serialize_cancellation(std::chrono::milliseconds cancelled)
{
    return json::serialize(json::object{{"cancelled_ms", cancelled.count()}});
}

boost::leaf::result<std::optional<std::chrono::milliseconds>>
parse_cancellation(std::string_view text)
{
    BOOST_LEAF_AUTO(body, parse_json_object(text, "cancellation"));
    if (!body.contains("cancelled_ms"))
    {
        return std::optional<std::chrono::milliseconds>();
    }
    json_reader reader(body, "cancellation");
    BOOST_LEAF_AUTO(cancelled, reader.integer("cancelled_ms", 0, max_time_ms));
    return std::optional<std::chrono::milliseconds>(cancelled);
}

} // namespace lacewingquay::job
