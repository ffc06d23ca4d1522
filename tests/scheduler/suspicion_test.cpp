#include "scheduler_simulation.hpp"

#include <catch2/catch.hpp>

#include <string>
#include <utility>

using namespace lacewingquay;
using namespace lacewingquay::test;

namespace
{

worker::server make_server(const std::string& id, const std::string& machine)
{
    worker::server info;
    info.id = id;
    info.machine = machine;
    info.pool = "pool";
    info.endpoint = {"10.0.0.1", 1000};
    info.born = 1;
    info.capacity = {8'000, 16'000, 0};
    return info;
}

job::record make_lasting_job(int number)
{
    job::record record = make_job("job" + std::to_string(number), 1, 1, 1'000, milliseconds(500));
    record.work.steps.front().long_running = true;
    return record;
}

/// A server that runs whatever it is given, and reports it every 50 ms.
class healthy_server
{
public:
    healthy_server(scheduler::scheduler& owner, worker::server info)
        : owner_(owner), info_(std::move(info))
    {
    }

    void run(steady_time& now, milliseconds time)
    {
        for (const steady_time end = now + time; now < end; now += milliseconds(50))
        {
            info_.clock = std::chrono::duration_cast<milliseconds>(now.time_since_epoch());
            owner_.update_server(info_, now);
            owner_.grant_lease(*owner_.find_server(info_.id), now);
            report_.born = info_.born;
            report_.clock = info_.clock;
            owner_.apply_report(info_.id, report_, now, now);
            owner_.advance(now, wall_time{}, milliseconds(0));
            start(owner_.prepare(now, 10), now);
        }
    }

    [[nodiscard]] std::size_t runs() const { return report_.running.size(); }

private:
    void start(const scheduler::batch& work, steady_time now)
    {
        owner_.stored(work, now);
        for (const worker::start_order& order : work.starts)
        {
            if (order.server == info_.id)
            {
                report_.running.push_back({order.task, order.run, "", 100, 0});
                owner_.start_answered(order, worker::order_outcome::accepted, now);
            }
        }
    }

    scheduler::scheduler& owner_;
    worker::server info_;
    worker::report report_;
};

} // namespace

TEST_CASE("suspects of a former owner do not wait forever for servers of their own", "[scheduler]")
{
    scheduler::scheduler owner{scheduler::settings{}};
    steady_time now{std::chrono::hours(1)};
    for (int number = 0; number < 3; ++number)
    {
        // The former owner has given up the run, as its lease had expired.
        job::progress stored;
        stored.reported_state = job::state::running;
        stored.tasks.push_back({{0, 0, 0}, false, 1, 0, 0, "", 0, ""});
        stored.tasks.front().crashes.suspicions.push_back({1, false, false, "m1", "s1", 1});
        owner.add_job(make_lasting_job(number), &stored, milliseconds(0), now);
    }
    healthy_server server(owner, make_server("s2", "m2"));
    server.run(now, milliseconds(6'000));
    CHECK(server.runs() == 3);
}

TEST_CASE("suspects of a crash that is never proved do not wait forever for servers of their own",
          "[scheduler]")
{
    const scheduler::settings timing;
    scheduler::scheduler owner{timing};
    steady_time now{std::chrono::hours(1)};
    owner.update_server(make_server("s1", "m1"), now);
    for (int number = 0; number < 3; ++number)
    {
        owner.add_job(make_lasting_job(number), nullptr, milliseconds(0), now);
    }
    const scheduler::batch work = owner.prepare(now, 10);
    REQUIRE(work.starts.size() == 3);
    owner.stored(work, now);
    owner.grant_lease(*owner.find_server("s1"), now);
    for (const worker::start_order& order : work.starts)
    {
        owner.start_answered(order, worker::order_outcome::accepted, now);
    }
    now += milliseconds(1'000);
    owner.call_unanswered("s1", 1, worker::call_failure::disconnected, now);
    owner.remove_server("s1", now);

    healthy_server server(owner, make_server("s2", "m2"));
    server.run(now, timing.crash_proof_wait + milliseconds(6'000));
    CHECK(server.runs() == 3);
}

TEST_CASE("suspects of one crash do not take turns on a single server for longer than 6 s",
          "[scheduler][!shouldfail]")
{
    scheduler::scheduler owner{scheduler::settings{}};
    steady_time now{std::chrono::hours(1)};
    for (int number = 0; number < 6; ++number)
    {
        job::progress stored;
        stored.reported_state = job::state::running;
        stored.tasks.push_back({{0, 0, 0}, false, 1, 0, 0, "", 0, ""});
        stored.tasks.front().crashes.crashes = 1;
        stored.tasks.front().crashes.crashed_run = 1;
        stored.tasks.front().crashes.suspect = true;
        owner.add_job(make_lasting_job(number), &stored, milliseconds(0), now);
    }
    healthy_server server(owner, make_server("s2", "m2"));
    server.run(now, milliseconds(6'000));
    CHECK(server.runs() == 6);
}
