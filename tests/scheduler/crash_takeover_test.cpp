#include "scheduler_simulation.hpp"

#include <boost/leaf.hpp>
#include <catch2/catch.hpp>

#include <string>
#include <string_view>
#include <vector>

using namespace lacewingquay;
using namespace lacewingquay::test;

namespace
{

worker::server server_of(const std::string& id, const std::string& machine, std::int64_t born)
{
    worker::server info;
    info.id = id;
    info.machine = machine;
    info.pool = "pool";
    info.born = born;
    info.capacity = {8'000, 16'000, 0};
    return info;
}

job::progress parsed(std::string_view text)
{
    return boost::leaf::try_handle_all([&] { return job::parse_progress(text); },
                                       [] { return job::progress{}; });
}

/// Crashes counted for the tasks of the jobs that the owner would store.
int counted_crashes(scheduler::scheduler& owner, steady_time now)
{
    int crashes = 0;
    for (const scheduler::progress_write& write : owner.prepare(now, 50).writes)
    {
        for (const job::task_progress& task : parsed(write.text).tasks)
        {
            crashes += task.crashes.crashes;
        }
    }
    return crashes;
}

/// An owner that has just read one job with the given progress of its only task.
struct takeover
{
    steady_time now{std::chrono::hours(1)};
    scheduler::scheduler owner{scheduler::settings{}};

    void read_job(const std::string& task)
    {
        const job::progress stored = parsed("running 0 1\n" + task);
        REQUIRE(stored.tasks.size() == 1);
        owner.add_job(make_job("a", 1, 1, 1'000, milliseconds(500)), &stored, milliseconds(0), now);
    }
};

} // namespace

TEST_CASE("a crash that an earlier version stored as suspected is counted", "[scheduler]")
{
    takeover next;
    next.owner.update_server(server_of("s1", "m1", 1), next.now);
    next.read_job("0.0.0 0 1 0 0 s1 1/0/0/0/1/1/1/m1 -");
    next.now += milliseconds(500);
    next.owner.update_server(server_of("t1", "m1", 100), next.now);
    CHECK(counted_crashes(next.owner, next.now) == 1);
}

TEST_CASE("a suspicion of an earlier version whose server is not known does not blame",
          "[scheduler]")
{
    takeover next;
    next.owner.update_server(server_of("s1", "m1", 1), next.now);
    next.read_job("0.0.0 0 2 0 0 s2 2/0/0/0/1/1/1/m1 -");
    next.now += milliseconds(500);
    next.owner.update_server(server_of("t1", "m1", 100), next.now);
    CHECK(counted_crashes(next.owner, next.now) == 0);
}

TEST_CASE("a crash is counted although its server was back before the job was read", "[scheduler]")
{
    takeover next;
    next.owner.update_server(server_of("t1", "m1", 100), next.now);
    next.read_job("0.0.0 0 2 0 0 s2 2/0/0/0/1/1/1/m1/1/s1 -");
    next.now += milliseconds(500);
    next.owner.update_server(server_of("t1", "m1", 100), next.now);
    CHECK(counted_crashes(next.owner, next.now) == 1);
}

TEST_CASE("a stored suspicion ends when its server answers the next owner", "[scheduler]")
{
    takeover next;
    next.owner.update_server(server_of("s1", "m1", 1), next.now);
    next.read_job("0.0.0 0 2 0 0 s2 2/0/0/0/1/1/1/m1/1/s1 -");
    next.now += milliseconds(500);
    worker::report report;
    report.born = 1;
    next.owner.apply_report("s1", report, next.now, next.now);
    next.now += milliseconds(500);
    next.owner.update_server(server_of("t1", "m1", 100), next.now);
    CHECK(counted_crashes(next.owner, next.now) == 0);
}

TEST_CASE("a takeover does not hide a further crash of a task that has crashed before",
          "[scheduler]")
{
    takeover next;
    next.owner.update_server(server_of("s2", "m2", 2), next.now);
    next.read_job("0.0.0 0 2 0 0 s2 2/1/1/1/0/0/0/- -");
    next.now += milliseconds(10);
    next.owner.call_unanswered("s2", 2, worker::call_failure::disconnected, next.now);
    next.now += milliseconds(3'000);
    next.owner.update_server(server_of("t2", "m2", 100), next.now);
    const std::vector<scheduler::progress_write> writes = next.owner.prepare(next.now, 50).writes;
    REQUIRE(writes.size() == 1);
    CHECK(writes.front().reported_state == job::state::failed);
}

TEST_CASE("crashes are forgotten after a takeover only once the run has worked for long enough",
          "[scheduler]")
{
    takeover next;
    next.owner.update_server(server_of("s2", "m2", 2), next.now);
    next.owner.update_server(server_of("s3", "m3", 3), next.now);
    next.read_job("0.0.0 0 2 0 0 s2 2/1/1/1/0/0/0/- -");
    worker::report report;
    report.born = 2;
    report.running.push_back({{"a", {0, 0, 0}}, 2, "", 10, 0});
    const auto writes_after = [&](milliseconds age)
    {
        scheduler::scheduler& owner = next.owner;
        next.now += age;
        report.clock += age;
        report.running.front().percent += 10;
        owner.apply_report("s2", report, next.now, next.now);
        return owner.prepare(next.now, 50).writes;
    };
    CHECK(writes_after(milliseconds(100)).empty());
    CHECK(writes_after(milliseconds(1'000)).empty());
    const std::vector<scheduler::progress_write> writes = writes_after(milliseconds(1'000));
    REQUIRE(writes.size() == 1);
    CHECK(parsed(writes.front().text).tasks.front().crashes == job::crash_history{0, 1, false, {}});
}

TEST_CASE("a server that never returns does not keep a sound task suspected", "[scheduler]")
{
    takeover next;
    next.owner.update_server(server_of("s2", "m2", 2), next.now);
    next.read_job("0.0.0 0 2 0 0 s2 2/0/0/0/1/1/1/m1/1/s1 -");
    worker::report report;
    report.born = 2;
    report.running.push_back({{"a", {0, 0, 0}}, 2, "", 10, 0});
    next.now += milliseconds(2'100);
    next.owner.apply_report("s2", report, next.now, next.now);
    const std::vector<scheduler::progress_write> writes = next.owner.prepare(next.now, 50).writes;
    REQUIRE(writes.size() == 1);
    CHECK(parsed(writes.front().text).tasks.front().crashes == job::crash_history{});
}
