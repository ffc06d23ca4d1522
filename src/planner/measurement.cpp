#include "planner/measurement.hpp"

#include "cli/options.hpp"
#include "planner/baselines.hpp"
#include "planner/lower_bound.hpp"
#include "planner/planner.hpp"

#include <boost/json.hpp>

#include <fstream>
#include <iomanip>
#include <iostream>

namespace lacewingquay::planner
{

namespace leaf = boost::leaf;

namespace
{

cli::option_set measurement_options()
{
    cli::option_set options("lacewingquay measure planner [flags]");
    options.add("deployment", "finland", "finland or wales");
    options.add("weights", "", "use the weights of this deployment instead");
    options.add("trace-seed", "1", "seed of the generated trace");
    options.add("days", "14", "length of the generated trace");
    options.add("trace", "", "read the trace from this file instead");
    options.add("write-trace", "", "also write the trace to this file");
    options.add_switch("json", "print JSON instead of a table");
    return options;
}

leaf::result<demand_trace> load_trace(const cli::option_set& options,
                                      measured_deployment& deployment)
{
    if (options.has("trace"))
    {
        BOOST_LEAF_AUTO(path, options.text("trace"));
        std::ifstream file(path);
        if (!file)
        {
            return leaf::new_error(input_error{"--trace", path, "a readable file"});
        }
        return read_trace(file);
    }
    BOOST_LEAF_AUTO(seed, options.integer("trace-seed", 0, 1'000'000'000));
    BOOST_LEAF_AUTO(days, options.integer("days", 1, 60));
    deployment.generator.seed = static_cast<std::uint64_t>(seed);
    deployment.generator.days = days;
    return generate_trace(deployment.generator);
}

leaf::result<void> check_pools(const demand_trace& trace, const evaluated_deployment& deployment)
{
    for (const trace_service& service : trace.services)
    {
        if (deployment.pools.find(service.pool) == deployment.pools.end())
        {
            return leaf::new_error(input_error{"--trace", service.pool, "pools of the deployment"});
        }
    }
    return {};
}

void print_json(std::span<const measured_policy> policies, std::ostream& out)
{
    boost::json::array rows;
    for (const measured_policy& policy : policies)
    {
        rows.push_back(boost::json::object{{"policy", policy.name},
                                           {"buffer_host_hours", policy.cost.buffer_host_hours},
                                           {"moves", policy.cost.moves},
                                           {"missed", policy.cost.missed()},
                                           {"missed_sustained", policy.cost.missed_sustained},
                                           {"missed_burst", policy.cost.missed_burst},
                                           {"unfounded_moves", policy.cost.unfounded_moves},
                                           {"weighted_cost", policy.weighted_cost},
                                           {"ratio", policy.ratio}});
    }
    out << boost::json::serialize(rows) << '\n';
}

leaf::result<int> measure(std::span<const std::string> arguments)
{
    cli::option_set options = measurement_options();
    if (leaf::result<void> checked = options.parse(arguments); !checked)
    {
        return checked.error();
    }
    if (options.wants_help())
    {
        std::cout << options.help();
        return cli::exit_ok;
    }
    BOOST_LEAF_AUTO(name, options.text("deployment"));
    BOOST_LEAF_AUTO(deployment, deployment_named(name));
    if (options.has("weights"))
    {
        BOOST_LEAF_AUTO(other_name, options.text("weights"));
        BOOST_LEAF_AUTO(other, deployment_named(other_name));
        deployment.evaluated.cost_weights = other.evaluated.cost_weights;
    }
    BOOST_LEAF_AUTO(trace, load_trace(options, deployment));
    if (leaf::result<void> checked = check_pools(trace, deployment.evaluated); !checked)
    {
        return checked.error();
    }
    if (options.has("write-trace"))
    {
        BOOST_LEAF_AUTO(path, options.text("write-trace"));
        std::ofstream file(path);
        write_trace(trace, file);
        if (!file.flush())
        {
            return leaf::new_error(input_error{"--write-trace", path, "a writable file"});
        }
    }
    const std::vector<measured_policy> policies = measure_policies(trace, deployment.evaluated);
    if (options.is_set("json"))
    {
        print_json(policies, std::cout);
    }
    else
    {
        print_policies(policies, std::cout);
    }
    return cli::exit_ok;
}

} // namespace

std::vector<measured_policy> measure_policies(const demand_trace& trace,
                                              const evaluated_deployment& deployment)
{
    planner core(deployment.settings);
    std::vector<measured_policy> policies = {
        {"lower bound", lower_bound(trace, deployment), 0.0, 0.0},
        {"planner",
         evaluate(trace, deployment,
                  [&](const planner_input& input) { return core.decide(input); }),
         0.0, 0.0},
        {"follower", evaluate(trace, deployment, proportional_follower(deployment)), 0.0, 0.0},
        {"fixed pools", evaluate(trace, deployment, fixed_pools()), 0.0, 0.0}};
    const double bound = policies.front().cost.weighted(deployment.cost_weights);
    for (measured_policy& policy : policies)
    {
        policy.weighted_cost = policy.cost.weighted(deployment.cost_weights);
        policy.ratio = bound > 0.0 ? policy.weighted_cost / bound : 0.0;
    }
    return policies;
}

void print_policies(std::span<const measured_policy> policies, std::ostream& out)
{
    out << std::left << std::setw(12) << "policy" << std::right << std::setw(18)
        << "buffer host-hours" << std::setw(7) << "moves" << std::setw(12) << "missed"
        << std::setw(12) << "of bursts" << std::setw(11) << "unfounded" << std::setw(15)
        << "weighted cost" << std::setw(8) << "ratio" << '\n';
    for (const measured_policy& policy : policies)
    {
        out << std::left << std::setw(12) << policy.name << std::right << std::fixed
            << std::setprecision(0) << std::setw(18) << policy.cost.buffer_host_hours
            << std::setw(7) << policy.cost.moves << std::setw(12) << policy.cost.missed()
            << std::setw(12) << policy.cost.missed_burst << std::setw(11)
            << policy.cost.unfounded_moves << std::setw(15) << policy.weighted_cost
            << std::setprecision(2) << std::setw(8) << policy.ratio << '\n';
    }
}

int run_planner_measurement(std::span<const std::string> arguments)
{
    return leaf::try_handle_all([&] { return measure(arguments); },
                                [](const input_error& error)
                                {
                                    std::cerr << error.message() << '\n';
                                    return static_cast<int>(cli::exit_usage);
                                },
                                []
                                {
                                    std::cerr << "measurement failed\n";
                                    return static_cast<int>(cli::exit_failure);
                                });
}

} // namespace lacewingquay::planner
