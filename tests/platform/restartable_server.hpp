#pragma once

#include "http/server.hpp"
#include "platform/loopback.hpp"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/json.hpp>
#include <catch2/catch.hpp>

#include <algorithm>
#include <chrono>
#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace lacewingquay::test
{

/// A backend server that can end and start again under its id, at its address. Its clock, the runs
/// and the numbers of ended runs begin anew, and its connections are closed.
class restartable_server
{
public:
    using milliseconds = std::chrono::milliseconds;

    /// `clock` is what its clock shows now.
    restartable_server(boost::asio::io_context& io, milliseconds clock)
        : io_(io), where_(free_address())
    {
        begin(clock);
    }

    /// Starts the next incarnation at once.
    void restart(milliseconds clock)
    {
        server_->stop();
        io_.restart();
        while (server_->open_connections() > 0)
        {
            io_.run_one_for(std::chrono::seconds(5));
        }
        // The listener closes on the executor.
        io_.poll();
        server_.reset();
        begin(clock);
    }

    [[nodiscard]] const address& where() const { return where_; }
    [[nodiscard]] std::int64_t born() const { return life_->born; }
    [[nodiscard]] milliseconds clock() const { return life_->clock(); }
    [[nodiscard]] std::size_t running() const { return life_->running.size(); }
    [[nodiscard]] std::size_t polls() const { return life_->polls; }

    /// The longest lease that a call to the present incarnation asked for, unshortened.
    [[nodiscard]] milliseconds longest_lease() const { return life_->longest_lease; }

    /// The highest number of an ended run that a call to it acknowledged.
    [[nodiscard]] std::int64_t acknowledged() const { return life_->acknowledged; }

private:
    struct life
    {
        [[nodiscard]] milliseconds clock() const
        {
            return first_clock + std::chrono::duration_cast<milliseconds>(
                                     std::chrono::steady_clock::now() - started);
        }

        http::response answer(const http::request& received);

        std::int64_t born = 0;
        milliseconds first_clock{0};
        std::chrono::steady_clock::time_point started = std::chrono::steady_clock::now();
        std::map<std::string, std::int64_t> running;
        std::size_t polls = 0;
        milliseconds longest_lease{0};
        std::int64_t acknowledged = 0;
    };

    void begin(milliseconds clock)
    {
        life_ = std::make_shared<life>();
        life_->born = ++lives_ * 1'000;
        life_->first_clock = clock;
        server_ = boost::leaf::try_handle_all(
            [&]() -> boost::leaf::result<std::shared_ptr<http::server>>
            {
                return http::server::listen(io_.get_executor(), where_, {},
                                            [present = life_](http::request received)
                                                -> boost::asio::awaitable<http::response>
                                            { co_return present->answer(received); });
            },
            [] { return std::shared_ptr<http::server>(); });
        REQUIRE(server_ != nullptr);
    }

    boost::asio::io_context& io_;
    address where_;
    std::int64_t lives_ = 0;
    std::shared_ptr<life> life_;
    std::shared_ptr<http::server> server_;
};

inline http::response restartable_server::life::answer(const http::request& received)
{
    const std::string target(received.target());
    const boost::json::object body = boost::json::parse(received.body()).as_object();
    if (const boost::json::value* deadline = body.if_contains("deadline-ms"))
    {
        longest_lease = std::max(longest_lease, milliseconds(deadline->as_int64()) - clock());
    }
    boost::json::object reply{{"clock-ms", clock().count()}};
    if (target == "/lacewingquay/run-start")
    {
        running[std::string(body.at("task").as_string())] = body.at("run").as_int64();
    }
    else if (target == "/lacewingquay/run-stop")
    {
        running.erase(std::string(body.at("task").as_string()));
    }
    else
    {
        ++polls;
        acknowledged = std::max(acknowledged, body.at("last-seen").as_int64());
        boost::json::array list;
        for (const auto& entry : running)
        {
            list.push_back(boost::json::array{entry.first, entry.second, "", 100, 0});
        }
        reply["born"] = born;
        reply["running"] = std::move(list);
        reply["ended"] = boost::json::array{};
    }
    return http::make_response(http::status::ok, boost::json::serialize(reply));
}

} // namespace lacewingquay::test
