#include "overloaded_owner.hpp"

#include <catch2/catch.hpp>

#include <chrono>
#include <string>

using namespace lacewingquay;
using namespace lacewingquay::manager;
using namespace lacewingquay::manager::test_support;

TEST_CASE("an owner with more starts than its link carries at once does not lose them to timeouts",
          "[manager]")
{
    constexpr milliseconds limit{6'000};
    constexpr std::size_t tasks = 300;
    overloaded_owner owner(150, tasks);
    owner.servers.call_time = milliseconds(3);
    CHECK(owner.time_to_run(tasks, limit) < limit);
    CHECK(owner.servers.starts == tasks);
}

TEST_CASE("a job with more tasks than a row of the store holds is run, and others beside it",
          "[manager]")
{
    // Guards against transactions that the store rejects for all jobs and for the renewal of the
    // ownership, as long as the large job runs.
    constexpr milliseconds limit{15'000};
    constexpr std::size_t tasks = 1'500;
    overloaded_owner owner(20, tasks, 30);
    owner.add_job("other", 5, 1'000);
    CHECK(owner.time_to_run(tasks + 5, limit) < limit);
    CHECK(owner.store.rejections == 0);
    CHECK_FALSE(owner.session->ended());
}

TEST_CASE("a job whose progress the store rejects holds back no other and no renewal", "[manager]")
{
    constexpr milliseconds limit{5'000};
    overloaded_owner owner(4, 3);
    for (int index = 0; index < 20; ++index)
    {
        owner.add_job("other" + std::to_string(index), 1, 100);
    }
    owner.store.rejected_key = "\"key\":\"job\"";
    CHECK(owner.time_to_run(20, limit) < limit);
    const int renewals = owner.store.renewals;
    owner.time_to_run(23, milliseconds(2'500));
    CHECK(owner.store.renewals >= renewals + 2);
    CHECK(owner.servers.running_tasks() == 20);
    CHECK_FALSE(owner.session->ended());
}

TEST_CASE("a job whose stored progress cannot be read is not started again", "[manager]")
{
    overloaded_owner owner(4, 3);
    owner.add_job("later", 2, 100);
    owner.add_job("other", 1, 100);
    owner.store.progress = {
        stand_in_store::make_row("progress", "job", "running 0 1\n0.0.0 1 1"),
        stand_in_store::make_row("progress", "later", "running 0 1\n0.0.0 1 1 0 0 - 0 -"),
        stand_in_store::make_row("progress", "later/1", "0.0.1 1")};
    CHECK(owner.time_to_run(1, milliseconds(3'000)) < milliseconds(3'000));
    owner.time_to_run(10, milliseconds(500));
    // A feed that has lost its history delivers the rows of all jobs again.
    owner.store.changed_jobs = owner.store.jobs;
    owner.time_to_run(10, milliseconds(1'000));
    CHECK(owner.servers.running_tasks() == 1);
    CHECK(owner.servers.starts == 1);
}

TEST_CASE("an owner that cannot read the jobs starts nothing until it can", "[manager]")
{
    // Guards against starts of jobs that were cancelled while the owner's reads failed.
    overloaded_owner owner(4, 2);
    REQUIRE(owner.time_to_run(2, milliseconds(3'000)) < milliseconds(3'000));
    owner.store.feed_fails = true;
    owner.time_to_run(3, milliseconds(2'500));
    CHECK(owner.session->jobs_age() >= milliseconds(2'000));
    CHECK_FALSE(may_start_runs(owner.session->evidence()));
    owner.store.feed_fails = false;
    owner.time_to_run(3, milliseconds(800));
    CHECK(may_start_runs(owner.session->evidence()));
}

TEST_CASE("the runs of a cancelled job are stopped while a transaction is under way", "[manager]")
{
    // Guards against runs that go on until the owner's transaction on a slow store has ended.
    overloaded_owner owner(4, 2);
    REQUIRE(owner.time_to_run(2, milliseconds(3'000)) < milliseconds(3'000));
    owner.store.commit_time = milliseconds(1'000);
    const int renewals = owner.store.renewals;
    while (owner.store.renewals == renewals)
    {
        owner.time_to_run(3, milliseconds(10));
    }
    owner.time_to_run(3, milliseconds(100));
    const std::chrono::steady_clock::time_point cancelled_at = std::chrono::steady_clock::now();
    owner.store.changed_jobs.push_back(stand_in_store::make_row("jobs", "c/job", "{}"));
    owner.time_to_run(3, milliseconds(700));
    CHECK(owner.servers.running_tasks() == 0);
    CHECK(owner.servers.stopped_at - cancelled_at < milliseconds(500));
}

TEST_CASE("stops without an answer are repeated while transactions are under way", "[manager]")
{
    constexpr milliseconds limit{1'700};
    overloaded_owner owner(4, 1);
    REQUIRE(owner.time_to_run(1, milliseconds(3'000)) < milliseconds(3'000));
    owner.begin_slow_transaction();
    owner.servers.lost_stops = 2;
    owner.store.changed_jobs.push_back(stand_in_store::make_row("jobs", "c/job", "{}"));
    CHECK(owner.time_to_stop(0, limit) < limit);
    CHECK(owner.servers.lost_stops == 0);
}

TEST_CASE("a run that only a report shows is stopped while a transaction is under way", "[manager]")
{
    constexpr milliseconds limit{500};
    overloaded_owner owner(1, 1);
    REQUIRE(owner.time_to_run(1, milliseconds(3'000)) < milliseconds(3'000));
    owner.servers.waits_for_ends = false;
    owner.time_to_run(2, milliseconds(1'200));
    owner.begin_slow_transaction();
    owner.servers.running["s0"]["other.0.0.0"] = 1;
    CHECK(owner.time_to_stop(1, limit) < limit);
    CHECK_FALSE(owner.servers.running["s0"].contains("other.0.0.0"));
}

TEST_CASE("a job that an owner reads after its cancellation is not run", "[manager]")
{
    const boost::json::object cancellation = stand_in_store::make_row("jobs", "c/late", "{}");
    const bool is_before_takeover = GENERATE(true, false);
    overloaded_owner owner(4, 1);
    if (is_before_takeover)
    {
        owner.store.jobs.push_back(cancellation);
    }
    REQUIRE(owner.time_to_run(1, milliseconds(3'000)) < milliseconds(3'000));
    if (!is_before_takeover)
    {
        owner.store.changed_jobs.push_back(cancellation);
        owner.time_to_run(2, milliseconds(400));
        REQUIRE(owner.store.changed_jobs.empty());
    }
    owner.add_job("late", 1, 100);
    owner.store.changed_jobs.push_back(owner.store.jobs.back());
    owner.time_to_run(2, milliseconds(800));
    CHECK(owner.store.changed_jobs.empty());
    CHECK(owner.servers.running_tasks() == 1);
}

TEST_CASE("a stop is not repeated after its run has ended on a server without tasks", "[manager]")
{
    // Idle servers were not polled, so the owner never learned of the end.
    overloaded_owner owner(2, 1);
    owner.servers.running["s0"]["other.0.0.0"] = 1;
    owner.servers.running["s1"]["other.0.0.1"] = 1;
    owner.time_to_run(10, milliseconds(1'500));
    REQUIRE(owner.servers.running_tasks() == 1);
    const std::size_t stops = owner.servers.stops;
    owner.time_to_run(10, milliseconds(1'500));
    CHECK(owner.servers.stops == stops);
}

TEST_CASE("a registration in a pool that is not configured replaces no server", "[manager]")
{
    // Guards against two runs of a task: an entry of another writer, with a sound server's machine
    // and a later start, ended that server for the owner.
    overloaded_owner owner(2, 4);
    const boost::json::object odd{
        {"machine", "m0"},
        {"service", "unknown"},
        {"zone", "zone"},
        {"state", "ready"},
        {"address", "127.0.0.1:1"},
        {"born", born + 1'000'000},
        {"clock-ms", clock_now()},
        {"capacity", boost::json::object{{"cpu", 8'000}, {"mem-mb", 16'000}}}};
    owner.store.servers.push_back(
        stand_in_store::make_row("servers", "t", boost::json::serialize(odd)));
    owner.time_to_run(4, milliseconds(5'000));
    REQUIRE(owner.servers.running_tasks() == 4);
    const scheduler::server_state* sound = owner.session->job_scheduler().find_server("s0");
    REQUIRE(sound != nullptr);
    CHECK_FALSE(sound->incarnation_ended);
    CHECK(owner.session->job_scheduler().find_server("t") == nullptr);
}
