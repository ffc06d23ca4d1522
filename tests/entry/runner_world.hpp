#pragma once

#include "config/interleaving.hpp"
#include "config/model.hpp"
#include "core/clock.hpp"
#include "entry/wave_runner.hpp"
#include "placement/request.hpp"
#include "placement/row.hpp"
#include "platform/memory_port.hpp"

#include <boost/leaf.hpp>

#include <map>
#include <memory>
#include <set>
#include <stdexcept>
#include <string>
#include <vector>

namespace lacewingquay::entry::test
{

/// The value of a result that the test expects to be there.
template <typename Result>
auto must(Result result)
{
    if (!result)
    {
        throw std::runtime_error("unreadable row");
    }
    return std::move(result.value());
}

/// Two zones whose lease holders share a platform, with movers that carry out every request row.
struct runner_world
{
    explicit runner_world(std::uint64_t seed) : order(seed) {}

    /// Adds `count` hosts to a zone, two in each rack.
    void add_hosts(const std::string& zone, const std::string& pool, int count)
    {
        placement::zone_placement& placed = zones[zone];
        placed.availability_zone = zone;
        for (int i = 0; i < count; ++i)
        {
            config::host host;
            host.name = zone;
            host.name.append("-").append(pool).append(std::to_string(i));
            host.availability_zone = zone;
            host.rack = zone;
            host.rack.append("-").append(pool).append("-rack").append(std::to_string(i / 2));
            host.initial_pool = pool;
            placed.hosts[host.name].pool = pool;
            placed.hosts[host.name].epoch = 1;
            live.insert(host.name);
            configuration->hosts[host.name] = host;
        }
        config::pool& added = configuration->pools[pool];
        added.name = pool;
        write_placement(zone);
    }

    std::unique_ptr<platform::memory_port> make_port()
    {
        std::unique_ptr<platform::memory_port> port = order.make_port(store);
        port->on_reboot = [this](const std::string& host, const std::string& id)
        {
            return reboot(host, id);
        };
        ports.push_back(port.get());
        return port;
    }

    platform::reboot_status reboot(const std::string& host, const std::string& id)
    {
        if (refuse_reboots)
        {
            return platform::reboot_status::refused;
        }
        if (!reboot_ids.insert(id).second)
        {
            return platform::reboot_status::done;
        }
        ++reboots[host];
        for (const auto& [zone, placed] : zones)
        {
            const auto entry = placed.hosts.find(host);
            reboots_in_service += entry != placed.hosts.end() &&
                                          entry->second.state != placement::host_state::maintenance
                                      ? 1
                                      : 0;
        }
        return platform::reboot_status::running;
    }

    /// Takes the lease of a zone and returns the check that holds until it is taken again.
    platform::row_check take_lease(const std::string& zone)
    {
        platform::transaction changes;
        changes.writes.push_back({"lease/" + zone, "{}"});
        platform::row_check fence;
        fence.key = "lease/" + zone;
        fence.version = store->transact(changes).versions.front();
        return fence;
    }

    void write_placement(const std::string& zone)
    {
        ++zones[zone].epoch;
        platform::transaction changes;
        changes.writes.push_back(
            {placement::placement_key(zone), placement::placement_value(zones[zone], "test")});
        store->transact(changes);
    }

    /// Carries out waiting requests and ends the drains that began in an earlier call.
    void run_movers()
    {
        for (auto& [zone, placed] : zones)
        {
            for (auto& [name, entry] : placed.hosts)
            {
                if (entry.state == placement::host_state::draining)
                {
                    entry.state = entry.next_state;
                    entry.next_state = placement::host_state::serving;
                    entry.pool = entry.next_pool.empty() ? entry.pool : entry.next_pool;
                    entry.next_pool.clear();
                }
                apply_request(name, entry);
            }
            write_placement(zone);
        }
        std::vector<platform::listed_host> hosts;
        for (const std::string& name : live)
        {
            hosts.push_back({name, false});
        }
        for (platform::memory_port* port : ports)
        {
            port->hosts = hosts;
        }
    }

    /// Hosts that are not serving, by name.
    [[nodiscard]] std::set<std::string> out_of_service() const
    {
        std::set<std::string> result;
        for (const auto& [zone, placed] : zones)
        {
            for (const auto& [name, entry] : placed.hosts)
            {
                if (entry.state != placement::host_state::serving)
                {
                    result.insert(name);
                }
            }
        }
        return result;
    }

    std::shared_ptr<platform::table_store> store = std::make_shared<platform::table_store>();
    lacewingquay::test::interleaving order;
    manual_clock_source clock;
    std::shared_ptr<config::configuration> configuration =
        std::make_shared<config::configuration>();
    std::map<std::string, placement::zone_placement> zones;
    std::set<std::string> live;
    std::vector<platform::memory_port*> ports;
    std::set<std::string> reboot_ids;
    std::map<std::string, int> reboots;
    int reboots_in_service = 0;
    bool refuse_reboots = false;
    /// Requests that the movers have carried out.
    std::vector<placement::request_row> carried_out;

private:
    void apply_request(const std::string& name, placement::host_placement& entry)
    {
        const platform::row row = store->read(placement::request_key(name));
        if (row.version == 0)
        {
            return;
        }
        const placement::request_row request = must(placement::parse_request(row.value, name));
        entry.next_pool = request.request.to_pool;
        entry.next_state = request.request.kind == placement::request_kind::drain
                               ? placement::host_state::maintenance
                               : placement::host_state::serving;
        entry.state = request.request.kind == placement::request_kind::return_to_service
                          ? placement::host_state::serving
                          : placement::host_state::draining;
        carried_out.push_back(request);
        platform::transaction changes;
        changes.writes.push_back({row.key, std::nullopt});
        store->transact(changes);
    }
};

/// One entry host that believes that it holds the lease of its zone.
struct wave_holder
{
    wave_holder(runner_world& world, const std::string& zone, const std::string& name,
                maintenance::wave_settings settings = {})
        : fence(world.take_lease(zone)), port(world.make_port()),
          runner(
              *port, world.clock, name, [this] { return std::optional(fence); }, settings)
    {
    }

    platform::row_check fence;
    std::unique_ptr<platform::memory_port> port;
    wave_runner runner;
};

} // namespace lacewingquay::entry::test
