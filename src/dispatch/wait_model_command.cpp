#include "cli/options.hpp"
#include "dispatch/wait_model.hpp"

#include <iomanip>
#include <iostream>

namespace lacewingquay::dispatch
{

namespace
{

namespace leaf = boost::leaf;

cli::option_set describe()
{
    cli::option_set options("lacewingquay measure dispatch [flags]");
    options.add("load", "0.9", "mean utilization of all slots");
    options.add("skew", "1", "arrival rate of the first two entry hosts relative to the others");
    options.add("length", "60s", "simulated duration");
    options.add("cross-zone-delay", "1500", "one-way delay between zones in microseconds");
    options.add("deadline", "1s", "maximum time from arrival to completion that counts as in time");
    options.add("burst", "1", "load factor during a burst of 5 s");
    options.add("kill-after", "",
                "time after the start of the burst at which a dispatcher is killed");
    options.add("seed", "1", "random seed of arrivals and service times");
    return options;
}

leaf::result<wait_model_options> read(const cli::option_set& options)
{
    wait_model_options model_options;
    BOOST_LEAF_ASSIGN(model_options.load, options.number("load", 0.01, 10.0));
    BOOST_LEAF_ASSIGN(model_options.skew, options.number("skew", 0.1, 100.0));
    BOOST_LEAF_AUTO(length,
                    options.duration("length", milliseconds{3'000}, milliseconds{3'600'000}));
    model_options.length = std::chrono::duration<double>(length).count();
    BOOST_LEAF_AUTO(delay, options.integer("cross-zone-delay", 0, 1'000'000));
    model_options.cross_zone_delay = static_cast<double>(delay) / 1e6;
    BOOST_LEAF_AUTO(deadline, options.duration("deadline", milliseconds{10}, milliseconds{60'000}));
    model_options.deadline = std::chrono::duration<double>(deadline).count();
    BOOST_LEAF_ASSIGN(model_options.burst_factor, options.number("burst", 1.0, 100.0));
    if (options.has("kill-after"))
    {
        BOOST_LEAF_AUTO(after,
                        options.duration("kill-after", milliseconds{0}, milliseconds{60'000}));
        model_options.kill_after = std::chrono::duration<double>(after).count();
    }
    BOOST_LEAF_AUTO(seed, options.integer("seed", 0, 1'000'000'000));
    model_options.seed = static_cast<std::uint64_t>(seed);
    return model_options;
}

void print(const std::string& name, const wait_model_result& result)
{
    const double arrivals = static_cast<double>(result.arrivals);
    std::cout << std::left << std::setw(16) << name << std::right << std::fixed
              << std::setprecision(1) << std::setw(12) << result.wait_p50_ms << std::setw(12)
              << result.wait_p99_ms << std::setw(12) << result.arrivals << std::setw(12)
              << result.in_time << std::setprecision(2) << std::setw(11)
              << 100.0 * static_cast<double>(result.in_time) / arrivals << "%" << std::setw(12)
              << result.refused << std::setprecision(1) << std::setw(16)
              << result.slowest_refusal_ms << "\n";
}

leaf::result<int> run(std::span<const std::string> arguments)
{
    cli::option_set options = describe();
    if (leaf::result<void> parsed = options.parse(arguments); !parsed)
    {
        return parsed.error();
    }
    if (options.wants_help())
    {
        std::cout << options.help();
        return cli::exit_ok;
    }
    BOOST_LEAF_AUTO(model_options, read(options));
    const std::vector<model_arrival> arrivals = make_arrivals(model_options);
    const wait_model_result shared = run_shared_queue(model_options, arrivals);
    const wait_model_result cores = run_dispatch_cores(model_options, arrivals);
    std::cout << std::left << std::setw(16) << "design" << std::right << std::setw(12)
              << "p50 wait ms" << std::setw(12) << "p99 wait ms" << std::setw(12) << "arrivals"
              << std::setw(12) << "in time" << std::setw(12) << "share" << std::setw(12)
              << "refused" << std::setw(16) << "refused by ms"
              << "\n";
    print("shared queue", shared);
    print("static shares", run_static_shares(model_options, arrivals));
    print("dispatch cores", cores);
    std::cout << std::setprecision(3)
              << "p99 wait relative to the shared queue: " << cores.wait_p99_ms / shared.wait_p99_ms
              << "\nwork in time relative to it: "
              << static_cast<double>(cores.in_time) / static_cast<double>(shared.in_time) << "\n";
    return cli::exit_ok;
}

} // namespace

int run_wait_model(std::span<const std::string> arguments)
{
    return leaf::try_handle_all([&]() -> leaf::result<int> { return run(arguments); },
                                [](const input_error& error)
                                {
                                    std::cerr << error.message() << "\n";
                                    return static_cast<int>(cli::exit_usage);
                                },
                                []
                                {
                                    std::cerr << "measure dispatch: unexpected error\n";
                                    return static_cast<int>(cli::exit_failure);
                                });
}

} // namespace lacewingquay::dispatch
