#include "cli/preset_command.hpp"

#include "cli/options.hpp"
#include "cli/platform_flags.hpp"
#include "config/limits.hpp"
#include "config/parse.hpp"
#include "config/serialize.hpp"
#include "platform/check.hpp"

#include <algorithm>
#include <array>
#include <chrono>
#include <iostream>
#include <map>
#include <string_view>
#include <utility>
#include <vector>

namespace lacewingquay::cli
{

namespace leaf = boost::leaf;

namespace
{

constexpr std::int64_t hosts_per_rack = 4;

/// A service with a pool of its own and the same name.
struct preset_service
{
    std::string_view name;
    double slo;
    std::int64_t latency_target_ms;
    std::int64_t request_timeout_ms;
    std::int64_t hosts;
    bool spare;
};

struct preset
{
    std::string_view name;
    std::vector<std::string> availability_zones;
    std::vector<preset_service> services;
    double host_hour_cost;
    config::weights cost_weights;
};

preset finland()
{
    return preset{"finland",
                  {"fi-1", "fi-2", "fi-3"},
                  {{"certificate_lookup", 0.9995, 500, 2'000, 12, false},
                   {"batch_stamping", 0.999, 2'000, 10'000, 10, false},
                   {"import_desk", 0.9995, 500, 5'000, 10, false},
                   {"kitchen_certification", 0.999, 1'000, 5'000, 10, false},
                   {"clerical", 0.99, 2'000, 10'000, 8, true}},
                  1.6,
                  config::weights{10.0, 1.0, 1.0}};
}

preset wales()
{
    return preset{"wales",
                  {"wa-1", "wa-2", "wa-3", "wa-4"},
                  {{"gift_shop", 0.9995, 500, 2'000, 12, false},
                   {"schools", 0.999, 1'000, 5'000, 10, false},
                   {"renewals", 0.999, 1'000, 5'000, 10, false},
                   {"donor_relations", 0.999, 1'000, 5'000, 10, false},
                   {"shared_support", 0.99, 2'000, 10'000, 8, true}},
                  0.8,
                  config::weights{1.0, 10.0, 1.0}};
}

config::pool make_pool(const preset_service& entry, double host_hour_cost, std::int64_t hosts)
{
    config::pool result;
    result.name = entry.name;
    result.min_hosts = std::min<std::int64_t>(2, hosts);
    result.buffer_hosts = std::min<std::int64_t>(entry.spare ? 2 : 1, hosts);
    result.host_hour_cost = host_hour_cost;
    result.spare = entry.spare;
    return result;
}

config::service make_service(const preset_service& entry)
{
    config::service result;
    result.name = entry.name;
    result.pool = entry.name;
    result.slo = entry.slo;
    result.latency_target = std::chrono::milliseconds{entry.latency_target_ms};
    result.request_timeout = std::chrono::milliseconds{entry.request_timeout_ms};
    return result;
}

/// Adds the pool's hosts, spread over the zones; four hosts of a zone share a rack.
leaf::result<void> add_hosts(config::release_note& note, const preset& deployment,
                             std::string_view pool, std::int64_t count, address& next,
                             std::map<std::string, std::int64_t>& hosts_in_zone)
{
    for (std::int64_t i = 0; i < count; ++i)
    {
        const std::string& zone =
            deployment.availability_zones[static_cast<std::size_t>(i) %
                                          deployment.availability_zones.size()];
        const std::int64_t number = hosts_in_zone[zone]++;
        config::host entry;
        entry.name = zone + "-h" + std::to_string(number);
        entry.availability_zone = zone;
        entry.rack = zone + "-r" + std::to_string(number / hosts_per_rack);
        entry.where = next;
        entry.initial_pool = pool;
        note.added.emplace_back(std::move(entry));
        if (++next.port == 0)
        {
            return leaf::new_error(input_error{"--backend-base", next.ip,
                                               "a port with room for one port per host up to "
                                               "65535"});
        }
    }
    return {};
}

leaf::result<config::release_note> make_note(const preset& deployment, address base,
                                             std::int64_t hosts_per_pool,
                                             std::chrono::milliseconds veto_window)
{
    config::release_note note;
    note.id = std::string(deployment.name) + "-first";
    note.author = "preset";
    note.reason = "first configuration of " + std::string(deployment.name);
    std::map<std::string, std::int64_t> hosts_in_zone;
    for (const preset_service& entry : deployment.services)
    {
        const std::int64_t hosts = hosts_per_pool == 0 ? entry.hosts : hosts_per_pool;
        note.added.emplace_back(make_pool(entry, deployment.host_hour_cost, hosts));
        note.added.emplace_back(make_service(entry));
        LACEWINGQUAY_CHECK(add_hosts(note, deployment, entry.name, hosts, base, hosts_in_zone));
    }
    config::deployment_settings settings;
    settings.cost_weights = deployment.cost_weights;
    settings.veto_window = veto_window;
    note.changed.emplace_back(settings);
    return note;
}

leaf::result<int> print_preset(std::span<const std::string> arguments)
{
    constexpr std::int64_t max_hosts_per_pool = 200;
    option_set options("lacewingquay preset finland|wales [flags]");
    options.add_positional("deployment", "finland or wales");
    options.add("backend-base", "127.0.0.1:20000",
                "address of the first host; the others follow port by port");
    options.add("hosts-per-pool", "0", "hosts in each pool, or 0 for 8 to 12");
    options.add("veto-window", "1h", "time that the finance chief has to veto a note");
    LACEWINGQUAY_CHECK(options.parse(arguments));
    if (options.wants_help())
    {
        std::cout << options.help();
        return exit_ok;
    }
    BOOST_LEAF_AUTO(name, options.text("deployment"));
    if (name != "finland" && name != "wales")
    {
        return leaf::new_error(input_error{"deployment", name, "finland or wales"});
    }
    BOOST_LEAF_AUTO(base, options.endpoint("backend-base"));
    BOOST_LEAF_AUTO(hosts, options.integer("hosts-per-pool", 0, max_hosts_per_pool));
    BOOST_LEAF_AUTO(window, options.duration(
                                "veto-window", std::chrono::milliseconds{0},
                                std::chrono::milliseconds{config::limits::longest_veto_window_ms}));
    BOOST_LEAF_AUTO(note, make_note(name == "finland" ? finland() : wales(), base, hosts, window));
    std::cout << config::serialize_note(note) << "\n";
    return exit_ok;
}

} // namespace

int run_preset(std::span<const std::string> arguments)
{
    return run_checked([&] { return print_preset(arguments); });
}

std::span<const command> preset_command_table()
{
    static constexpr std::array<command, 1> table{
        {{"preset", "print the first release note of finland or wales", run_preset}}};
    return table;
}

} // namespace lacewingquay::cli
