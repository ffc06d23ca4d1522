#include "entry/runner_world.hpp"
#include "entry/wave_runner.hpp"
#include "maintenance/wave_json.hpp"

#include <catch2/catch.hpp>
#include <rapidcheck/catch.h>

#include <algorithm>
#include <functional>

// g++ 12 reports the allocation of coroutine frames in Boost.Asio, which is paired correctly.
#pragma GCC diagnostic ignored "-Wmismatched-new-delete"

namespace lacewingquay::entry::test
{

namespace
{

namespace asio = boost::asio;

constexpr std::chrono::milliseconds step_interval{2'000};
constexpr std::int64_t day_ms = 24LL * 3'600 * 1'000;
constexpr int most_rounds = 600;

asio::awaitable<bool> step_once(wave_runner& runner,
                                std::shared_ptr<const config::configuration> configuration)
{
    co_await runner.step(std::move(configuration));
    co_return true;
}

void start_wave(runner_world& world)
{
    maintenance::wave value;
    value.id = "w1";
    value.write_id = "start";
    value.started_ms = unix_milliseconds(world.clock.wall_now());
    value.deadline_ms = value.started_ms + day_ms;
    platform::transaction changes;
    changes.writes.push_back({maintenance::wave_key("w1"), maintenance::wave_to_json(value)});
    world.store->transact(changes);
}

maintenance::wave stored_wave(const runner_world& world)
{
    return must(maintenance::wave_from_json(world.store->read(maintenance::wave_key("w1")).value));
}

void add_two_zones(runner_world& world)
{
    world.add_hosts("a", "lookup", 4);
    world.add_hosts("b", "lookup", 4);
}

/// One step of all holders at the same time, then of the movers.
void run_round(runner_world& world, const std::vector<std::unique_ptr<wave_holder>>& holders)
{
    std::vector<std::optional<bool>> ended(holders.size());
    for (std::size_t i = 0; i < holders.size(); ++i)
    {
        world.order.start(step_once(holders[i]->runner, world.configuration), ended[i]);
    }
    world.order.run();
    for (const std::optional<bool>& done : ended)
    {
        RC_ASSERT(done.has_value());
    }
    world.run_movers();
    world.clock.advance(step_interval);
}

/// A wave holder whose platform operations are preceded by a call of the test.
struct hooked_holder
{
    hooked_holder(runner_world& world, maintenance::wave_settings settings)
        : fence(world.take_lease("a")), port(world.store, 0, [this] { return run_hook(); }),
          runner(
              port, world.clock, "a-first", [this] { return std::optional(fence); }, settings)
    {
        world.ports.push_back(&port);
    }

    asio::awaitable<void> run_hook()
    {
        if (hook)
        {
            hook();
        }
        co_return;
    }

    void step(runner_world& world)
    {
        std::optional<bool> ended;
        world.order.start(step_once(runner, world.configuration), ended);
        world.order.run();
        REQUIRE(ended.has_value());
        world.clock.advance(step_interval);
    }

    platform::row_check fence;
    std::function<void()> hook;
    platform::memory_port port;
    wave_runner runner;
};

bool has_phase(const runner_world& world, maintenance::host_phase phase)
{
    const maintenance::wave value = stored_wave(world);
    return std::any_of(value.hosts.begin(), value.hosts.end(),
                       [&](const auto& entry) { return entry.second.phase == phase; });
}

/// The racks of hosts that are out of service; all hosts are in one pool.
std::set<std::string> racks_out(const runner_world& world)
{
    std::set<std::string> racks;
    for (const std::string& name : world.out_of_service())
    {
        racks.insert(world.configuration->hosts[name].rack);
    }
    return racks;
}

} // namespace

// Guards against hosts rebooted twice, skipped or rebooted in service when lease holders change,
// when a former lease holder goes on, and when answers and writes are lost.
TEST_CASE("a wave over two zones finishes while lease holders change", "[entry]")
{
    rc::check(
        [](std::uint32_t seed)
        {
            runner_world world(seed);
            add_two_zones(world);
            world.run_movers();
            start_wave(world);
            std::vector<std::unique_ptr<wave_holder>> holders;
            holders.push_back(std::make_unique<wave_holder>(world, "a", "a-first"));
            holders.push_back(std::make_unique<wave_holder>(world, "b", "b-first"));
            world.run_movers();
            for (const std::unique_ptr<wave_holder>& holder : holders)
            {
                holder->port->faults.lose_answers = 0.1;
                holder->port->faults.lose_writes = 0.1;
                holder->port->faults.lose_reads = 0.02;
            }
            const int change_at = static_cast<int>(seed % 20) + 1;
            int round = 0;
            for (; round < most_rounds; ++round)
            {
                if (round == change_at)
                {
                    // The former holder of zone a still acts with its old fence.
                    holders.push_back(std::make_unique<wave_holder>(world, "a", "a-second"));
                    world.run_movers();
                }
                if (round == 2 * change_at)
                {
                    holders.push_back(std::make_unique<wave_holder>(world, "b", "b-second"));
                    holders.erase(holders.begin() + 1);
                    world.ports.clear();
                    for (const std::unique_ptr<wave_holder>& holder : holders)
                    {
                        world.ports.push_back(holder->port.get());
                    }
                    world.run_movers();
                }
                run_round(world, holders);
                RC_ASSERT(racks_out(world).size() <= 1U);
                if (stored_wave(world).state == maintenance::wave_state::finished)
                {
                    break;
                }
            }
            RC_ASSERT(round > change_at);
            const maintenance::wave value = stored_wave(world);
            RC_ASSERT(value.state == maintenance::wave_state::finished);
            RC_ASSERT(world.reboots.size() == 8U);
            for (const auto& [host, count] : world.reboots)
            {
                RC_ASSERT(count == 1);
            }
            for (const auto& [name, host] : value.hosts)
            {
                RC_ASSERT(host.phase == maintenance::host_phase::done);
            }
            RC_ASSERT(world.reboots_in_service == 0);
            RC_ASSERT(world.out_of_service().empty());
        });
}

// Guards against two lease holders that both advance a wave: one whose lease was taken over must
// change nothing, even if nobody else acts.
TEST_CASE("a holder that lost its lease does not advance a wave", "[entry]")
{
    runner_world world(1);
    add_two_zones(world);
    start_wave(world);
    std::vector<std::unique_ptr<wave_holder>> holders;
    holders.push_back(std::make_unique<wave_holder>(world, "a", "a-first"));
    world.take_lease("a");
    world.run_movers();
    for (int round = 0; round < 20; ++round)
    {
        run_round(world, holders);
    }
    CHECK(stored_wave(world).state == maintenance::wave_state::requested);
    CHECK(world.carried_out.empty());
    CHECK(world.reboots.empty());
}

// Guards against further hosts being taken out after the canary has failed.
TEST_CASE("a wave stops when its canary is lost or does not come back", "[entry]")
{
    const bool lost = GENERATE(true, false);
    runner_world world(2);
    add_two_zones(world);
    world.refuse_reboots = true;
    start_wave(world);
    maintenance::wave_settings settings;
    settings.reboot_timeout_ms = 60'000;
    std::vector<std::unique_ptr<wave_holder>> holders;
    holders.push_back(std::make_unique<wave_holder>(world, "a", "a-first", settings));
    holders.push_back(std::make_unique<wave_holder>(world, "b", "b-first", settings));
    world.run_movers();
    std::set<std::string> ever_out;
    for (int round = 0; round < 100; ++round)
    {
        run_round(world, holders);
        const std::set<std::string> out = world.out_of_service();
        ever_out.insert(out.begin(), out.end());
        if (lost && out.size() == 1)
        {
            world.live.erase(*out.begin());
        }
    }
    const maintenance::wave value = stored_wave(world);
    CHECK(value.state == maintenance::wave_state::stopped);
    CHECK(value.reason == "the canary has failed");
    CHECK(ever_out.size() == 1);
    CHECK(value.batch == 1);
}

// Guards against the reboot of a host that an operator has put back into service.
TEST_CASE("a host that an operator returns is not rebooted", "[entry]")
{
    runner_world world(3);
    add_two_zones(world);
    start_wave(world);
    std::vector<std::unique_ptr<wave_holder>> holders;
    holders.push_back(std::make_unique<wave_holder>(world, "a", "a-first"));
    world.run_movers();
    for (int round = 0; round < 20 && world.out_of_service().empty(); ++round)
    {
        run_round(world, holders);
    }
    REQUIRE(world.out_of_service().size() == 1);
    const std::string host = *world.out_of_service().begin();
    placement::request_row back;
    back.request.host = host;
    back.request.kind = placement::request_kind::return_to_service;
    back.author = "operator";
    // Waits while the wave records the drained host, and is carried out before the reboot.
    world.run_movers();
    platform::transaction changes;
    changes.writes.push_back(
        {placement::request_key(host), placement::request_value(back, "operator/1")});
    world.store->transact(changes);
    for (int round = 0; round < 20; ++round)
    {
        run_round(world, holders);
    }
    CHECK(stored_wave(world).hosts.find(host)->second.phase == maintenance::host_phase::rebooting);
    CHECK(world.reboots.empty());
}

// Guards against a drain request that takes effect after the wave has moved on, or after another
// entry host has taken over the lease: nobody would return the host.
TEST_CASE("a delayed request of a wave is not written", "[entry]")
{
    const bool lease_lost = GENERATE(true, false);
    runner_world world(4);
    add_two_zones(world);
    start_wave(world);
    hooked_holder holder(world, {});
    world.run_movers();
    bool happened = false;
    holder.hook = [&]
    {
        if (happened || !has_phase(world, maintenance::host_phase::draining))
        {
            return;
        }
        happened = true;
        if (lease_lost)
        {
            world.take_lease("a");
            return;
        }
        const platform::row row = world.store->read(maintenance::wave_key("w1"));
        platform::transaction changes;
        changes.writes.push_back({row.key, row.value});
        world.store->transact(changes);
    };
    for (int step = 0; step < 3 && !happened; ++step)
    {
        holder.step(world);
    }
    REQUIRE(happened);
    CHECK(world.store->list("move/", {}, 10).empty());
}

// Guards against a host that counts as returned while its drain request still waits and is carried
// out later.
TEST_CASE("a host has not returned while its drain request waits", "[entry]")
{
    runner_world world(5);
    add_two_zones(world);
    start_wave(world);
    maintenance::wave_settings settings;
    settings.drain_timeout_ms = 10'000;
    hooked_holder holder(world, settings);
    world.run_movers();
    // The platform fails before the return request can replace the drain request.
    holder.hook = [&]
    {
        holder.port.faults.down = has_phase(world, maintenance::host_phase::returning);
    };
    for (int step = 0; step < 20 && !holder.port.faults.down; ++step)
    {
        holder.step(world);
    }
    REQUIRE(holder.port.faults.down);
    holder.hook = {};
    holder.port.faults.down = false;
    REQUIRE(world.store->list("move/", {}, 10).size() == 1);
    for (int step = 0; step < 10; ++step)
    {
        holder.step(world);
        CHECK((step > 0 || has_phase(world, maintenance::host_phase::returning)));
        world.run_movers();
    }
    CHECK(world.out_of_service().empty());
    CHECK(stored_wave(world).state == maintenance::wave_state::stopped);
}

} // namespace lacewingquay::entry::test
