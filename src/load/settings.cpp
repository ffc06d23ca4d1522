#include "load/settings.hpp"

#include <charconv>

namespace lacewingquay::load
{

namespace leaf = boost::leaf;

namespace
{

constexpr double max_rate = 1e6;
constexpr double max_weight = 1e6;
constexpr double max_factor = 1e3;

leaf::result<double> parse_number(std::string_view text, std::string_view where, double highest)
{
    double number = 0.0;
    const std::from_chars_result parsed =
        std::from_chars(text.data(), text.data() + text.size(), number);
    const bool whole = parsed.ec == std::errc{} && parsed.ptr == text.data() + text.size();
    if (!whole || !(number >= 0.0 && number <= highest))
    {
        return leaf::new_error(input_error{std::string(where), std::string(text),
                                           "a number from 0 to " + std::to_string(highest)});
    }
    return number;
}

} // namespace

leaf::result<weighted_entry> parse_weighted_entry(std::string_view text)
{
    const std::size_t equals = text.find('=');
    weighted_entry entry;
    BOOST_LEAF_ASSIGN(entry.where, parse_address(text.substr(0, equals), "--entry"));
    if (equals != std::string_view::npos)
    {
        BOOST_LEAF_ASSIGN(entry.weight,
                          parse_number(text.substr(equals + 1), "--entry weight", max_weight));
    }
    return entry;
}

leaf::result<service_rate> parse_service_rate(std::string_view text)
{
    const std::size_t equals = text.find('=');
    if (equals == std::string_view::npos || equals == 0)
    {
        return leaf::new_error(input_error{"--rate", std::string(text), "SERVICE=RATE"});
    }
    service_rate rate;
    rate.service = std::string(text.substr(0, equals));
    BOOST_LEAF_ASSIGN(rate.rate, parse_number(text.substr(equals + 1), "--rate", max_rate));
    return rate;
}

leaf::result<burst> parse_burst(std::string_view text)
{
    const std::size_t equals = text.find('=');
    const std::size_t at = text.find('@');
    const std::size_t plus = text.find('+');
    const bool ordered = equals != std::string_view::npos && at != std::string_view::npos &&
                         plus != std::string_view::npos && equals < at && at < plus;
    if (!ordered)
    {
        return leaf::new_error(input_error{"--burst", std::string(text),
                                           "SERVICE=FACTOR@START+LENGTH, for example a=5@10s+4s"});
    }
    burst result;
    result.service = std::string(text.substr(0, equals));
    BOOST_LEAF_ASSIGN(result.factor, parse_number(text.substr(equals + 1, at - equals - 1),
                                                  "--burst factor", max_factor));
    BOOST_LEAF_ASSIGN(result.start,
                      cli::parse_duration(text.substr(at + 1, plus - at - 1), "--burst start"));
    BOOST_LEAF_ASSIGN(result.length, cli::parse_duration(text.substr(plus + 1), "--burst length"));
    return result;
}

void declare_load_options(cli::option_set& options)
{
    options.add_list("entry", "entry host as IP:PORT or IP:PORT=WEIGHT; repeat for each");
    options.add_list("rate", "mean arrival rate as SERVICE=REQUESTS_PER_SECOND; repeat for each");
    options.add_list("burst", "burst as SERVICE=FACTOR@START+LENGTH, for example a=5@10s+4s");
    options.add("duration", "10s", "length of the run");
    options.add("warm-up", "0s", "results of requests that arrive before this are not counted");
    options.add("deadline", "2s", "time that a caller waits for its answer");
    options.add("write-share", "0", "share of requests that are POST with an idempotency key");
    options.add("repeats", "0", "times that a caller repeats a request that has not completed");
    options.add("priority", "", "urgent, normal or deferrable; the service's own if not given");
    options.add("seed", "1", "seed of arrivals and choices");
    options.add("records", "", "file for one JSON line per attempt");
    options.add_switch("no-verify", "do not check answers against the stand-in's form");
    options.add_switch("direct", "the targets are backend servers; leave out the service's path");
    options.add_switch("json", "print the result as JSON");
}

leaf::result<load_settings> parse_load_settings(const cli::option_set& options)
{
    using std::chrono::milliseconds;
    constexpr milliseconds longest_run = std::chrono::hours{1};
    load_settings settings;
    for (const std::string& text : options.list("entry"))
    {
        BOOST_LEAF_AUTO(entry, parse_weighted_entry(text));
        settings.entries.push_back(std::move(entry));
    }
    for (const std::string& text : options.list("rate"))
    {
        BOOST_LEAF_AUTO(rate, parse_service_rate(text));
        settings.rates.push_back(std::move(rate));
    }
    for (const std::string& text : options.list("burst"))
    {
        BOOST_LEAF_AUTO(parsed, parse_burst(text));
        settings.bursts.push_back(std::move(parsed));
    }
    if (settings.entries.empty())
    {
        return leaf::new_error(input_error{"--entry", "nothing", "at least one IP:PORT"});
    }
    if (settings.rates.empty())
    {
        return leaf::new_error(input_error{"--rate", "nothing", "at least one SERVICE=RATE"});
    }
    BOOST_LEAF_ASSIGN(settings.duration,
                      options.duration("duration", milliseconds{100}, longest_run));
    BOOST_LEAF_ASSIGN(settings.warm_up, options.duration("warm-up", milliseconds{0}, longest_run));
    BOOST_LEAF_ASSIGN(settings.deadline,
                      options.duration("deadline", milliseconds{1}, longest_run));
    BOOST_LEAF_ASSIGN(settings.write_share, options.number("write-share", 0.0, 1.0));
    BOOST_LEAF_ASSIGN(settings.repeats, options.integer("repeats", 0, 100));
    BOOST_LEAF_AUTO(seed, options.integer("seed", 0, std::int64_t{1} << 62));
    settings.seed = static_cast<std::uint64_t>(seed);
    if (options.has("priority"))
    {
        BOOST_LEAF_ASSIGN(settings.priority, options.text("priority"));
    }
    if (options.has("records"))
    {
        BOOST_LEAF_ASSIGN(settings.records, options.text("records"));
    }
    settings.verify = !options.is_set("no-verify");
    settings.direct = options.is_set("direct");
    return settings;
}

} // namespace lacewingquay::load
