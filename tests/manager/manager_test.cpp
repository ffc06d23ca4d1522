#include "manager/configuration.hpp"
#include "manager/mirror.hpp"
#include "manager/ownership.hpp"
#include "manager/row_intake.hpp"

#include <catch2/catch.hpp>
#include <rapidcheck/catch.h>

using namespace lacewingquay;
using namespace lacewingquay::manager;

namespace
{

constexpr steady_time start{std::chrono::hours(1)};

} // namespace

TEST_CASE("an owner that renews is left alone, and one that falls silent is replaced", "[manager]")
{
    ownership watched({}, "host-a");
    CHECK_FALSE(watched.should_take_over(start));
    watched.observe({"host-b", 3, false, milliseconds(0)}, 10, milliseconds(0), start);
    std::int64_t version = 10;
    steady_time now = start;
    for (int round = 0; round < 20; ++round)
    {
        now += milliseconds(700);
        CHECK_FALSE(watched.should_take_over(now));
        watched.observe({"host-b", 3, false, milliseconds(0)}, ++version, milliseconds(0), now);
    }
    CHECK(watched.should_take_over(now + milliseconds(3'000)));
}

TEST_CASE("an outage of the store is not the owner's silence", "[manager]")
{
    // The owner could not renew either; taking over from it would only cost time.
    ownership watched({}, "host-a");
    watched.observe({"host-b", 3, false, milliseconds(0)}, 10, milliseconds(0), start);
    const steady_time back = start + milliseconds(9'000);
    watched.store_failed(back);
    CHECK_FALSE(watched.should_take_over(back + milliseconds(100)));
    CHECK(watched.should_take_over(back + milliseconds(3'000)));
}

TEST_CASE("a host that starts after a loss of all takes over without waiting again", "[manager]")
{
    ownership watched({}, "host-a");
    watched.observe({"host-b", 3, false, milliseconds(0)}, 10, milliseconds(5'000), start);
    CHECK(watched.should_take_over(start));
}

TEST_CASE("an older version of the owner's row changes nothing", "[manager]")
{
    ownership watched({}, "host-a");
    watched.observe({"host-b", 4, false, milliseconds(0)}, 12, milliseconds(0), start);
    watched.observe({"host-c", 3, true, milliseconds(0)}, 11, milliseconds(0), start);
    CHECK(watched.row().host == "host-b");
    CHECK(watched.version() == 12);
    CHECK_FALSE(watched.should_take_over(start + milliseconds(500)));
}

TEST_CASE("restarted hosts take over a released row before the others", "[manager]")
{
    // Guards against a rolling restart that moves the ownership with every host it stops.
    ownership old_host({}, "host-a");
    old_host.observe({}, 0, milliseconds(0), start);
    ownership restarted({}, "host-a");
    restarted.observe({"host-b", 1, false, milliseconds(0)}, 5, milliseconds(0), start);
    old_host.observe({"host-b", 1, true, milliseconds(0)}, 6, milliseconds(0), start);
    restarted.observe({"host-b", 1, true, milliseconds(0)}, 6, milliseconds(0), start);
    steady_time first_old = start;
    steady_time first_restarted = start;
    while (!old_host.should_take_over(first_old))
    {
        first_old += milliseconds(1);
    }
    while (!restarted.should_take_over(first_restarted))
    {
        first_restarted += milliseconds(1);
    }
    CHECK(first_restarted < first_old);
    CHECK(first_old - start < milliseconds(500));
}

TEST_CASE("the owner's row reads back as it was", "[manager]")
{
    const owner_row written{"host-a", 7, true, milliseconds(1'234)};
    const owner_row read = boost::leaf::try_handle_all(
        [&]() -> boost::leaf::result<owner_row> { return parse_owner(serialize_owner(written)); },
        [] { return owner_row{}; });
    CHECK(read.host == "host-a");
    CHECK(read.term == 7);
    CHECK(read.released);
    CHECK(read.renewed == milliseconds(1'234));
}

TEST_CASE("a job's state never goes back from a final one", "[manager]")
{
    rc::prop("news in any order",
             []
             {
                 mirror jobs;
                 bool was_final = false;
                 job::state shown = job::state::queued;
                 for (int step = 0; step < 30; ++step)
                 {
                     switch (*rc::gen::inRange(0, 4))
                     {
                     case 0:
                         jobs.add_job("a", "queue");
                         break;
                     case 1:
                         jobs.set_state("a", static_cast<job::state>(*rc::gen::inRange(0, 4)),
                                        *rc::gen::inRange(1, 50));
                         break;
                     case 2:
                         jobs.add_job("b", "queue");
                         break;
                     default:
                         jobs.set_state("b", job::state::running, *rc::gen::inRange(1, 50));
                         break;
                     }
                     const std::optional<job::state> now = jobs.state_of("a");
                     if (was_final)
                     {
                         RC_ASSERT(now == shown);
                     }
                     if (now && job::is_final(*now))
                     {
                         was_final = true;
                         shown = *now;
                     }
                     std::size_t expected = 0;
                     for (const char* id : {"a", "b"})
                     {
                         expected += jobs.state_of(id) == job::state::queued ? 1 : 0;
                     }
                     RC_ASSERT(jobs.waiting("queue") == expected);
                 }
             });
}

TEST_CASE("the longest prefix at a host names the queue", "[manager]")
{
    configuration config;
    config.queues.push_back({"h/a/", "h", "/a/", "p1"});
    config.queues.push_back({"h/a/b/", "h", "/a/b/", "p2"});
    REQUIRE(config.find_queue("h", "/a/b/1") != nullptr);
    CHECK(config.find_queue("h", "/a/b/1")->pool == "p2");
    CHECK(config.find_queue("h", "/a/c")->pool == "p1");
    CHECK(config.find_queue("g", "/a/c") == nullptr);
}

TEST_CASE("rows that a feed brings during a full read are applied after it", "[manager]")
{
    // Guards against jobs that no owner knows: they were stored while a new owner read the tables
    // of a slow store (hunt 'mix --seed 745151529553' of halrek-quay).
    row_intake intake;
    CHECK(intake.take({{"jobs", "j/a", "", 1, false}}).empty());
    CHECK(intake.take({{"jobs", "j/b", "", 2, false}}).empty());
    const std::vector<adapter::row> held = intake.open();
    REQUIRE(held.size() == 2);
    CHECK(held[0].key == "j/a");
    CHECK(held[1].key == "j/b");
    CHECK(intake.take({{"jobs", "j/c", "", 3, false}}).size() == 1);
    CHECK(intake.open().empty());
}
