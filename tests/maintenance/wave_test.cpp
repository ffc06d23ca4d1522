#include "maintenance/wave_simulation.hpp"

#include <catch2/catch.hpp>
#include <rapidcheck/catch.h>

#include <algorithm>

using namespace lacewingquay;
using namespace lacewingquay::maintenance;

namespace
{

using seed_type = std::uint32_t;

wave_scenario scenario_of(seed_type seed)
{
    wave_scenario scenario;
    scenario.seed = seed;
    return scenario;
}

/// True if the modified scenario ends with the expected violation for at least one of 40 seeds.
template <typename Change>
bool reports_violation(const std::string& expected, Change change)
{
    for (seed_type seed = 1; seed <= 40; ++seed)
    {
        wave_scenario scenario = scenario_of(seed);
        change(scenario);
        if (wave_simulation(scenario).run() == expected)
        {
            return true;
        }
    }
    return false;
}

bool contains(const std::vector<wave_notice>& notices, wave_notice wanted)
{
    return std::find(notices.begin(), notices.end(), wanted) != notices.end();
}

} // namespace

// Guards against hosts skipped or rebooted twice when the lease holder changes or events repeat,
// and against batches that take hosts a pool needs, or hosts of two racks of a pool or of two
// zones.
TEST_CASE("a wave without faults reboots every host once before its deadline", "[maintenance]")
{
    rc::prop("every host is rebooted once",
             [](seed_type seed)
             {
                 wave_scenario scenario = scenario_of(seed);
                 scenario.other_losses = seed % 2 == 0;
                 wave_simulation simulation(scenario);
                 RC_ASSERT(simulation.run() == "");
                 RC_ASSERT(simulation.stored().state == wave_state::finished);
                 for (const auto& [name, host] : simulation.stored().hosts)
                 {
                     RC_ASSERT(host.phase == host_phase::done);
                 }
             });
}

// Guards against a wave that continues after correlated failures, and against one that waits
// forever for a host that never drains or never comes back.
TEST_CASE("a wave with faults stops or finishes", "[maintenance]")
{
    rc::prop("no rule is violated",
             [](seed_type seed)
             {
                 wave_scenario scenario = scenario_of(seed);
                 scenario.fault_chance = seed % 25;
                 wave_simulation simulation(scenario);
                 RC_ASSERT(simulation.run() == "");
                 const wave_state state = simulation.stored().state;
                 RC_ASSERT(state == wave_state::finished || state == wave_state::stopped);
                 RC_ASSERT(contains(simulation.notices(), wave_notice::stopped) ==
                           (state == wave_state::stopped));
             });
}

// Guards against checks in the simulation that never fail: each scenario violates one rule.
TEST_CASE("the simulation detects violated rules", "[maintenance]")
{
    const auto mark_draining_as_done = [](wave& value)
    {
        for (auto& [name, host] : value.hosts)
        {
            host.phase = host.phase == host_phase::draining ? host_phase::done : host.phase;
        }
    };
    const auto mark_done_as_waiting = [](wave& value)
    {
        for (auto& [name, host] : value.hosts)
        {
            host.phase = host.phase == host_phase::done ? host_phase::waiting : host.phase;
        }
    };
    CHECK(reports_violation("a host is drained or rebooted twice",
                            [&](wave_scenario& scenario)
                            {
                                scenario.takeover_chance = 1;
                                scenario.change_reloaded = mark_done_as_waiting;
                            }));
    CHECK(reports_violation("a host is done without a reboot", [&](wave_scenario& scenario)
                            { scenario.change_reloaded = mark_draining_as_done; }));
    CHECK(reports_violation("hosts of two zones are out of service",
                            [&](wave_scenario& scenario)
                            {
                                scenario.change_candidate = [](wave_candidate& host)
                                {
                                    host.availability_zone = host.rack = "same";
                                };
                            }));
    CHECK(reports_violation("hosts of two racks of a pool are out of service",
                            [](wave_scenario& scenario)
                            {
                                scenario.change_candidate = [](wave_candidate& host)
                                {
                                    host.rack = "same";
                                };
                            }));
    CHECK(reports_violation("a batch takes hosts that a pool needs",
                            [](wave_scenario& scenario)
                            {
                                scenario.change_status = [](pool_status& status)
                                {
                                    status.hosts_needed = 0;
                                };
                            }));
    CHECK(reports_violation("more hosts of a pool are out of service than one batch may take",
                            [](wave_scenario& scenario)
                            {
                                scenario.change_status = [](pool_status& status)
                                {
                                    status.other_hosts_unavailable = 0;
                                };
                            }));
    CHECK(reports_violation("the wave continues after correlated failures",
                            [](wave_scenario& scenario)
                            {
                                scenario.fault_chance = 50;
                                scenario.settings.stop_after_failures = 99;
                            }));
}

// Guards against a wave that takes hosts out of pools that need all of them, and against one that
// gives no notice, or several, when its deadline cannot be met.
TEST_CASE("a wave without spare hosts waits and gives notice once", "[maintenance]")
{
    wave_simulation simulation(scenario_of(1));
    simulation.remove_spare_hosts();
    CHECK(simulation.run() == "");
    CHECK(simulation.stored().batch == 0);
    CHECK(std::count(simulation.notices().begin(), simulation.notices().end(),
                     wave_notice::deadline_at_risk) == 1);
}

// Guards against an allowance that ignores the availability budget, the forecast or lost hosts.
TEST_CASE("the allowance depends on budget, forecast and losses", "[maintenance]")
{
    const wave_settings settings;
    CHECK(batch_allowance({12, 6, 0, 1.0}, settings) == 3);
    CHECK(batch_allowance({12, 11, 0, 1.0}, settings) == 1);
    CHECK(batch_allowance({12, 12, 0, 1.0}, settings) == 0);
    CHECK(batch_allowance({12, 6, 2, 1.0}, settings) == 1);
    CHECK(batch_allowance({12, 6, 3, 1.0}, settings) == 0);
    CHECK(batch_allowance({12, 6, 0, 0.4}, settings) == 1);
    CHECK(batch_allowance({12, 6, 0, 0.05}, settings) == 0);
}

// Guards against a pause that keeps hosts from returning to service, or that does not prevent new
// batches.
TEST_CASE("a paused wave only returns hosts to service", "[maintenance]")
{
    wave value;
    value.id = "w";
    value.deadline_ms = 100'000'000;
    wave_core core(value, {});
    core.begin({{"h1", "p", "z", "r"}, {"h2", "p", "z", "r"}}, 1'000);
    const pool_statuses pools{{"p", {8, 2, 0, 1.0}}};
    core.handle({wave_event_kind::tick, "", ""}, 2'000, pools);
    REQUIRE(core.pending_actions() ==
            std::vector<wave_action>{{wave_action_kind::drain_host, "h1", ""}});
    CHECK(core.handle({wave_event_kind::pause, "", "storm"}, 3'000, pools).changed);
    core.handle({wave_event_kind::host_drained, "h1", ""}, 4'000, pools);
    CHECK(core.pending_actions() ==
          std::vector<wave_action>{{wave_action_kind::reboot_host, "h1", "w/h1"}});
    core.handle({wave_event_kind::host_back, "h1", ""}, 5'000, pools);
    core.handle({wave_event_kind::host_returned, "h1", ""}, 6'000, pools);
    core.handle({wave_event_kind::tick, "", ""}, 7'000, pools);
    CHECK(core.pending_actions().empty());
    CHECK(core.value().reason == "storm");
    core.handle({wave_event_kind::resume, "", ""}, 8'000, pools);
    CHECK(core.pending_actions() ==
          std::vector<wave_action>{{wave_action_kind::drain_host, "h2", ""}});
}

// Guards against a stopped wave that leaves hosts out of service, and against a wave that keeps
// running although its scope matches no host.
TEST_CASE("a stopped wave returns its hosts to service", "[maintenance]")
{
    wave value;
    value.id = "w";
    value.scope = scope_kind::pool;
    value.scope_name = "p";
    value.deadline_ms = 100'000'000;
    wave_core core(value, {});
    core.begin({{"h1", "p", "z", "r"}, {"h2", "p", "z", "r"}, {"h3", "q", "z", "r"}}, 1'000);
    CHECK(core.value().hosts.size() == 2);
    const pool_statuses pools{{"p", {8, 2, 0, 1.0}}};
    core.handle({wave_event_kind::tick, "", ""}, 2'000, pools);
    core.handle({wave_event_kind::tick, "", ""}, 2'000 + 15 * 60'000, pools);
    CHECK(core.value().state == wave_state::stopped);
    CHECK(core.pending_actions() ==
          std::vector<wave_action>{{wave_action_kind::return_host, "h1", ""}});
    core.handle({wave_event_kind::host_returned, "h1", ""}, 2'000'000, pools);
    CHECK(core.pending_actions().empty());

    value.scope_name = "none";
    wave_core empty(value, {});
    CHECK(empty.begin({{"h1", "p", "z", "r"}}, 1'000).notices ==
          std::vector<wave_notice>{wave_notice::stopped});
}
