#include "entry/settings.hpp"

#include <algorithm>
#include <array>

namespace lacewingquay::entry
{

namespace leaf = boost::leaf;

namespace
{

constexpr std::size_t max_name_length = 63;

leaf::result<std::string> parse_name(const cli::option_set& options, const std::string& flag)
{
    BOOST_LEAF_AUTO(name, options.text(flag));
    const bool valid =
        !name.empty() && name.size() <= max_name_length &&
        name.find_first_not_of("abcdefghijklmnopqrstuvwxyz0123456789_-") == std::string::npos;
    if (!valid)
    {
        return leaf::new_error(
            input_error{"--" + flag, name, "1 to 63 characters of a-z, 0-9, '_' and '-'"});
    }
    return name;
}

leaf::result<log_level> parse_log_level(const std::string& text)
{
    constexpr std::array<std::pair<const char*, log_level>, 4> levels{
        {{"debug", log_level::debug},
         {"info", log_level::info},
         {"warning", log_level::warning},
         {"error", log_level::error}}};
    for (const std::pair<const char*, log_level>& level : levels)
    {
        if (text == level.first)
        {
            return level.second;
        }
    }
    return leaf::new_error(input_error{"--log-level", text, "debug, info, warning or error"});
}

leaf::result<seed_peer> parse_seed_peer(const std::string& text)
{
    const std::size_t equals = text.find('=');
    if (equals == std::string::npos || equals == 0)
    {
        return leaf::new_error(input_error{"--seed-peer", text, "ID=IP:PORT"});
    }
    BOOST_LEAF_AUTO(where, parse_address(std::string_view(text).substr(equals + 1), "--seed-peer"));
    return seed_peer{text.substr(0, equals), std::move(where)};
}

leaf::result<void> check_distinct(const entry_settings& settings)
{
    const std::array<address, 4> addresses = {settings.caller_listen, settings.operator_listen,
                                              settings.peer_listen, settings.dispatch_listen};
    for (std::size_t i = 0; i < addresses.size(); ++i)
    {
        if (std::find(addresses.begin() + static_cast<std::ptrdiff_t>(i) + 1, addresses.end(),
                      addresses[i]) != addresses.end())
        {
            return leaf::new_error(
                input_error{"listen addresses", addresses[i].text(), "four different addresses"});
        }
    }
    return {};
}

} // namespace

void declare_entry_options(cli::option_set& options)
{
    options.add("id", "", "name of this entry host, unique in the deployment");
    options.add("availability-zone", "", "availability zone of this entry host");
    options.add("caller-listen", "", "IP:PORT for callers");
    options.add("operator-listen", "", "IP:PORT for health, readiness, metrics and status");
    options.add("peer-listen", "", "IP:PORT for control messages of entry hosts");
    options.add("dispatch-listen", "", "IP:PORT for dispatch messages of entry hosts");
    options.add("platform", "", "IP:PORT of the platform");
    options.add_list("seed-peer", "ID=IP:PORT of a peer's control address, used if the platform is "
                                  "down at start; repeat for each");
    options.add("traffic-threads", "2", "threads for HTTP with callers and backend servers");
    options.add("body-limit", "1048576", "largest accepted request body in bytes");
    options.add("drain-delay", "1s", "planned stop: time from not ready to closing the listener");
    options.add("stop-limit", "30s", "planned stop: longest wait for requests in progress");
    options.add("poll-interval", "1s", "interval of conditional reads of the platform");
    options.add("flush-interval", "10s", "interval of writing counters to the platform");
    options.add("log-level", "info", "debug, info, warning or error");
    options.add_switch("planner", "let the planner move hosts; without it, it only logs its moves");
    options.add_switch("fault-injection", "accept POST /faults at the operator port; tests only");
}

leaf::result<entry_settings> parse_entry_settings(const cli::option_set& options)
{
    using std::chrono::milliseconds;
    using std::chrono::minutes;
    constexpr std::int64_t max_threads = 64;
    constexpr std::int64_t max_body = 64 << 20;
    entry_settings settings;
    BOOST_LEAF_ASSIGN(settings.id, parse_name(options, "id"));
    BOOST_LEAF_ASSIGN(settings.availability_zone, parse_name(options, "availability-zone"));
    BOOST_LEAF_ASSIGN(settings.caller_listen, options.endpoint("caller-listen"));
    BOOST_LEAF_ASSIGN(settings.operator_listen, options.endpoint("operator-listen"));
    BOOST_LEAF_ASSIGN(settings.peer_listen, options.endpoint("peer-listen"));
    BOOST_LEAF_ASSIGN(settings.dispatch_listen, options.endpoint("dispatch-listen"));
    BOOST_LEAF_ASSIGN(settings.platform, options.endpoint("platform"));
    BOOST_LEAF_CHECK(check_distinct(settings));
    for (const std::string& text : options.list("seed-peer"))
    {
        BOOST_LEAF_AUTO(peer, parse_seed_peer(text));
        settings.seed_peers.push_back(std::move(peer));
    }
    BOOST_LEAF_AUTO(threads, options.integer("traffic-threads", 1, max_threads));
    settings.traffic_threads = static_cast<std::size_t>(threads);
    BOOST_LEAF_AUTO(body_limit, options.integer("body-limit", 1, max_body));
    settings.body_limit = static_cast<std::size_t>(body_limit);
    BOOST_LEAF_ASSIGN(settings.drain_delay,
                      options.duration("drain-delay", milliseconds{0}, minutes{10}));
    BOOST_LEAF_ASSIGN(settings.stop_limit,
                      options.duration("stop-limit", milliseconds{0}, minutes{60}));
    BOOST_LEAF_ASSIGN(settings.poll_interval,
                      options.duration("poll-interval", milliseconds{100}, minutes{1}));
    BOOST_LEAF_ASSIGN(settings.flush_interval,
                      options.duration("flush-interval", milliseconds{500}, minutes{10}));
    BOOST_LEAF_AUTO(level, options.text("log-level"));
    BOOST_LEAF_ASSIGN(settings.lowest_level, parse_log_level(level));
    settings.planner = options.is_set("planner");
    settings.fault_injection = options.is_set("fault-injection");
    return settings;
}

} // namespace lacewingquay::entry
