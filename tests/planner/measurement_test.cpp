#include "planner/baselines.hpp"
#include "planner/deployments.hpp"
#include "planner/lower_bound.hpp"
#include "planner/measurement.hpp"
#include "planner/planner.hpp"

#include <catch2/catch.hpp>
#include <rapidcheck/catch.h>

#include <sstream>

using namespace lacewingquay;
using namespace lacewingquay::planner;

namespace
{

using planner_core = lacewingquay::planner::planner;

demand_trace small_trace(measured_deployment& deployment, std::uint32_t seed, std::int64_t days)
{
    deployment.generator.seed = seed;
    deployment.generator.days = days;
    return generate_trace(deployment.generator);
}

std::string text_of(const demand_trace& trace)
{
    std::ostringstream out;
    write_trace(trace, out);
    return out.str();
}

std::string read_error(const std::string& text)
{
    std::istringstream in(text);
    return boost::leaf::try_handle_all(
        [&]() -> boost::leaf::result<std::string>
        {
            BOOST_LEAF_CHECK(read_trace(in));
            return std::string();
        },
        [](const input_error& error) { return error.message(); },
        [] { return std::string("unknown error"); });
}

} // namespace

// Guards against a generator that depends on more than its settings, and against data lost when a
// trace is written and read.
TEST_CASE("a trace is reproducible and unchanged by writing and reading", "[planner]")
{
    measured_deployment deployment = deployment_named("finland").value();
    const std::string text = text_of(small_trace(deployment, 7, 1));
    CHECK(text == text_of(small_trace(deployment, 7, 1)));
    CHECK(text != text_of(small_trace(deployment, 8, 1)));
    std::istringstream in(text);
    CHECK(text == text_of(read_trace(in).value()));
}

// Guards against a damaged trace that is replayed in part.
TEST_CASE("an error in a trace names its line", "[planner]")
{
    measured_deployment deployment = deployment_named("wales").value();
    const std::string text = text_of(small_trace(deployment, 7, 1));
    const std::string header = text.substr(0, text.find('\n') + 1);
    CHECK(read_error(header + "{\"kind\":\"demand\",\"busy_millislots\":[1]}\n")
              .find("trace line 2") == 0);
    CHECK(
        read_error(header + "{\"kind\":\"host_lost\",\"host\":\"none\"}\n").find("trace line 2") ==
        0);
    CHECK(read_error(header + "{\"kind\":").find("trace line 2") == 0);
    CHECK(read_error("{\"kind\":\"demand\",\"busy_millislots\":[]}\n").find("trace line 1") == 0);
    CHECK(read_error(header).find("trace: got 'no demand'") == 0);
}

// Guards against generated traces without the bursts and troughs that the planner must ignore.
TEST_CASE("generated services burst in turn", "[planner]")
{
    measured_deployment deployment = deployment_named("finland").value();
    const demand_trace trace = small_trace(deployment, 3, 1);
    const auto levels = sustained_levels(trace);
    for (std::size_t service = 0; service < trace.services.size(); ++service)
    {
        std::int64_t highest = 0;
        std::int64_t lowest = trace.samples.front()[service];
        for (std::int64_t step = 0; step < 720; ++step)
        {
            highest = std::max(highest, trace.samples[static_cast<std::size_t>(step)][service]);
            lowest = std::min(lowest, trace.samples[static_cast<std::size_t>(step)][service]);
        }
        const double mean = levels.find(trace.services[service].pool)->second[30] * 1'000.0;
        CHECK(static_cast<double>(highest) > 3.5 * mean);
        CHECK(static_cast<double>(lowest) < 0.08 * mean);
    }
}

// Guards against a bound above the cost of a policy, which would make every ratio too low.
TEST_CASE("no policy costs less than the lower bound", "[planner]")
{
    const auto costs_less = [](std::uint32_t seed, double bound_factor)
    {
        measured_deployment deployment =
            deployment_named(seed % 2 == 0 ? "finland" : "wales").value();
        deployment.generator.hosts_lost_per_day = seed % 20;
        const demand_trace trace = small_trace(deployment, seed, 1);
        const evaluated_deployment& evaluated = deployment.evaluated;
        const double bound =
            bound_factor * lower_bound(trace, evaluated).weighted(evaluated.cost_weights);
        planner_core core({});
        const std::vector<move_policy> policies = {fixed_pools(), proportional_follower(evaluated),
                                                   proportional_follower(evaluated, 60),
                                                   [&](const planner_input& input)
                                                   {
                                                       return core.decide(input);
                                                   }};
        for (const move_policy& policy : policies)
        {
            if (evaluate(trace, evaluated, policy).weighted(evaluated.cost_weights) < bound)
            {
                return true;
            }
        }
        return false;
    };
    for (std::uint32_t seed = 1; seed <= 12; ++seed)
    {
        CHECK_FALSE(costs_less(seed, 1.0));
        CHECK(costs_less(seed, 10.0));
    }
}

// Guards against a planner that misses its targets relative to the follower and the fixed pools.
TEST_CASE("the planner moves less than a follower and misses no more", "[planner]")
{
    for (const char* name : {"finland", "wales"})
    {
        measured_deployment deployment = deployment_named(name).value();
        const demand_trace trace = small_trace(deployment, 401, 4);
        const std::vector<measured_policy> policies = measure_policies(trace, deployment.evaluated);
        REQUIRE(policies.size() == 4);
        CHECK(policies[1].cost.moves * 10 <= policies[2].cost.moves);
        CHECK(policies[1].cost.missed() <= policies[2].cost.missed());
        CHECK(policies[1].cost.buffer_host_hours < policies[3].cost.buffer_host_hours);
    }
}

// Guards against invalid flag values that are ignored or accepted.
TEST_CASE("the measurement refuses invalid flag values", "[planner]")
{
    const std::vector<std::string> unknown = {"--deployment", "atlantis"};
    const std::vector<std::string> days = {"--days", "0"};
    const std::vector<std::string> file = {"--trace", "/nonexistent/trace"};
    CHECK(run_planner_measurement(unknown) == 2);
    CHECK(run_planner_measurement(days) == 2);
    CHECK(run_planner_measurement(file) == 2);
}
