#include "placement/simulation.hpp"

#include <catch2/catch.hpp>
#include <rapidcheck/catch.h>

#include <tuple>

using namespace lacewingquay::placement;

namespace
{

rc::Gen<std::vector<step>> histories()
{
    // Requests and recoveries are frequent, so that most histories complete moves.
    const rc::Gen<step_kind> kinds =
        rc::gen::weightedElement<step_kind>({{4, step_kind::nothing},
                                             {2, step_kind::pause},
                                             {2, step_kind::pause_before_write},
                                             {5, step_kind::resume},
                                             {1, step_kind::cut_peers},
                                             {3, step_kind::heal_peers},
                                             {1, step_kind::cut_platform},
                                             {3, step_kind::heal_platform},
                                             {1, step_kind::platform_down},
                                             {3, step_kind::platform_up},
                                             {2, step_kind::lose_answers},
                                             {1, step_kind::drop_writes},
                                             {2, step_kind::delay_writes},
                                             {2, step_kind::replace},
                                             {1, step_kind::kill},
                                             {6, step_kind::operator_move},
                                             {1, step_kind::operator_leave},
                                             {2, step_kind::operator_return},
                                             {1, step_kind::operator_drain},
                                             {8, step_kind::planner_move},
                                             {1, step_kind::list_leaving},
                                             {2, step_kind::list_live},
                                             {4, step_kind::grant},
                                             {6, step_kind::release}});
    const rc::Gen<step> one = rc::gen::map(
        rc::gen::tuple(kinds, rc::gen::inRange<std::size_t>(0, simulation::node_count + 1),
                       rc::gen::inRange<std::size_t>(0, 12), rc::gen::inRange<std::size_t>(1, 60)),
        [](const std::tuple<step_kind, std::size_t, std::size_t, std::size_t>& drawn) {
            return step{std::get<0>(drawn), std::get<1>(drawn), std::get<2>(drawn),
                        std::get<3>(drawn)};
        });
    return rc::gen::container<std::vector<step>>(one);
}

/// Runs a history after a start-up of 10 s; stops at the first violation.
simulation run_history(driver_variant chosen, const std::vector<step>& history)
{
    simulation simulated(chosen);
    simulated.run({step_kind::nothing, 0, 0, 100});
    for (const step& next : history)
    {
        simulated.run(next);
        if (!simulated.violation().empty())
        {
            return simulated;
        }
    }
    simulated.heal_and_finish();
    return simulated;
}

/// Seed of the first history in which a property is violated, or -1 if there is none below `limit`.
/// The seeds are fixed, so that the result is the same in each run.
int first_detected(driver_variant chosen, int limit)
{
    for (int seed = 0; seed < limit; ++seed)
    {
        const std::vector<step> history =
            histories()(rc::Random(static_cast<std::uint64_t>(seed)), 100).value();
        const simulation simulated = run_history(chosen, history);
        if (!simulated.violation().empty())
        {
            UNSCOPED_INFO("seed " << seed << ": " << simulated.violation());
            return seed;
        }
    }
    return -1;
}

} // namespace

// Guards against a host in two pools, a move while an entry host may still dispatch for the old
// pool, writes of a former lease holder, decreasing epochs, removal of registrations that are only
// unresponsive, and moves that never complete.
TEST_CASE("placement is safe under pauses, lost answers and outages", "[placement]")
{
    rc::prop("all properties hold in every committed state",
             []
             {
                 const std::vector<step> history = *histories();
                 const simulation simulated = run_history(driver_variant::correct, history);
                 if (!simulated.violation().empty())
                 {
                     RC_FAIL(simulated.violation());
                 }
                 RC_CLASSIFY(simulated.completed_moves() > 0, "with completed moves");
             });
}

// Guards against decisions that depend on anything other than the events and their times.
TEST_CASE("the same history gives the same rows", "[placement]")
{
    const std::vector<step> history = histories()(rc::Random(7), 100).value();
    const std::string first = run_history(driver_variant::correct, history).rows();
    CHECK(first.find("placement/z1") != std::string::npos);
    CHECK(run_history(driver_variant::correct, history).rows() == first);
}

// Guards against properties that are too weak to detect the faults for which they exist.
TEST_CASE("the placement properties detect incorrect drivers", "[placement]")
{
    CHECK(first_detected(driver_variant::correct, 100) == -1);
    CHECK(first_detected(driver_variant::no_fence, 400) >= 0);
    CHECK(first_detected(driver_variant::fixed_delay, 400) >= 0);
    CHECK(first_detected(driver_variant::blind_retry, 400) >= 0);
}
