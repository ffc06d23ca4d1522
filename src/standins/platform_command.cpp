#include "cli/options.hpp"
#include "http/server.hpp"
#include "platform/check.hpp"
#include "standins/platform.hpp"

#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>

#include <csignal>
#include <iostream>
#include <limits>
#include <memory>

namespace lacewingquay::standins
{

namespace asio = boost::asio;
namespace leaf = boost::leaf;

namespace
{

leaf::result<int> run(std::span<const std::string> arguments)
{
    cli::option_set options("lacewingquay_standins platform [flags]");
    options.add("listen", "127.0.0.1:7100", "address of the platform's HTTP interface");
    options.add("host-list-lag", "2s", "time after which a change of the host list is visible");
    LACEWINGQUAY_CHECK(options.parse(arguments));
    if (options.wants_help())
    {
        std::cout << options.help();
        return cli::exit_ok;
    }
    BOOST_LEAF_AUTO(where, options.endpoint("listen"));
    BOOST_LEAF_AUTO(lag, options.duration("host-list-lag", std::chrono::milliseconds{0},
                                          std::chrono::hours{1}));
    asio::io_context io(1);
    platform_standin standin(lag);
    http::server_settings settings;
    settings.body_limit = 64U << 20U;
    // The server does not count down connections that an injected fault closes.
    settings.max_connections = std::numeric_limits<std::size_t>::max();
    BOOST_LEAF_AUTO(server, http::server::listen(io.get_executor(), where, settings,
                                                 [&](http::request received)
                                                 { return standin.answer(std::move(received)); }));
    asio::signal_set signals(io, SIGINT, SIGTERM);
    signals.async_wait(
        [&](boost::system::error_code, int)
        {
            server->stop();
            io.stop();
        });
    std::cout << "platform stand-in listens at " << where.text() << std::endl;
    io.run();
    return cli::exit_ok;
}

} // namespace

int run_platform(std::span<const std::string> arguments)
{
    return leaf::try_handle_all([&] { return run(arguments); },
                                [](const input_error& error)
                                {
                                    std::cerr << error.message() << "\n";
                                    return static_cast<int>(cli::exit_usage);
                                },
                                []
                                {
                                    std::cerr << "platform stand-in: unknown error\n";
                                    return static_cast<int>(cli::exit_failure);
                                });
}

} // namespace lacewingquay::standins
