#include "job/record_text.hpp"

#include "core/json.hpp"

#include <boost/json.hpp>

namespace lacewingquay::job
{

namespace json = boost::json;

std::string serialize_record(const record_head& head, std::string_view body)
{
    const json::object line{{"host", head.from.host},
                            {"prefix", head.from.prefix},
                            {"pool", head.from.pool},
                            {"priority", head.from.priority},
                            {"max_attempts", head.from.max_attempts},
                            {"stretch", head.from.stretch},
                            {"objective_ms", head.from.objective.count()},
                            {"has_advice", head.from.has_advice},
                            {"accepted_ms", head.accepted.count()}};
    return json::serialize(line) + "\n" + std::string(body);
}

boost::leaf::result<split_record> parse_record(std::string_view text)
{
    constexpr std::int64_t max_time_ms = 1'000'000'000'000;
    split_record result;
    const std::size_t end = text.find('\n');
    if (end == std::string_view::npos)
    {
        return boost::leaf::new_error(input_error{"job record", std::string(text.substr(0, 120)),
                                                  "a header line and a body"});
    }
    result.body = text.substr(end + 1);
    BOOST_LEAF_AUTO(line, parse_json_object(text.substr(0, end), "job record"));
    json_reader reader(line, "job record");
    queue& from = result.head.from;
    BOOST_LEAF_ASSIGN(from.host, reader.text("host"));
    BOOST_LEAF_ASSIGN(from.prefix, reader.text("prefix"));
    BOOST_LEAF_ASSIGN(from.pool, reader.text("pool"));
    BOOST_LEAF_AUTO(priority, reader.integer("priority", -1'000, 1'000));
    BOOST_LEAF_AUTO(attempts, reader.integer("max_attempts", 0, 1'000'000));
    BOOST_LEAF_ASSIGN(from.stretch, reader.number("stretch", 0.0, 1e6));
    BOOST_LEAF_AUTO(objective, reader.integer("objective_ms", 0, max_time_ms));
    BOOST_LEAF_ASSIGN(from.has_advice, reader.flag_or("has_advice", false));
    BOOST_LEAF_AUTO(accepted, reader.integer("accepted_ms", 0, max_time_ms));
    from.name = from.host + from.prefix;
    from.priority = static_cast<int>(priority);
    from.max_attempts = static_cast<int>(attempts);
    from.objective = std::chrono::milliseconds(objective);
    result.head.accepted = std::chrono::milliseconds(accepted);
    return result;
}

} // namespace lacewingquay::job
