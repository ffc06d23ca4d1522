#include "core/base64.hpp"
#include "http/server.hpp"
#include "manager/fleet_controller.hpp"
#include "platform/loopback.hpp"
#include "store_limits.hpp"

#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/json.hpp>
#include <catch2/catch.hpp>

#include <functional>
#include <memory>
#include <string>
#include <vector>

using namespace lacewingquay;
using namespace lacewingquay::manager;

namespace
{

/// A store without rows, in which every transaction succeeds.
struct empty_store
{
    boost::asio::awaitable<http::response> handle(http::request received)
    {
        const std::string target(received.target());
        if (status_fails && received.body().find("\"status\"") != std::string::npos)
        {
            co_return http::make_response(http::status::service_unavailable, "{}");
        }
        const bool is_commit = target.find("rows-tx") != std::string::npos;
        if (is_commit && test::exceeds_store_limits(received))
        {
            co_return http::make_response(http::status::bad_request, "{}");
        }
        if (is_commit && received.body().find("\"orders\"") != std::string::npos)
        {
            const boost::json::value work = boost::json::parse(received.body());
            recorded =
                base64_decode(work.at("set-keys").at(0).at("value").as_string()).value_or("");
            on_record();
            boost::asio::steady_timer timer(co_await boost::asio::this_coro::executor, record_time);
            co_await timer.async_wait(boost::asio::use_awaitable);
        }
        version += is_commit ? 1 : 0;
        server_reads += target.find(servers_table) != std::string::npos ? 1 : 0;
        boost::json::array rows;
        if (!is_commit && target.find("table=fleet") != std::string::npos &&
            target.find("from=orders") != std::string::npos && !former_orders.empty())
        {
            rows.push_back(boost::json::object{{"table", "fleet"},
                                               {"part", ""},
                                               {"key", "orders"},
                                               {"value", base64_encode(former_orders)},
                                               {"row-version", 5}});
        }
        co_return http::make_response(
            http::status::ok,
            boost::json::serialize(boost::json::object{
                {"rows", std::move(rows)}, {"row-version", version}, {"now-ms", 1'000}}));
    }

    /// Orders that a former owner has recorded, and the latest record of this one.
    std::string former_orders;
    std::string recorded;
    /// Writes to the status table are refused.
    bool status_fails = false;
    /// Called before orders are recorded, which takes `record_time`.
    std::function<void()> on_record = [] {
    };
    milliseconds record_time{0};
    std::int64_t version = 10;
    int server_reads = 0;
};

/// The platform's machine service.
struct machine_service
{
    boost::asio::awaitable<http::response> handle(http::request received)
    {
        if (received.method() == http::method::get)
        {
            boost::json::array machines;
            for (const std::string& name : names)
            {
                machines.push_back(boost::json::object{
                    {"machine", name},
                    {"pool", "pool"},
                    {"state", "up"},
                    {"zone", "a"},
                    {"id", "s"},
                    {"capacity", boost::json::object{{"cpu", 8'000}, {"mem-mb", 16'000}}}});
            }
            co_return http::make_response(
                http::status::ok,
                boost::json::serialize(boost::json::object{{"machines", std::move(machines)}}));
        }
        ++orders;
        on_order();
        boost::asio::steady_timer timer(co_await boost::asio::this_coro::executor, order_time);
        co_await timer.async_wait(boost::asio::use_awaitable);
        co_return http::make_response(order_status, order_answer);
    }

    std::vector<std::string> names{"m"};
    std::function<void()> on_order = [] {
    };
    milliseconds order_time{0};
    http::status order_status = http::status::ok;
    std::string order_answer = "{}";
    int orders = 0;
};

/// An owner with one backend server, which is idle, and its fleet controller.
struct fleet_fixture
{
    explicit fleet_fixture(const std::string& former_orders = {})
    {
        store.former_orders = former_orders;
        settings values;
        values.host = "host-a";
        values.store = test::free_address();
        store_server = listen(values.store, [this](http::request received)
                              { return store.handle(std::move(received)); });
        values.machines = test::free_address();
        machine_server = listen(values.machines, [this](http::request received)
                                { return machines.handle(std::move(received)); });
        shared = std::make_unique<context>(values, io);
        configuration current;
        current.pools.push_back({"pool", false});
        shared->current = std::make_shared<configuration>(current);
        session = std::make_shared<owner_session>(*shared, 1, store.version, shared->now());
        session->start();
        // Later reads of the registrations are of changes only.
        run_until([&] { return session->is_loaded() && store.server_reads >= 3; });
        info.id = "s";
        info.machine = "m";
        info.pool = "pool";
        info.born = 1;
        info.capacity = {8'000, 16'000, 0};
        register_server();
        // It had runs until a moment ago, so it is remembered while its registration is missing.
        server().lease_end = shared->now() + std::chrono::seconds(30);
        controller = std::make_shared<fleet_controller>(*shared, session);
        controller->start();
    }

    ~fleet_fixture()
    {
        session->release("test");
        run_until([&] { return session->ended(); });
        run_for(milliseconds(300));
    }

    template <typename Handler>
    std::shared_ptr<http::server> listen(const address& where, Handler handler)
    {
        return boost::leaf::try_handle_all(
            [&]() -> boost::leaf::result<std::shared_ptr<http::server>>
            { return http::server::listen(io.get_executor(), where, {}, handler); },
            [] { return std::shared_ptr<http::server>(); });
    }

    void register_server() { session->job_scheduler().update_server(info, shared->now()); }

    scheduler::server_state& server() { return *session->job_scheduler().find_server("s"); }

    /// Adds a task that runs on the server and must not be interrupted.
    void add_long_running_task()
    {
        job::record record;
        record.id = "job";
        record.queue.pool = "pool";
        job::step step;
        step.count = 1;
        step.request = {1'000, 100, 0};
        step.long_running = true;
        record.work.steps.push_back(step);
        job::progress stored;
        job::task_progress run;
        run.run = 1;
        run.server = "s";
        run.server_born = 1;
        stored.tasks.push_back(run);
        session->job_scheduler().add_job(record, &stored, milliseconds(0), shared->now());
    }

    void maintain() { controller->add_wave({1, {"m"}, std::chrono::seconds(60), 1}); }

    template <typename Predicate>
    bool run_until(Predicate reached, milliseconds limit = milliseconds(5'000))
    {
        const std::chrono::steady_clock::time_point deadline =
            std::chrono::steady_clock::now() + limit;
        while (!reached() && std::chrono::steady_clock::now() < deadline)
        {
            io.run_one_until(deadline);
        }
        return reached();
    }

    void run_for(milliseconds time)
    {
        run_until([] { return false; }, time);
    }

    boost::asio::io_context io;
    empty_store store;
    machine_service machines;
    std::shared_ptr<http::server> store_server;
    std::shared_ptr<http::server> machine_server;
    std::unique_ptr<context> shared;
    std::shared_ptr<owner_session> session;
    std::shared_ptr<fleet_controller> controller;
    worker::server info;
};

} // namespace

TEST_CASE("a server whose registration lapses during a refused order is usable afterwards",
          "[manager]")
{
    // Guards against a server that stays closed until another host takes over.
    fleet_fixture fleet;
    fleet.machines.order_time = milliseconds(400);
    fleet.machines.order_status = http::status::conflict;
    fleet.machines.order_answer = R"({"reason":"wave"})";
    fleet.machines.on_order = [&]
    {
        CHECK(fleet.server().closed);
        CHECK(fleet.server().ending);
        fleet.session->job_scheduler().remove_server("s", fleet.shared->now());
    };
    fleet.maintain();
    REQUIRE(fleet.run_until([&] { return fleet.machines.orders == 1; }));
    fleet.run_for(milliseconds(800));
    fleet.register_server();
    CHECK(fleet.run_until([&] { return !fleet.server().closed && !fleet.server().ending; },
                          milliseconds(2'500)));
    CHECK(fleet.machines.orders == 1);
}

TEST_CASE("a server whose machine is missing from the list during an order is usable afterwards",
          "[manager]")
{
    // Guards against a server that stays closed although its order is no longer known.
    fleet_fixture fleet;
    fleet.machines.order_time = milliseconds(3'000);
    fleet.machines.on_order = [&]
    {
        fleet.machines.names.clear();
    };
    fleet.maintain();
    REQUIRE(fleet.run_until([&] { return fleet.server().ending; }));
    CHECK(fleet.run_until([&] { return !fleet.server().closed && !fleet.server().ending; }));
}

TEST_CASE("a maintenance that was done before does not end a server that cannot be reached",
          "[manager]")
{
    // Guards against ignoring the registrations of a live server for 9 s.
    fleet_fixture fleet;
    fleet.info.endpoint = test::free_address();
    fleet.register_server();
    fleet.maintain();
    REQUIRE(fleet.run_until([&] { return fleet.machines.orders == 1; }));
    fleet.run_for(milliseconds(800));
    fleet.register_server();
    CHECK(fleet.server().registered);
}

TEST_CASE("a server is due for maintenance only until its machine has been maintained", "[manager]")
{
    // Guards against long-running tasks that avoid the machines of a former wave.
    fleet_fixture fleet;
    fleet.machines.order_time = milliseconds(300);
    fleet.maintain();
    REQUIRE(fleet.run_until([&] { return fleet.server().maintenance_due; }));
    REQUIRE(fleet.run_until([&] { return fleet.machines.orders == 1; }));
    fleet.run_for(milliseconds(800));
    fleet.info.born = 2;
    fleet.register_server();
    CHECK(fleet.run_until([&] { return !fleet.server().maintenance_due; }, milliseconds(1'000)));
}

TEST_CASE("machines are ordered although a wave's status cannot be stored", "[manager]")
{
    // Guards against a fleet that stands still while a part of the store is away.
    fleet_fixture fleet;
    fleet.store.status_fails = true;
    fleet.maintain();
    CHECK(fleet.run_until([&] { return fleet.machines.orders == 1; }, milliseconds(3'000)));
}

TEST_CASE("a machine with tasks is not maintained because its server's registration lapsed",
          "[manager]")
{
    // Guards against ending more tasks than the disruption budget allows after a store outage.
    fleet_fixture fleet;
    scheduler::scheduler& jobs = fleet.session->job_scheduler();
    fleet.add_long_running_task();
    REQUIRE(fleet.server().tasks.size() == 1);
    jobs.remove_server("s", fleet.shared->now());
    fleet.maintain();
    fleet.run_for(milliseconds(1'500));
    CHECK(fleet.machines.orders == 0);
    fleet.server().lease_end = fleet.shared->now();
    CHECK(fleet.run_until([&] { return fleet.machines.orders == 1; }, milliseconds(1'500)));
}

TEST_CASE("an order is not sent long after the time that its record names", "[manager]")
{
    // Guards against orders of two owners within the machine lease: the later one reckons from the
    // record.
    fleet_fixture fleet;
    fleet.store.record_time = milliseconds(1'100);
    fleet.maintain();
    fleet.run_for(milliseconds(3'500));
    CHECK(fleet.machines.orders == 0);
    fleet.store.record_time = milliseconds(300);
    CHECK(fleet.run_until([&] { return fleet.machines.orders == 1; }, milliseconds(4'000)));
}

TEST_CASE("a maintenance is not sent once a task that must not be interrupted runs there",
          "[manager]")
{
    // Guards against orders that were planned before their record was stored and are no longer due.
    fleet_fixture fleet;
    fleet.store.record_time = milliseconds(50);
    fleet.store.on_record = [&]
    {
        if (fleet.server().tasks.empty())
        {
            fleet.add_long_running_task();
        }
    };
    fleet.maintain();
    REQUIRE(fleet.run_until([&] { return !fleet.server().tasks.empty(); }));
    fleet.run_for(milliseconds(1'000));
    CHECK(fleet.machines.orders == 0);
}

TEST_CASE("a record of orders keeps those of the owner before", "[manager]")
{
    // Guards against a third owner in a rolling restart that orders machines which the first has
    // ordered a moment ago.
    fleet_fixture fleet(R"({"other":990})");
    fleet.maintain();
    REQUIRE(fleet.run_until([&] { return fleet.machines.orders == 1; }));
    const boost::json::object recorded = boost::json::parse(fleet.store.recorded).as_object();
    CHECK(recorded.contains("m"));
    REQUIRE(recorded.contains("other"));
    CHECK(recorded.at("other").to_number<std::int64_t>() <= 990);
    CHECK(recorded.at("other").to_number<std::int64_t>() >= 980);
}
