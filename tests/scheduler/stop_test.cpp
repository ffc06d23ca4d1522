#include "scheduler_simulation.hpp"

#include <catch2/catch.hpp>

#include <string>
#include <vector>

using namespace lacewingquay;
using namespace lacewingquay::test;

namespace
{

worker::server server_of(const std::string& id)
{
    worker::server info;
    info.id = id;
    info.pool = "pool";
    info.born = 1;
    info.capacity = {8'000, 16'000, 0};
    return info;
}

} // namespace

TEST_CASE("the first stop of a run does not wait for the last stop of the run before",
          "[scheduler]")
{
    scheduler::scheduler owner{scheduler::settings{}};
    steady_time now{std::chrono::hours(1)};
    owner.update_server(server_of("s1"), now);
    owner.update_server(server_of("s2"), now);
    owner.add_job(make_job("a", 1, 1, 1'000, milliseconds(500)), nullptr, {}, now);
    const scheduler::batch first = owner.prepare(now, 10);
    REQUIRE(first.starts.size() == 1);
    owner.stored(first, now);
    owner.start_answered(first.starts.front(), worker::order_outcome::unknown, now);
    const std::vector<worker::stop_order> stops = owner.take_stops(now);
    REQUIRE(stops.size() == 1);
    owner.stop_answered(stops.front(), worker::order_outcome::accepted, now);
    now += milliseconds(50);
    worker::report report;
    report.born = 1;
    owner.apply_report(stops.front().server, report, now, now);
    const scheduler::batch second = owner.prepare(now, 10);
    REQUIRE(second.starts.size() == 1);
    owner.stored(second, now);
    owner.start_answered(second.starts.front(), worker::order_outcome::accepted, now);
    now += milliseconds(50);
    owner.cancel_job("a", milliseconds(0), {});
    REQUIRE(owner.take_stops(now).size() == 1);
}

TEST_CASE("a report does not take back the stop of a run whose gang was given up", "[scheduler]")
{
    scheduler::scheduler owner{scheduler::settings{}};
    steady_time now{std::chrono::hours(1)};
    owner.update_server(server_of("s1"), now);
    owner.update_server(server_of("s2"), now);
    job::record record = make_job("a", 1, 2, 1'000, milliseconds(500));
    record.work.steps.front().gang = true;
    record.work.steps.front().max_per_server = 1;
    owner.add_job(std::move(record), nullptr, {}, now);
    const scheduler::batch work = owner.prepare(now, 10);
    REQUIRE(work.starts.size() == 2);
    owner.stored(work, now);
    owner.start_answered(work.starts.front(), worker::order_outcome::no_room, now);
    REQUIRE(owner.take_stops(now).size() == 1);
    now += milliseconds(50);
    const worker::start_order& other = work.starts.back();
    worker::report report;
    report.born = 1;
    report.running.push_back({other.task, other.run, "", 0, 0});
    owner.apply_report(other.server, report, now, now);
    now += milliseconds(500);
    const std::vector<worker::stop_order> stops = owner.take_stops(now);
    REQUIRE(stops.size() == 1);
    CHECK(stops.front().task == other.task);
    CHECK(stops.front().attempt == 2);
}

TEST_CASE("a stop that several events request is sent once", "[scheduler]")
{
    constexpr int task_count = 4'000;
    scheduler::scheduler owner{scheduler::settings{}};
    steady_time now{std::chrono::hours(1)};
    worker::server large = server_of("s1");
    large.capacity = {task_count, 400'000, 0};
    owner.update_server(large, now);
    owner.add_job(make_job("a", 1, task_count, 1, milliseconds(500)), nullptr, {}, now);
    const scheduler::batch work = owner.prepare(now, task_count);
    REQUIRE(work.starts.size() == task_count);
    owner.stored(work, now);
    for (const worker::start_order& order : work.starts)
    {
        owner.start_answered(order, worker::order_outcome::unknown, now);
    }
    owner.cancel_job("a", milliseconds(0), {});
    CHECK(owner.take_stops(now).size() == task_count);
    now += milliseconds(500);
    CHECK(owner.take_stops(now).size() == task_count);
}
