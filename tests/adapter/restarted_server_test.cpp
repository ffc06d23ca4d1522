#include "http/connection_pool.hpp"
#include "platform/loopback.hpp"
#include "platform/restartable_server.hpp"
#include "platform/worker_calls.hpp"

#include <boost/asio/io_context.hpp>
#include <catch2/catch.hpp>

#include <chrono>
#include <string>

using namespace lacewingquay;
using namespace lacewingquay::test;

namespace
{

using std::chrono::milliseconds;

constexpr milliseconds first_clock{600'000};
constexpr milliseconds restarted_clock{5'000};
constexpr milliseconds lease{6'000};
constexpr milliseconds call_timeout{2'000};

struct caller
{
    /// Renews the lease on the incarnation that started at `born`.
    adapter::hold_result hold(std::int64_t born, milliseconds deadline,
                              std::int64_t acknowledged_ends = 0)
    {
        adapter::hold_call call;
        call.server = "s";
        call.server_born = born;
        call.where = server.where();
        call.deadline = deadline;
        call.acknowledged_ends = acknowledged_ends;
        return run(io, calls.hold(call, call_timeout));
    }

    adapter::order_result start(std::int64_t born, milliseconds deadline, int run_number = 1)
    {
        worker::start_order order;
        order.server = "s";
        order.server_born = born;
        order.endpoint = server.where();
        order.task = {"0123456789abcdef", {0, 0, 0}};
        order.run = run_number;
        return run(io, calls.start(order, deadline, 1, call_timeout, [&] { return may_send; }));
    }

    boost::asio::io_context io;
    restartable_server server{io, first_clock};
    http::connection_pool connections{io.get_executor(), {}};
    adapter::worker_calls calls{connections};
    bool may_send = true;
};

} // namespace

TEST_CASE("a lease is renewed only on the incarnation that is meant", "[adapter]")
{
    // Guards against a restarted server that holds its runs for longer than the owner believes.
    caller world;
    const std::int64_t former = world.server.born();
    CHECK_FALSE(world.hold(former, world.server.clock() + lease).is_identification);
    CHECK(world.server.longest_lease() > lease - call_timeout);

    const milliseconds deadline = world.server.clock() + lease;
    world.server.restart(restarted_clock);
    const adapter::hold_result result = world.hold(former, deadline, 3);
    REQUIRE(result.report);
    CHECK(result.report->born == world.server.born());
    CHECK(result.is_identification);
    // The connection is now known to reach another incarnation than the one that is meant.
    CHECK(world.hold(former, deadline, 3).is_identification);
    CHECK(world.server.longest_lease() == milliseconds(0));
    CHECK(world.server.acknowledged() == 0);
}

TEST_CASE("a task is started only on the incarnation that is meant", "[adapter]")
{
    caller world;
    const std::int64_t former = world.server.born();
    const adapter::order_result first = world.start(former, world.server.clock() + lease);
    CHECK(first.outcome == worker::order_outcome::accepted);
    REQUIRE(first.identification);
    CHECK(first.identification->born == former);
    CHECK(world.server.running() == 1);
    // The connection is known now.
    CHECK_FALSE(world.start(former, world.server.clock() + lease, 2).identification);

    const milliseconds deadline = world.server.clock() + lease;
    world.server.restart(restarted_clock);
    const adapter::order_result second = world.start(former, deadline, 3);
    CHECK(second.outcome == worker::order_outcome::not_sent);
    REQUIRE(second.identification);
    CHECK(second.identification->born == world.server.born());
    CHECK(world.server.running() == 0);
    const adapter::order_result third =
        world.start(world.server.born(), world.server.clock() + lease, 3);
    CHECK(third.outcome == worker::order_outcome::accepted);
    CHECK_FALSE(third.identification);
}

TEST_CASE("a server that closes each connection behind its answer is used", "[adapter]")
{
    const std::string body = R"({"clock-ms":5000,"born":1000,"running":[],"ended":[]})";
    boost::asio::io_context io;
    const raw_server server(io, "HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: " +
                                    std::to_string(body.size()) + "\r\n\r\n" + body);
    http::connection_pool connections(io.get_executor(), {});
    adapter::worker_calls calls(connections);
    worker::start_order order;
    order.server = "s";
    order.server_born = 1'000;
    order.endpoint = server.where();
    const adapter::order_result result =
        run(io, calls.start(order, lease, 1, call_timeout, [] { return true; }));
    CHECK(result.outcome == worker::order_outcome::accepted);
    CHECK(result.clock == milliseconds(5'000));
}

TEST_CASE("an order that may not be sent opens no connection", "[adapter]")
{
    caller world;
    world.may_send = false;
    const adapter::order_result result = world.start(world.server.born(), first_clock + lease);
    CHECK(result.outcome == worker::order_outcome::not_sent);
    CHECK(world.server.polls() == 0);
    CHECK(world.connections.opened() == 0);
}

TEST_CASE("an order to a process that has ended tells that it was not sent", "[adapter]")
{
    caller world;
    worker::start_order order;
    order.server = "s";
    order.server_born = 1'000;
    order.endpoint = free_address();
    const adapter::order_result result =
        run(world.io, world.calls.start(order, lease, 1, call_timeout, [] { return true; }));
    CHECK(result.outcome == worker::order_outcome::not_sent);
    CHECK(result.failure == worker::call_failure::disconnected);
}
