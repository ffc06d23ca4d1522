#include "planner/planner_simulation.hpp"

#include <catch2/catch.hpp>
#include <rapidcheck/catch.h>

using namespace lacewingquay;
using namespace lacewingquay::planner;

namespace
{

using planner_core = lacewingquay::planner::planner;
using seed_type = std::uint32_t;

constexpr std::int64_t half_day = 720;

move_policy policy_of(planner_core& core)
{
    return [&core](const planner_input& input)
    {
        return core.decide(input);
    };
}

std::string run_planner(seed_type seed)
{
    planner_simulation simulation(seed);
    planner_core core({});
    return simulation.run(policy_of(core), half_day);
}

/// Moves of a simulation with constant load, in which the load of pool `a` is multiplied by
/// `factor` for some minutes after three hours.
template <typename MakePolicy>
std::vector<planner_simulation::logged_move>
moves_with_scaled_load(seed_type seed, std::int64_t minutes, double factor, MakePolicy make_policy)
{
    planner_simulation simulation(seed);
    simulation.disable_random_changes();
    const std::int64_t first = 180 + simulation.pick(0, 30);
    for (std::int64_t minute = first; minute < first + minutes; ++minute)
    {
        simulation.scale_load(minute, factor);
    }
    const std::string violation = simulation.run(make_policy(), 1'800);
    RC_ASSERT(violation.empty());
    return simulation.log();
}

auto new_planner()
{
    return []
    {
        const std::shared_ptr<planner_core> core =
            std::make_shared<planner_core>(planner_settings{});
        return move_policy([core](const planner_input& input) { return core->decide(input); });
    };
}

/// Moves of a simulation in which the planner is replaced every `period` minutes by
/// `replace(planner)`.
template <typename Replace>
std::vector<planner_simulation::logged_move>
moves_with_takeovers(seed_type seed, std::int64_t period, Replace replace)
{
    planner_simulation simulation(seed);
    planner_core core({});
    for (std::int64_t minute = 1; minute <= half_day; ++minute)
    {
        simulation.run_minute(policy_of(core));
        if (minute % period == 0)
        {
            core = replace(core);
        }
    }
    return simulation.log();
}

planner_core restored(const planner_core& core)
{
    return planner_core::from_json(core.to_json(), {}).value();
}

} // namespace

// Guards against moves that take a pool below min_hosts, order a host that is already moving (so
// that it would be in two pools), exceed the limit of moves in progress or leave a pool in one
// zone.
TEST_CASE("moves comply with the rules of pools", "[planner]")
{
    rc::prop("no rule is violated", [](seed_type seed) { RC_ASSERT(run_planner(seed) == ""); });
}

// Guards against a rule checker that accepts everything: each altered input must lead to one
// violation on some seed.
TEST_CASE("the simulation detects violations of the rules of pools", "[planner]")
{
    const auto violates = [](const auto& change, const std::string& expected)
    {
        for (seed_type seed = 1; seed <= 60; ++seed)
        {
            planner_simulation simulation(seed);
            planner_core core({});
            const move_policy policy = [&](const planner_input& input)
            {
                planner_input changed = input;
                change(changed);
                return core.decide(changed);
            };
            if (simulation.run(policy, half_day) == expected)
            {
                return true;
            }
        }
        return false;
    };
    CHECK(violates(
        [](planner_input& input)
        {
            for (auto& [name, pool] : input.pools)
            {
                pool.min_hosts = 0;
            }
        },
        "a pool is below min_hosts"));
    CHECK(violates(
        [](planner_input& input)
        {
            for (host_view& host : input.hosts)
            {
                host.available = true;
            }
        },
        "a moved host is unavailable, already moving or in another pool"));
    CHECK(violates(
        [](planner_input& input)
        {
            for (host_view& host : input.hosts)
            {
                host.availability_zone = host.name;
            }
        },
        "a pool is in one zone only"));
}

// Guards against moves caused by a burst of seconds, directly or through the forecast of the next
// day.
TEST_CASE("a burst of seconds causes no move", "[planner]")
{
    rc::prop("same moves with and without the burst",
             [](seed_type seed)
             {
                 const std::int64_t minutes = 1 + seed % 2;
                 const double factor = 2.0 + seed % 18;
                 RC_ASSERT(moves_with_scaled_load(seed, minutes, factor, new_planner()) ==
                           moves_with_scaled_load(seed, 0, 1.0, new_planner()));
             });
}

// Guards against a trough between bursts being taken for a permanent change of the load.
TEST_CASE("a trough of minutes causes no move", "[planner]")
{
    rc::prop("same moves with and without the trough",
             [](seed_type seed)
             {
                 RC_ASSERT(moves_with_scaled_load(seed, 1 + seed % 10, 0.05, new_planner()) ==
                           moves_with_scaled_load(seed, 0, 1.0, new_planner()));
             });
}

// Guards against a burst test that any policy passes: the proportional follower with a window of
// one minute must fail it.
TEST_CASE("the burst test detects a policy without smoothing", "[planner]")
{
    bool differs = false;
    for (seed_type seed = 1; seed <= 10 && !differs; ++seed)
    {
        const auto make_follower = []
        {
            evaluated_deployment deployment;
            deployment.pools = planner_simulation(1).input().pools;
            return proportional_follower(deployment, 1);
        };
        const auto moves = [&](std::int64_t minutes)
        {
            planner_simulation simulation(seed);
            simulation.disable_random_changes();
            simulation.scale_load(200, minutes > 0 ? 3.0 : 1.0);
            simulation.run(make_follower(), 300);
            return simulation.log();
        };
        differs = moves(1) != moves(0);
    }
    CHECK(differs);
}

// Guards against state that is lost when the next lease holder takes over, and against decisions
// that are not deterministic.
TEST_CASE("a restored planner makes the same decisions", "[planner]")
{
    rc::prop("same moves with takeovers",
             [](seed_type seed)
             {
                 const auto keep = [](const planner_core& core)
                 {
                     return core;
                 };
                 RC_ASSERT(moves_with_takeovers(seed, 1 + seed % 100, restored) ==
                           moves_with_takeovers(seed, half_day, keep));
             });
    bool differs = false;
    for (seed_type seed = 1; seed <= 20 && !differs; ++seed)
    {
        const auto forget = [](const planner_core&)
        {
            return planner_core({});
        };
        differs =
            moves_with_takeovers(seed, 50, forget) != moves_with_takeovers(seed, 50, restored);
    }
    CHECK(differs);
}

// Guards against a damaged state that is restored in part.
TEST_CASE("a damaged planner state is refused", "[planner]")
{
    CHECK_FALSE(planner_core::from_json("{}", {}));
    CHECK_FALSE(
        planner_core::from_json("{\"format\":2,\"last_minute\":1,\"pools\":{},\"orders\":{}}", {}));
    CHECK_FALSE(planner_core::from_json(
        "{\"format\":1,\"last_minute\":1,\"pools\":{\"a\":{}},\"orders\":{}}", {}));
    CHECK(
        planner_core::from_json("{\"format\":1,\"last_minute\":1,\"pools\":{},\"orders\":{}}", {}));
}

// Guards against lost hosts that are never replaced, and against replacing a host after a short
// absence.
TEST_CASE("lost hosts are replaced after a wait", "[planner]")
{
    planner_simulation simulation(1);
    simulation.disable_random_changes();
    simulation.set_load("a", 42'000);
    planner_core core({});
    REQUIRE(simulation.run(policy_of(core), 600).empty());
    const std::int64_t before = simulation.held("a");
    const std::size_t moves = simulation.log().size();
    std::int64_t lost = 0;
    for (host_view& host : simulation.input().hosts)
    {
        if (host.pool == "a" && lost < 2)
        {
            host.available = false;
            ++lost;
        }
    }
    REQUIRE(simulation.run(policy_of(core), 8).empty());
    CHECK(simulation.log().size() == moves);
    REQUIRE(simulation.run(policy_of(core), 60).empty());
    CHECK(simulation.held("a") == before);
}

// Guards against a wait that does not depend on the weight of a move.
TEST_CASE("the wait increases with the weight of a move", "[planner]")
{
    const auto minutes_to_shrink = [](double move_weight)
    {
        planner_simulation simulation(2);
        simulation.disable_random_changes();
        simulation.input().cost_weights = {move_weight, 1.0, 0.0002};
        simulation.set_load("a", 5'000);
        planner_core core({});
        simulation.run(policy_of(core), half_day);
        REQUIRE_FALSE(simulation.log().empty());
        return simulation.log().front().minute;
    };
    CHECK(minutes_to_shrink(5.0) < minutes_to_shrink(10.0));
    CHECK(minutes_to_shrink(10.0) < minutes_to_shrink(20.0));
}
