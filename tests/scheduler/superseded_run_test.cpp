#include "scheduler_simulation.hpp"

#include <catch2/catch.hpp>

#include <string>
#include <vector>

using namespace lacewingquay;
using namespace lacewingquay::test;

namespace
{

worker::server server_of(const std::string& id, std::int64_t born)
{
    worker::server info;
    info.id = id;
    info.machine = "m" + std::to_string(born);
    info.pool = "pool";
    info.born = born;
    info.capacity = {8'000, 16'000, 0};
    return info;
}

std::vector<worker::start_order> start_all(scheduler::scheduler& owner, steady_time now)
{
    const scheduler::batch work = owner.prepare(now, 50);
    owner.stored(work, now);
    for (const worker::start_order& order : work.starts)
    {
        owner.start_answered(order, worker::order_outcome::accepted, now);
    }
    return work.starts;
}

/// Reports of the server `id`, started at `born`.
struct reporter
{
    scheduler::scheduler& owner;
    std::string id;
    std::int64_t born = 0;

    void report_running(const worker::task_name& task, int run, steady_time requested_at,
                        steady_time now) const
    {
        worker::report report;
        report.born = born;
        report.running.push_back({task, run, "", 50, 0});
        owner.apply_report(id, report, requested_at, now);
    }

    void report_done(const worker::task_name& task, int run, steady_time now) const
    {
        worker::report report;
        report.born = born;
        worker::ended_task end;
        end.number = 1;
        end.task = task;
        end.run = run;
        report.ended.push_back(end);
        owner.apply_report(id, report, now, now);
    }

    void report_nothing(steady_time requested_at, steady_time now) const
    {
        worker::report report;
        report.born = born;
        owner.apply_report(id, report, requested_at, now);
    }
};

} // namespace

TEST_CASE("a run that the owner does not know of is not started over", "[scheduler]")
{
    steady_time now{std::chrono::hours(1)};
    scheduler::scheduler owner{scheduler::settings{}};
    owner.update_server(server_of("s1", 1), now);
    job::progress stored;
    stored.reported_state = job::state::running;
    stored.tasks.push_back({{0, 0, 0}, true, 2, 0, 0, "", 0, ""});
    job::record record = make_job("a", 2, 1, 6'000, milliseconds(500));
    owner.add_job(record, &stored, milliseconds(0), now);
    const reporter server{owner, "s1", 1};
    const worker::task_name done{"a", {0, 0, 0}};
    server.report_running(done, 2, now, now);
    now += milliseconds(300);
    CHECK(start_all(owner, now).empty());
    REQUIRE(owner.take_stops(now).size() == 1);
    const steady_time requested_at = now;
    now += milliseconds(300);
    server.report_nothing(requested_at, now);
    now += milliseconds(300);
    CHECK(start_all(owner, now).size() == 1);
}

TEST_CASE("members of a gang that an earlier run has done still count until they end",
          "[scheduler]")
{
    steady_time now{std::chrono::hours(1)};
    scheduler::scheduler owner{scheduler::settings{}};
    owner.update_server(server_of("s1", 1), now);
    owner.update_server(server_of("s2", 2), now);
    job::record record = make_job("a", 1, 2, 8'000, milliseconds(500));
    record.work.steps.front().gang = true;
    owner.add_job(record, nullptr, milliseconds(0), now);
    now += milliseconds(300);
    REQUIRE(start_all(owner, now).size() == 2);
    // Both servers are cut off until their leases have expired, and the gang is repeated.
    now += milliseconds(8'000);
    owner.update_server(server_of("s3", 3), now);
    owner.update_server(server_of("s4", 4), now);
    owner.advance(now, wall_time{}, milliseconds(1));
    owner.call_unanswered("s1", 1, worker::call_failure::silence, now);
    owner.call_unanswered("s2", 2, worker::call_failure::silence, now);
    const std::vector<worker::start_order> again = start_all(owner, now);
    REQUIRE(again.size() == 2);
    now += milliseconds(100);
    reporter{owner, "s1", 1}.report_done({"a", {0, 0, 0}}, 1, now);
    worker::server drains = server_of("s1", 1);
    drains.draining = true;
    owner.update_server(drains, now);
    owner.add_job(make_job("b", 1, 2, 8'000, milliseconds(500)), nullptr, milliseconds(0), now);
    const steady_time early = now - milliseconds(50);
    reporter{owner, "s3", 3}.report_nothing(early, now);
    now += milliseconds(300);
    CHECK(start_all(owner, now).empty());
    CHECK(owner.take_stops(now).size() == 2);
    const steady_time requested_at = now;
    now += milliseconds(300);
    reporter{owner, "s3", 3}.report_nothing(requested_at, now);
    reporter{owner, "s4", 4}.report_nothing(requested_at, now);
    now += milliseconds(300);
    CHECK(start_all(owner, now).size() == 2);
}
