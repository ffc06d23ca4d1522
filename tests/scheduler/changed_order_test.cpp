#include "scheduler_simulation.hpp"

#include <catch2/catch.hpp>
#include <rapidcheck/catch.h>

#include <string>
#include <vector>

using namespace lacewingquay;
using namespace lacewingquay::test;

/// What changes while a start order waits for its transaction or for its connection.
namespace
{

constexpr job::resources host_capacity{8'000, 16'000, 0};

worker::server make_server(const std::string& id, std::int64_t born)
{
    worker::server info;
    info.id = id;
    info.machine = "m" + id;
    info.pool = "pool";
    info.endpoint = {"10.0.0.1", 1'000};
    info.born = born;
    info.capacity = host_capacity;
    return info;
}

/// Two servers and a gang of two tasks, one on each, whose start is being stored.
struct planned_gang
{
    planned_gang()
    {
        job::record record = make_job("a", 1, 2, 1'000, milliseconds(500));
        record.work.steps.front().gang = true;
        record.work.steps.front().max_per_server = 1;
        owner.update_server(make_server("s1", 1), now);
        owner.update_server(make_server("s2", 1), now);
        owner.add_job(std::move(record), nullptr, milliseconds(0), now);
        work = owner.prepare(now, 10);
        REQUIRE(work.starts.size() == 2);
    }

    int due(const scheduler::batch& batch)
    {
        int count = 0;
        for (const worker::start_order& order : batch.starts)
        {
            count += owner.is_start_due(order) ? 1 : 0;
        }
        return count;
    }

    scheduler::scheduler owner{scheduler::settings{}};
    steady_time now{std::chrono::hours(1)};
    scheduler::batch work;
};

std::vector<std::string> play(std::uint32_t seed, injected_bug bug)
{
    fault_rates rates;
    rates.slow_commit = 0.6;
    rates.server_crash = 0.01;
    rates.lost_answer = 0.03;
    rates.delayed_order = 0.03;
    rates.store_refuses = 0.05;
    rates.owner_killed = 0.002;
    scheduler_simulation simulation(seed, rates, bug);
    simulation.add_servers(5, host_capacity);
    for (int index = 0; index < 12; ++index)
    {
        const std::string id = "job" + std::to_string(index);
        job::record record = make_job(id, 1, 2 + index % 3, 1'000, milliseconds(400));
        record.work.steps.front().gang = index % 2 == 0;
        record.work.steps.front().max_per_server = 1;
        simulation.submit(std::move(record));
        simulation.run(milliseconds(50 * (seed % 7)));
        if (index % 4 == 3)
        {
            simulation.cancel(id);
        }
        simulation.run(milliseconds(300));
    }
    simulation.run(milliseconds(4'000));
    simulation.stop_faults();
    simulation.run(milliseconds(12'000));
    return simulation.violations();
}

} // namespace

TEST_CASE("the orders of a gang that was given up during their commit are not due", "[scheduler]")
{
    // Guards against tasks that run twice: these orders would go out beside those of the next run.
    planned_gang gang;
    gang.owner.update_server(make_server("s1", 2), gang.now);
    gang.owner.stored(gang.work, gang.now);
    CHECK(gang.due(gang.work) == 0);
    const scheduler::batch next = gang.owner.prepare(gang.now, 10);
    REQUIRE(next.starts.size() == 2);
    gang.owner.stored(next, gang.now);
    CHECK(gang.due(gang.work) == 0);
    CHECK(gang.due(next) == 2);
}

TEST_CASE("an order is not due once its job is cancelled", "[scheduler]")
{
    // Guards against starts of cancelled jobs, which overrun servers as their capacity is released.
    planned_gang during_commit;
    during_commit.owner.cancel_job("a", milliseconds(1));
    during_commit.owner.stored(during_commit.work, during_commit.now);
    CHECK(during_commit.due(during_commit.work) == 0);
    planned_gang after_commit;
    after_commit.owner.stored(after_commit.work, after_commit.now);
    CHECK(after_commit.due(after_commit.work) == 2);
    after_commit.owner.cancel_job("a", milliseconds(1));
    CHECK(after_commit.due(after_commit.work) == 0);
    // What is not sent keeps no capacity.
    for (const worker::start_order& order : after_commit.work.starts)
    {
        after_commit.owner.start_answered(order, worker::order_outcome::withdrawn,
                                          after_commit.now);
    }
    CHECK(after_commit.owner.find_server("s1")->used == job::resources{});
    CHECK(after_commit.owner.find_server("s2")->used == job::resources{});
}

TEST_CASE("an order is not due once its server drains or is about to be ended", "[scheduler]")
{
    planned_gang drained;
    drained.owner.stored(drained.work, drained.now);
    worker::server draining = make_server("s1", 1);
    draining.draining = true;
    drained.owner.update_server(draining, drained.now);
    CHECK(drained.due(drained.work) == 1);
    planned_gang closed;
    closed.owner.stored(closed.work, closed.now);
    closed.owner.find_server("s2")->closed = true;
    CHECK(closed.due(closed.work) == 1);
}

TEST_CASE("a stop is not due once its run is wanted again", "[scheduler]")
{
    // Guards against the stop of a run that was only slow to answer.
    planned_gang gang;
    gang.owner.stored(gang.work, gang.now);
    const worker::start_order& order = gang.work.starts.front();
    gang.owner.start_answered(order, worker::order_outcome::unknown, gang.now);
    const std::vector<worker::stop_order> stops = gang.owner.take_stops(gang.now);
    REQUIRE(stops.size() == 1);
    CHECK(gang.owner.is_stop_due(stops.front()));
    worker::report report;
    report.born = 1;
    report.running.push_back({order.task, order.run, "", 10, 0});
    gang.now += milliseconds(100);
    gang.owner.apply_report(order.server, report, gang.now, gang.now);
    CHECK_FALSE(gang.owner.is_stop_due(stops.front()));
}

TEST_CASE("an evacuation is given up if its budget is used up before its stop is sent",
          "[scheduler]")
{
    // Guards against more tasks that are away than the budget allows: the stop waits for a commit.
    scheduler::scheduler owner{scheduler::settings{}};
    steady_time now{std::chrono::hours(1)};
    owner.update_server(make_server("s1", 1), now);
    owner.update_server(make_server("s2", 1), now);
    job::record record = make_job("a", 1, 2, 1'000, milliseconds(500));
    record.work.steps.front().long_running = true;
    record.work.steps.front().max_per_server = 1;
    record.work.steps.front().disruption_budget = 1;
    owner.add_job(std::move(record), nullptr, milliseconds(0), now);
    const scheduler::batch work = owner.prepare(now, 10);
    REQUIRE(work.starts.size() == 2);
    owner.stored(work, now);
    now += milliseconds(100);
    for (const worker::start_order& order : work.starts)
    {
        worker::report report;
        report.born = 1;
        report.running.push_back({order.task, order.run, "", 100, 0});
        owner.apply_report(order.server, report, now, now);
    }
    owner.evacuate(*owner.find_server("s1"));
    owner.call_unanswered("s2", 1, worker::call_failure::silence, now);
    CHECK(owner.take_stops(now).empty());
    CHECK_FALSE(scheduler::scheduler::has_task_stopping(*owner.find_server("s1")));
}

TEST_CASE("no change during a commit makes a task run twice or starts a cancelled job",
          "[scheduler]")
{
    rc::prop("changes at random times",
             []
             {
                 const std::uint32_t seed = *rc::gen::inRange<std::uint32_t>(0, 1'000'000'000);
                 RC_ASSERT(play(seed, injected_bug::none) == std::vector<std::string>{});
             });
}

TEST_CASE("the simulation detects start orders that are sent as planned", "[scheduler]")
{
    bool is_detected = false;
    for (std::uint32_t seed = 1; seed <= 40 && !is_detected; ++seed)
    {
        is_detected = !play(seed, injected_bug::orders_not_checked).empty();
    }
    CHECK(is_detected);
}
