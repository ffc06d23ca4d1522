#include "core/parse_or_log.hpp"
#include "manager/configuration.hpp"
#include "manager/isolation.hpp"
#include "manager/job_cache.hpp"
#include "manager/load_summary.hpp"
#include "manager/ownership.hpp"
#include "scheduler/scheduler.hpp"

#include <catch2/catch.hpp>
#include <rapidcheck/catch.h>

using namespace lacewingquay;
using namespace lacewingquay::manager;

namespace
{

constexpr steady_time start{std::chrono::hours(1)};

} // namespace

TEST_CASE("an owner that renews keeps its ownership, and one that stops renewing is replaced",
          "[manager]")
{
    ownership subject({}, "host-a", {});
    CHECK_FALSE(subject.should_take_over(start));
    subject.observe({"host-b", 3, false, milliseconds(0)}, 10, milliseconds(0), start);
    std::int64_t version = 10;
    steady_time now = start;
    for (int round = 0; round < 20; ++round)
    {
        now += milliseconds(700);
        CHECK_FALSE(subject.should_take_over(now));
        subject.observe({"host-b", 3, false, milliseconds(0)}, ++version, milliseconds(0), now);
    }
    CHECK(subject.should_take_over(now + milliseconds(3'000)));
}

TEST_CASE("a store outage does not count as a failure of the owner", "[manager]")
{
    // The owner could not renew during the outage either; a takeover would only cost time.
    ownership subject({}, "host-a", {});
    subject.observe({"host-b", 3, false, milliseconds(0)}, 10, milliseconds(0), start);
    const steady_time back = start + milliseconds(9'000);
    subject.on_store_failure(back);
    CHECK_FALSE(subject.should_take_over(back + milliseconds(100)));
    CHECK(subject.should_take_over(back + milliseconds(3'000)));
}

TEST_CASE("a host that starts after the failure timeout has passed takes over at once", "[manager]")
{
    ownership subject({}, "host-a", {});
    subject.observe({"host-b", 3, false, milliseconds(0)}, 10, milliseconds(5'000), start);
    CHECK(subject.should_take_over(start));
}

TEST_CASE("an older version of the owner's row changes nothing", "[manager]")
{
    ownership subject({}, "host-a", {});
    subject.observe({"host-b", 4, false, milliseconds(0)}, 12, milliseconds(0), start);
    subject.observe({"host-c", 3, true, milliseconds(0)}, 11, milliseconds(0), start);
    CHECK(subject.row().host == "host-b");
    CHECK(subject.version() == 12);
    CHECK_FALSE(subject.should_take_over(start + milliseconds(500)));
}

TEST_CASE("restarted hosts take over a released row before the others", "[manager]")
{
    // Guards against a rolling restart that moves the ownership with each host it stops.
    ownership old_host({}, "host-a", {});
    old_host.observe({}, 0, milliseconds(0), start);
    ownership restarted({}, "host-a", {});
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

TEST_CASE("a takeover after a failure does not wait for restarted hosts", "[manager]")
{
    // Guards against 0.4 s more without an owner whenever no host has restarted.
    ownership subject({}, "host-a", {});
    subject.observe({}, 0, milliseconds(0), start);
    subject.observe({"host-b", 1, false, milliseconds(0)}, 5, milliseconds(0), start);
    const ownership_settings timing;
    CHECK(subject.time_to_takeover(start) >= timing.failure_timeout);
    CHECK(subject.time_to_takeover(start) <= timing.failure_timeout + timing.max_jitter);
}

TEST_CASE("the owner's row survives serialization and parsing", "[manager]")
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

TEST_CASE("a job's final state is never replaced", "[manager]")
{
    rc::prop("updates in any order",
             []
             {
                 job_cache jobs(10);
                 bool was_final = false;
                 job::state reported_state = job::state::queued;
                 for (int step = 0; step < 30; ++step)
                 {
                     switch (*rc::gen::inRange(0, 3))
                     {
                     case 0:
                         jobs.update("a", static_cast<job::state>(*rc::gen::inRange(0, 5)),
                                     *rc::gen::inRange(1, 50));
                         break;
                     case 1:
                         jobs.update("b", job::state::running, *rc::gen::inRange(1, 50));
                         break;
                     default:
                         if (*rc::gen::inRange(0, 10) == 0)
                         {
                             jobs.cancel("a");
                         }
                         break;
                     }
                     const std::optional<job::state> now = jobs.state_of("a");
                     if (was_final && reported_state != job::state::cancelled)
                     {
                         RC_ASSERT(now == reported_state);
                     }
                     if (now && job::is_final(*now))
                     {
                         was_final = true;
                         reported_state = *now;
                     }
                     RC_ASSERT(!was_final || (now && job::is_final(*now)));
                 }
             });
}

TEST_CASE("the job cache is bounded and keeps the newest jobs", "[manager]")
{
    // Guards against a cache that grows with every job ever stored.
    job_cache jobs(3);
    for (const char* id : {"a", "b", "c", "d"})
    {
        jobs.update(id, job::state::running, 1);
    }
    CHECK(jobs.size() == 3);
    CHECK_FALSE(jobs.state_of("a"));
    CHECK(jobs.state_of("d") == job::state::running);
}

TEST_CASE("jobs that the owner has not counted are added to its counts of waiting jobs",
          "[manager]")
{
    // Guards against counts that miss the jobs accepted while ownership changes: on a large
    // deployment a takeover lasts more than the 2 s for which counts may be out of date.
    load_tracker tracker;
    const auto waiting = [&](const std::string& name)
    {
        return tracker.load_of({name, "h", "/", "pool"}).waiting;
    };
    tracker.observe({100, milliseconds(9'000), {{{"q1", 4}}, {}}}, 7);
    CHECK_FALSE(tracker.is_older_than(milliseconds(1'500), milliseconds(9'700)));
    CHECK(tracker.is_older_than(milliseconds(1'500), milliseconds(10'600)));
    tracker.add_waiting({{"q1", 2}, {"q2", 1}}, 120, milliseconds(10'600));
    CHECK_FALSE(tracker.is_older_than(milliseconds(1'500), milliseconds(12'000)));
    CHECK(waiting("q1") == 6);
    CHECK(waiting("q2") == 1);
    CHECK(waiting("q3") == 0);
    CHECK(tracker.covered_version() == 120);
    // An older row of the owner is ignored; a newer one replaces the added counts.
    tracker.observe({90, milliseconds(8'000), {{{"q1", 1}}, {}}}, 6);
    CHECK(waiting("q1") == 6);
    tracker.observe({130, milliseconds(10'800), {{{"q1", 5}}, {}}}, 9);
    CHECK(waiting("q1") == 5);
    CHECK(waiting("q2") == 0);
}

TEST_CASE("renewals by an owner that lags behind the new jobs do not make its counts current",
          "[manager]")
{
    load_tracker tracker;
    CHECK(tracker.is_older_than(milliseconds(1'500), milliseconds(100)));
    for (int renewal = 0; renewal < 5; ++renewal)
    {
        tracker.observe({100, milliseconds(9'000), {{{"q1", 4}}, {}}}, 7 + renewal);
        const milliseconds store_time = milliseconds(9'000) + renewal * milliseconds(700);
        CHECK(tracker.age(store_time) == renewal * milliseconds(700));
    }
    CHECK(tracker.is_older_than(milliseconds(1'500), milliseconds(11'800)));
}

TEST_CASE("a load summary survives serialization and parsing, and a malformed one is refused",
          "[manager]")
{
    const load_summary written{42,
                               milliseconds(7'000),
                               {{{"host/a/", 3}, {"host/b/", 70'000}},
                                {{"pool-a",
                                  {{0, {milliseconds(900), 40'000, milliseconds(2'000)}},
                                   {3, {milliseconds(4'000), 40'000, milliseconds(5'000)}}}}}}};
    const std::optional<load_summary> read = parse_or_log(
        "load_unreadable", "load", 1, [&] { return parse_load(serialize_load(written)); });
    REQUIRE(read);
    CHECK(read->covered_version == 42);
    CHECK(read->complete_at == milliseconds(7'000));
    CHECK(read->load == written.load);
    CHECK(read->load.of({"q", "h", "/", "pool-a", 2}).drain == milliseconds(900));
    CHECK(read->load.of({"q", "h", "/", "pool-a", 5}).drain == milliseconds(4'000));
    CHECK(read->load.of({"q", "h", "/", "pool-b", 5}) == scheduler::queue_load{});
    for (const std::string_view damaged :
         {R"({"covered_version":1})", R"({"covered_version":1,"waiting":{"a":"many"},"pools":{}})",
          R"({"covered_version":1,"waiting":{},"pools":{"a":[1]}})",
          R"({"covered_version":1,"waiting":{},"pools":{"a":[{"priority":0,"drain_ms":-1}]}})"})
    {
        CHECK_FALSE(
            parse_or_log("load_unreadable", "load", 1, [&] { return parse_load(damaged); }));
    }
}

TEST_CASE("a queue with few waiting jobs is not counted as empty because others have more",
          "[manager]")
{
    // The first list of queues fits into a row, the second does not.
    for (const int queues : {600, 5'000})
    {
        load_summary written{1, milliseconds(1'000), {}};
        for (int number = 0; number < queues; ++number)
        {
            written.load.waiting["host.example/queue-" + std::to_string(number)] = 2;
        }
        written.load.waiting["short"] = 1;
        std::optional<load_summary> read = parse_or_log(
            "load_unreadable", "load", 1, [&] { return parse_load(serialize_load(written)); });
        REQUIRE(read);
        load_tracker tracker;
        tracker.observe(std::move(*read), 1);
        const std::optional<std::int64_t> count =
            tracker.waiting({"short", "h", "/", "pool"}, milliseconds(2'000), milliseconds(1'100));
        CHECK(count.value_or(-1) == (queues == 600 ? 1 : -1));
    }
}

TEST_CASE("the load summary fits into a row of the store, whatever the configuration", "[manager]")
{
    // Guards against an owner whose renewals the store refuses, because the summary lists every
    // queue of a large configuration.
    constexpr std::size_t row_limit = 65'536;
    scheduler::scheduler owner{scheduler::settings{}};
    configuration config;
    for (int number = 0; number < 5'000; ++number)
    {
        const std::string prefix = "/a-rather-long-prefix-of-a-queue-" + std::to_string(number);
        config.queues.push_back({"host.example" + prefix, "host.example", prefix, "pool"});
        job::record record;
        record.id = std::to_string(number);
        record.queue = config.queues.back();
        job::step step;
        step.count = 1;
        step.request = {1'000, 100, 0};
        record.work.steps.push_back(std::move(step));
        owner.add_job(std::move(record), nullptr, {}, start);
    }
    owner.configure(config);
    CHECK(serialize_load({1, milliseconds(1), owner.load(start)}).size() < row_limit);
}

TEST_CASE("a host with more resources takes over before one with less", "[manager]")
{
    // Guards against an owner with a slow link, which takes 2.3 s to read all jobs and starts tasks
    // late from then on.
    const host_resources strong_host{0.5, 200.0};
    const owner_row owner{"host-x", 3, false, milliseconds(0)};
    for (const host_resources weak_host :
         {host_resources{0.12, 200.0}, host_resources{0.5, 10.0}, host_resources{0.2, 20.0}})
    {
        for (int number = 0; number < 20; ++number)
        {
            ownership strong({}, "strong-" + std::to_string(number), strong_host);
            ownership weak({}, "weak-" + std::to_string(number), weak_host);
            for (ownership* host : {&strong, &weak})
            {
                host->observe_host("strong", strong_host);
                host->observe_host("weak", weak_host);
                host->observe(owner, 10, milliseconds(0), start);
            }
            CHECK(strong.time_to_takeover(start) < weak.time_to_takeover(start));
        }
    }
    // A weak host still takes over if no other does.
    ownership weak({}, "weak", {0.12, 10.0});
    weak.observe_host("strong", strong_host);
    weak.observe(owner, 10, milliseconds(0), start);
    CHECK(weak.should_take_over(start + milliseconds(4'000)));
}

TEST_CASE("hosts with equal resources do not wait for a stronger one", "[manager]")
{
    ownership host({}, "host-a", {0.25, 1'000.0});
    host.observe_host("host-b", {0.25, 1'000.0});
    CHECK(host.hosts() == 2);
    host.observe({"host-b", 1, false, milliseconds(0)}, 10, milliseconds(0), start);
    host.observe({"host-b", 1, false, milliseconds(0)}, 11, milliseconds(0), start);
    const ownership_settings timing;
    CHECK(host.time_to_takeover(start) <= timing.failure_timeout + timing.max_jitter);
}

TEST_CASE("the queue with the longest matching prefix of a host is found", "[manager]")
{
    configuration config;
    config.queues.push_back({"h/a/", "h", "/a/", "p1"});
    config.queues.push_back({"h/a/b/", "h", "/a/b/", "p2"});
    REQUIRE(config.find_queue("h", "/a/b/1") != nullptr);
    CHECK(config.find_queue("h", "/a/b/1")->pool == "p2");
    CHECK(config.find_queue("h", "/a/c")->pool == "p1");
    CHECK(config.find_queue("g", "/a/c") == nullptr);
}

TEST_CASE("a host that lost the store counts as isolated only if others may serve its callers",
          "[manager]")
{
    // Guards against hosts of a partitioned zone that stay in the load balancer's rotation and
    // refuse all jobs, and against a store outage that takes all hosts out of rotation.
    using enum peer_store_status;
    CHECK(is_isolated(std::vector{store_available, no_answer}));
    CHECK(is_isolated(std::vector{store_unavailable, store_available}));
    CHECK(is_isolated(std::vector{no_answer, no_answer}));
    CHECK_FALSE(is_isolated(std::vector{store_unavailable, store_unavailable}));
    CHECK_FALSE(is_isolated(std::vector{store_unavailable, no_answer}));
    CHECK_FALSE(is_isolated(std::vector<peer_store_status>{}));
    for (const peer_report& report : {peer_report{store_available, milliseconds(20), 7},
                                      peer_report{store_unavailable, milliseconds(900), 8}})
    {
        CHECK(parse_readiness(serialize_readiness(report)) == report);
    }
    CHECK(parse_readiness("not JSON") == peer_report{});
    CHECK(parse_readiness(R"({"store_answers":1})") == peer_report{});
    CHECK(parse_readiness(R"({"store_answers":false,"owner_term":-1,"store_silence_ms":"x"})") ==
          peer_report{store_unavailable, milliseconds(0), 0});
}

TEST_CASE("a host queries hosts of other availability zones, and different ones in each round",
          "[manager]")
{
    // A network failure usually isolates a whole zone, so hosts of the same zone know no more.
    const auto where = [](std::uint16_t port)
    {
        return address{"10.0.0.1", port};
    };
    std::map<std::string, host_record> hosts{{"a1", {{}, "a", where(1)}},
                                             {"a2", {{}, "a", where(2)}},
                                             {"b1", {{}, "b", where(3)}},
                                             {"b2", {{}, "b", where(4)}},
                                             {"c1", {{}, "c", where(5)}}};
    std::set<std::uint16_t> queried;
    for (std::size_t round = 0; round < 3; ++round)
    {
        const std::vector<address> chosen = choose_peers(hosts, "a1", "a", 2, round);
        CHECK(chosen.size() == 2);
        for (const address& peer : chosen)
        {
            queried.insert(peer.port);
        }
    }
    CHECK(queried == std::set<std::uint16_t>{3, 4, 5});
    CHECK(choose_peers({{"a1", hosts["a1"]}, {"a2", hosts["a2"]}}, "a1", "a", 2, 0).size() == 1);
    CHECK(choose_peers({{"a1", hosts["a1"]}}, "a1", "a", 2, 0).empty());
}
