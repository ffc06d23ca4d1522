#include "overloaded_owner.hpp"
#include "platform/restartable_server.hpp"

#include <catch2/catch.hpp>

#include <chrono>

using namespace lacewingquay;
using namespace lacewingquay::manager;
using namespace lacewingquay::manager::test_support;

namespace
{

constexpr milliseconds first_clock{600'000};
constexpr milliseconds restarted_clock{5'000};
/// Both clocks are read in whole milliseconds.
constexpr milliseconds rounding{1};

/// An owner of one server, whose registration stays that of the first incarnation.
struct owner_of_server
{
    owner_of_server()
    {
        settings values;
        values.host = "host-a";
        values.store = test::free_address();
        const boost::json::object registration{
            {"machine", "m"},
            {"service", "pool"},
            {"zone", "zone"},
            {"state", "ready"},
            {"address", server.where().text()},
            {"born", server.born()},
            {"clock-ms", server.clock().count()},
            {"capacity", boost::json::object{{"cpu", 8'000}, {"mem-mb", 16'000}}}};
        store.servers.push_back(
            stand_in_store::make_row("servers", "s", boost::json::serialize(registration)));
        store_server = serve(io, values.store, store);
        shared = std::make_unique<context>(values, io);
        configuration current;
        current.pools.push_back({"pool", false});
        shared->current = std::make_shared<configuration>(current);
        session = std::make_shared<owner_session>(*shared, 1, store.version, shared->now());
        session->start();
    }

    ~owner_of_server() { session->release("the test is over"); }

    void submit(const std::string& id)
    {
        job::queue queue;
        queue.name = "host/queue/";
        queue.host = "host";
        queue.prefix = "/queue/";
        queue.pool = "pool";
        const std::string body = R"({"spec":"payload","steps":[{"count":3,"cpu":500,"mem-mb":10,)"
                                 R"("est-duration-ms":1000,"long-running":true}]})";
        store.changed_jobs.push_back(stand_in_store::make_row(
            "jobs", "j/" + id, job::serialize_record({queue, milliseconds(1)}, body)));
    }

    template <typename Predicate>
    bool run_until(Predicate reached)
    {
        const std::chrono::steady_clock::time_point deadline =
            std::chrono::steady_clock::now() + std::chrono::seconds(8);
        while (!reached() && std::chrono::steady_clock::now() < deadline)
        {
            io.run_one_until(deadline);
        }
        return reached();
    }

    void run_for(milliseconds time)
    {
        const std::chrono::steady_clock::time_point end = std::chrono::steady_clock::now() + time;
        while (std::chrono::steady_clock::now() < end)
        {
            io.run_one_until(end);
        }
    }

    boost::asio::io_context io;
    test::restartable_server server{io, first_clock};
    stand_in_store store;
    std::shared_ptr<http::server> store_server;
    std::unique_ptr<context> shared;
    std::shared_ptr<owner_session> session;
};

} // namespace

TEST_CASE("a server that has restarted under its id gets no deadline of its former clock",
          "[manager]")
{
    // Guards against two runs of a task: such a deadline is far ahead on the new clock, so the
    // server goes on with its runs when it is cut off, after the owner has repeated them.
    owner_of_server owner;
    REQUIRE(owner.run_until([&] { return owner.server.polls() > 0; }));
    SECTION("while it is idle")
    {
        owner.run_for(milliseconds(300));
        owner.server.restart(restarted_clock);
        owner.submit("0123456789abcdef");
    }
    SECTION("while it has runs")
    {
        owner.submit("0123456789abcdef");
        REQUIRE(owner.run_until([&] { return owner.server.running() == 3; }));
        owner.server.restart(restarted_clock);
    }
    REQUIRE(owner.run_until([&] { return owner.server.running() == 3; }));
    owner.run_for(milliseconds(300));
    CHECK(owner.server.longest_lease() <= scheduler::settings{}.lease + rounding);
    CHECK(owner.server.longest_lease() > milliseconds(0));
    CHECK_FALSE(owner.session->ended());
}
