#include "cli/options.hpp"
#include "standins/backend.hpp"

#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>

#include <csignal>
#include <iostream>

namespace lacewingquay::standins
{

namespace
{

cli::option_set make_options()
{
    cli::option_set options("lacewingquay_standins backend [flags]");
    options.add("listen", "127.0.0.1:9000", "address to listen at");
    options.add("name", "backend", "name of the backend server, part of each answer");
    options.add("slots", "8", "requests in progress above this number are violations");
    options.add("service-time", "50ms", "mean service time");
    options.add("service-distribution", "fixed", "fixed or exponential");
    options.add("seed", "1", "seed of service times and fault choice");
    options.add("journal", "", "file to which each start and end is appended");
    options.add("fault", "none",
                "none, slow, error, freeze, close_mid_answer, late_answer, surplus, refuse, "
                "short_answer or wrong_id");
    options.add("fault-factor", "10", "factor of the fault slow");
    options.add("fault-fraction", "1", "fraction of requests that the fault concerns");
    options.add("late-time", "3s", "service time under the fault late_answer");
    options.add("freeze-time", "20s", "longest time that a frozen request stays in progress");
    options.add("answer-blocks", "64", "16-byte blocks in an answer");
    return options;
}

boost::leaf::result<backend_settings> parse_settings(const cli::option_set& options)
{
    constexpr std::chrono::milliseconds shortest{0};
    constexpr std::chrono::milliseconds longest{3'600'000};
    backend_settings result;
    BOOST_LEAF_ASSIGN(result.name, options.text("name"));
    BOOST_LEAF_AUTO(slots, options.integer("slots", 1, 100'000));
    result.slots = static_cast<std::uint64_t>(slots);
    BOOST_LEAF_ASSIGN(result.service_time, options.duration("service-time", shortest, longest));
    BOOST_LEAF_AUTO(distribution, options.text("service-distribution"));
    if (distribution != "fixed" && distribution != "exponential")
    {
        return boost::leaf::new_error(
            input_error{"--service-distribution", distribution, "fixed or exponential"});
    }
    result.exponential = distribution == "exponential";
    BOOST_LEAF_AUTO(seed, options.integer("seed", 0, INT64_MAX));
    result.seed = static_cast<std::uint64_t>(seed);
    if (options.has("journal"))
    {
        BOOST_LEAF_ASSIGN(result.journal, options.text("journal"));
    }
    BOOST_LEAF_AUTO(fault, options.text("fault"));
    BOOST_LEAF_ASSIGN(result.fault.kind, parse_backend_fault(fault, "--fault"));
    BOOST_LEAF_ASSIGN(result.fault.factor, options.number("fault-factor", 0.0, 10'000.0));
    BOOST_LEAF_ASSIGN(result.fault.fraction, options.number("fault-fraction", 0.0, 1.0));
    BOOST_LEAF_ASSIGN(result.late_time, options.duration("late-time", shortest, longest));
    BOOST_LEAF_ASSIGN(result.freeze_time, options.duration("freeze-time", shortest, longest));
    BOOST_LEAF_AUTO(blocks, options.integer("answer-blocks", 1, 1'000'000));
    result.answer_blocks = static_cast<std::size_t>(blocks);
    return result;
}

boost::leaf::result<int> run(std::span<const std::string> arguments)
{
    cli::option_set options = make_options();
    boost::leaf::result<void> parsed = options.parse(arguments);
    if (!parsed)
    {
        return parsed.error();
    }
    if (options.wants_help())
    {
        std::cout << options.help();
        return cli::exit_ok;
    }
    BOOST_LEAF_AUTO(settings, parse_settings(options));
    BOOST_LEAF_AUTO(where, options.endpoint("listen"));
    boost::asio::io_context context(1);
    BOOST_LEAF_AUTO(server, backend::listen(context.get_executor(), where, settings));
    boost::asio::signal_set signals(context, SIGINT, SIGTERM);
    signals.async_wait(
        [&](const boost::system::error_code& error, int)
        {
            if (!error)
            {
                server->stop();
                context.stop();
            }
        });
    std::cerr << "backend " << settings.name << " listens at " << server->where().text() << "\n";
    context.run();
    return cli::exit_ok;
}

} // namespace

int run_backend(std::span<const std::string> arguments)
{
    return boost::leaf::try_handle_all([&] { return run(arguments); },
                                       [](const input_error& error)
                                       {
                                           std::cerr << "backend: " << error.message() << "\n";
                                           return static_cast<int>(cli::exit_usage);
                                       },
                                       []
                                       {
                                           std::cerr << "backend: failed\n";
                                           return static_cast<int>(cli::exit_failure);
                                       });
}

} // namespace lacewingquay::standins
