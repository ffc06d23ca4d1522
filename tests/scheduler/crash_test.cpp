#include "scheduler_simulation.hpp"

#include <catch2/catch.hpp>

#include <algorithm>
#include <utility>

using namespace lacewingquay;
using namespace lacewingquay::test;

namespace
{

constexpr job::resources host_capacity{8'000, 16'000, 0};

worker::server make_server(const std::string& id, const std::string& machine, std::int64_t born)
{
    worker::server info;
    info.id = id;
    info.machine = machine;
    info.pool = "pool";
    info.born = born;
    info.capacity = host_capacity;
    return info;
}

/// One server and a job of one task; the task has just been started there.
struct crash_fixture
{
    scheduler::scheduler owner{scheduler::settings{}};
    steady_time now{std::chrono::hours(1)};
    std::int64_t born = 1;

    explicit crash_fixture(int gang_size = 0)
    {
        owner.update_server(make_server("s1", "m", born), now);
        job::record record = make_job("a", 1, std::max(1, gang_size), 1'000, milliseconds(500));
        record.work.steps.front().gang = gang_size > 0;
        owner.add_job(std::move(record), nullptr, {}, now);
        start();
    }

    [[nodiscard]] std::string server() const { return "s" + std::to_string(born); }

    void start()
    {
        now += milliseconds(300);
        const scheduler::batch work = owner.prepare(now, 10);
        owner.stored(work, now);
        for (const worker::start_order& order : work.starts)
        {
            owner.start_answered(order, worker::order_outcome::accepted, now);
        }
    }

    void fail_call(worker::call_failure failure, milliseconds after = milliseconds(10))
    {
        now += after;
        owner.call_unanswered(server(), born, failure, now);
    }

    void replace_server()
    {
        now += milliseconds(3'000);
        ++born;
        owner.update_server(make_server(server(), "m", born), now);
    }

    [[nodiscard]] bool is_failed()
    {
        const scheduler::batch work = owner.prepare(now, 10);
        owner.not_stored(work);
        return std::any_of(work.writes.begin(), work.writes.end(),
                           [](const scheduler::progress_write& write)
                           { return write.reported_state == job::state::failed; });
    }
};

} // namespace

TEST_CASE("a task or gang that crashes each server that starts it is given up", "[scheduler]")
{
    crash_fixture fixture(GENERATE(0, 3));
    fixture.fail_call(worker::call_failure::disconnected);
    fixture.replace_server();
    CHECK_FALSE(fixture.is_failed());
    fixture.start();
    fixture.fail_call(worker::call_failure::disconnected);
    fixture.replace_server();
    CHECK(fixture.is_failed());
}

TEST_CASE("servers that are silent, drained, ended by order or heard of again have not crashed",
          "[scheduler]")
{
    const int kind = GENERATE(0, 1, 2, 3, 4);
    CAPTURE(kind);
    crash_fixture fixture;
    for (int round = 0; round < 6; ++round)
    {
        scheduler::server_state& server = *fixture.owner.find_server(fixture.server());
        server.info.draining = kind == 1;
        server.ending = kind == 2;
        if (kind == 0)
        {
            fixture.fail_call(worker::call_failure::silence);
        }
        else
        {
            fixture.fail_call(worker::call_failure::disconnected,
                              kind == 4 ? milliseconds(2'500) : milliseconds(10));
        }
        if (kind == 3)
        {
            worker::report report;
            report.born = fixture.born;
            fixture.owner.apply_report(fixture.server(), report, fixture.now, fixture.now);
        }
        fixture.replace_server();
        CHECK_FALSE(fixture.is_failed());
        fixture.start();
    }
}

namespace
{

/// A deadly task under owners that each end soon after a crash has been counted.
std::vector<std::string> crash_under_many_owners(std::uint32_t seed, injected_bug bug)
{
    scheduler_simulation simulation(seed, {}, bug);
    simulation.add_servers(4, host_capacity);
    const worker::task_name task{"a", {0, 0, 0}};
    simulation.make_deadly(task);
    simulation.submit(make_job("a", 1, 1, 1'000, milliseconds(600)));
    int crashes = 0;
    for (int step = 0; step < 1'200; ++step)
    {
        simulation.step();
        if (simulation.crashes_under(task) > crashes)
        {
            crashes = simulation.crashes_under(task);
            simulation.run(milliseconds(50));
            simulation.kill_owner();
        }
    }
    return simulation.violations();
}

} // namespace

TEST_CASE("crashes count across takeovers right after each crash", "[scheduler]")
{
    for (std::uint32_t seed = 1; seed <= 50; ++seed)
    {
        CAPTURE(seed);
        CHECK(crash_under_many_owners(seed, injected_bug::none).empty());
    }
}

TEST_CASE("the simulation detects crashes that are not stored", "[scheduler]")
{
    CHECK_FALSE(crash_under_many_owners(1, injected_bug::crashes_not_stored).empty());
}
