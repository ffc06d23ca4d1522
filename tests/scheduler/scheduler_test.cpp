#include "scheduler_simulation.hpp"

#include <catch2/catch.hpp>
#include <rapidcheck/catch.h>

#include <algorithm>

using namespace lacewingquay;
using namespace lacewingquay::test;

namespace
{

constexpr job::resources host_capacity{8'000, 16'000, 0};

worker::server make_server(const std::string& id, const std::string& machine = "")
{
    worker::server info;
    info.id = id;
    info.machine = machine;
    info.pool = "pool";
    info.born = 1;
    info.capacity = host_capacity;
    return info;
}

fault_rates all_faults()
{
    fault_rates rates;
    rates.lost_answer = 0.05;
    rates.delayed_order = 0.05;
    rates.task_fails = 0.03;
    rates.server_crash = 0.001;
    rates.server_partitioned = 0.002;
    rates.owner_killed = 0.005;
    rates.store_answer_lost = 0.05;
    rates.store_refuses = 0.05;
    return rates;
}

/// Simulates 20 s with faults and 25 s without; returns the violations. Sets `finished` to the
/// number of jobs in a final state.
std::vector<std::string> run_simulation(std::uint32_t seed, fault_rates rates, injected_bug bug,
                                        milliseconds estimate, std::size_t& finished)
{
    scheduler_simulation simulation(seed, rates, bug);
    simulation.add_servers(5, host_capacity);
    for (int index = 0; index < 12; ++index)
    {
        simulation.submit(
            make_job("job" + std::to_string(index), 1 + index % 3, 1 + index % 5, 2'000, estimate));
        simulation.run(milliseconds(400));
    }
    simulation.cancel("job7");
    simulation.run(milliseconds(15'000));
    simulation.stop_faults();
    simulation.run(milliseconds(25'000));
    finished = 0;
    for (int index = 0; index < 12; ++index)
    {
        finished += job::is_final(simulation.reported_state("job" + std::to_string(index))) ? 1 : 0;
    }
    return simulation.violations();
}

/// True if some seed shows a violation for the bug.
bool detects(injected_bug bug, fault_rates rates, milliseconds estimate = milliseconds(600))
{
    for (std::uint32_t seed = 1; seed <= 60; ++seed)
    {
        std::size_t finished = 0;
        if (!run_simulation(seed, rates, bug, estimate, finished).empty())
        {
            return true;
        }
    }
    return false;
}

} // namespace

TEST_CASE("jobs run to their end on healthy servers", "[scheduler]")
{
    scheduler_simulation simulation(1, {}, injected_bug::none);
    simulation.add_servers(2, host_capacity);
    simulation.submit(make_job("a", 3, 4, 2'000, milliseconds(500)));
    simulation.run(milliseconds(3'000));
    CHECK(simulation.reported_state("a") == job::state::completed);
    CHECK(simulation.starts() == 12);
    CHECK(simulation.violations().empty());
}

TEST_CASE("no fault makes a task run twice, early or beyond its attempts", "[scheduler]")
{
    rc::prop("all faults together",
             []
             {
                 const std::uint32_t seed = *rc::gen::arbitrary<std::uint32_t>();
                 std::size_t finished = 0;
                 const std::vector<std::string> violations = run_simulation(
                     seed, all_faults(), injected_bug::none, milliseconds(600), finished);
                 RC_ASSERT(violations == std::vector<std::string>{});
                 RC_ASSERT(finished == 12U);
             });
}

TEST_CASE("an assignment that is not stored yet survives a lease that was never granted",
          "[scheduler]")
{
    // Guards against starting one run twice: the outcome of a second start order, which was not
    // sent, requeued the task while the first order could still be executed.
    scheduler::scheduler owner{scheduler::settings{}};
    const steady_time now{std::chrono::hours(1)};
    owner.update_server(make_server("s"), now);
    owner.add_job(make_job("a", 1, 1, 1'000, milliseconds(500)), nullptr, milliseconds(0), now);
    owner.not_stored(owner.prepare(now, 10));
    owner.advance(now + milliseconds(50), wall_time{}, milliseconds(0));
    const scheduler::batch again = owner.prepare(now + milliseconds(50), 10);
    REQUIRE(again.starts.size() == 1);
    CHECK(again.starts.front().run == 1);
}

TEST_CASE("the simulation detects orders that are not fenced", "[scheduler]")
{
    fault_rates rates = all_faults();
    rates.delayed_order = 0.3;
    rates.owner_killed = 0.02;
    CHECK(detects(injected_bug::no_fencing, rates));
}

TEST_CASE("the simulation detects ends that are acknowledged before they are stored", "[scheduler]")
{
    fault_rates rates = all_faults();
    rates.store_refuses = 0.9;
    rates.owner_killed = 0.03;
    CHECK(detects(injected_bug::ends_acknowledged_before_stored, rates));
}

TEST_CASE("the simulation detects unanswered starts that are treated as not run", "[scheduler]")
{
    CHECK(detects(injected_bug::unanswered_start_is_not_run, all_faults()));
}

TEST_CASE("the simulation detects a takeover that does not wait for unreachable servers",
          "[scheduler]")
{
    fault_rates rates = all_faults();
    rates.server_partitioned = 0.02;
    rates.owner_killed = 0.03;
    CHECK(detects(injected_bug::takeover_without_waiting, rates, milliseconds(3'500)));
}

TEST_CASE("a long-running task is stopped only within its step's disruption budget", "[scheduler]")
{
    // Guards against stopping a second task of a step before the first has reached full speed
    // again: a server's report may be up to 1 s old.
    scheduler_simulation simulation(1, {}, injected_bug::none);
    simulation.add_servers(3, host_capacity);
    job::record record = make_job("lasting", 1, 4, 1'000, milliseconds(500));
    record.work.steps.front().long_running = true;
    record.work.steps.front().max_per_server = 2;
    record.work.steps.front().disruption_budget = 1;
    simulation.submit(record);
    simulation.run(milliseconds(1'500));
    for (const auto& entry : simulation.owner().servers())
    {
        entry.second->closed = true;
        simulation.owner().evacuate(*entry.second);
    }
    CHECK(simulation.owner().take_stops(simulation.now()).size() == 1);
    for (const auto& entry : simulation.owner().servers())
    {
        CHECK_FALSE((entry.second->long_running_tasks > 0 &&
                     simulation.owner().can_interrupt(*entry.second)));
    }
}

TEST_CASE("of two servers with tasks of one step, only one may be interrupted at a time",
          "[scheduler]")
{
    // Guards against choosing two machines of a wave in one round, each within the budget alone.
    scheduler_simulation simulation(1, {}, injected_bug::none);
    simulation.add_servers(2, host_capacity);
    job::record record = make_job("lasting", 1, 2, 1'000, milliseconds(500));
    record.work.steps.front().long_running = true;
    record.work.steps.front().max_per_server = 1;
    record.work.steps.front().disruption_budget = 1;
    simulation.submit(record);
    simulation.run(milliseconds(1'500));
    scheduler::server_state& first = *simulation.owner().find_server("s0");
    scheduler::server_state& second = *simulation.owner().find_server("s1");
    REQUIRE(simulation.owner().can_interrupt(first));
    REQUIRE(simulation.owner().can_interrupt(second));
    first.ending = true;
    CHECK_FALSE(simulation.owner().can_interrupt(second));
}

TEST_CASE("tasks that are starting up count against the disruption budget of their step",
          "[scheduler]")
{
    // The last report shows 0 percent, but the task may be at full speed by now.
    scheduler::scheduler owner{scheduler::settings{}};
    const steady_time now{std::chrono::hours(1)};
    const worker::server info = make_server("s", "m");
    owner.update_server(info, now);
    job::record record = make_job("lasting", 1, 2, 1'000, milliseconds(500));
    record.work.steps.front().long_running = true;
    record.work.steps.front().disruption_budget = 1;
    owner.add_job(record, nullptr, milliseconds(0), now);
    const scheduler::batch work = owner.prepare(now, 10);
    REQUIRE(work.starts.size() == 2);
    owner.stored(work, now);
    worker::report report;
    report.born = 1;
    for (const worker::start_order& order : work.starts)
    {
        owner.start_answered(order, worker::order_outcome::accepted, now);
        report.running.push_back({order.task, order.run, "", 0, 0});
    }
    owner.apply_report("s", report, now + milliseconds(10), now + milliseconds(10));
    CHECK(scheduler::scheduler::has_task_starting_up(*owner.find_server("s")));
    owner.evacuate(*owner.find_server("s"));
    CHECK(owner.take_stops(now + milliseconds(20)).empty());
    CHECK_FALSE(owner.can_interrupt(*owner.find_server("s")));
}

TEST_CASE("a new incarnation of a machine ends the earlier one", "[scheduler]")
{
    // Guards against treating a machine as idle because of the registration of its ended
    // incarnation.
    scheduler::scheduler owner{scheduler::settings{}};
    const steady_time now{std::chrono::hours(1)};
    const worker::server info = make_server("old", "m");
    owner.update_server(info, now);
    worker::server next = info;
    next.id = "new";
    next.born = 2'000;
    owner.update_server(next, now);
    CHECK_FALSE(owner.find_server("old")->registered);
    CHECK(owner.find_server("new")->registered);
    owner.update_server(info, now + milliseconds(100));
    CHECK_FALSE(owner.find_server("old")->registered);
}

TEST_CASE("an ended incarnation that is read after the new one is not used", "[scheduler]")
{
    // Guards against moving a machine that runs tasks: a new owner reads registrations in the order
    // of their ids, took the ended incarnation for the machine's server and found it idle, although
    // the new incarnation ran long-running tasks.
    scheduler::scheduler owner{scheduler::settings{}};
    const steady_time now{std::chrono::hours(1)};
    worker::server info;
    info.id = "a-new";
    info.machine = "m";
    info.pool = "pool";
    info.born = 2'000;
    info.capacity = host_capacity;
    owner.update_server(info, now);
    worker::server ended = info;
    ended.id = "b-old";
    ended.born = 1'000;
    owner.update_server(ended, now);
    CHECK(owner.find_server("a-new")->registered);
    CHECK_FALSE(owner.find_server("b-old")->registered);
}

TEST_CASE("an ended server whose address is in use again is forgotten", "[scheduler]")
{
    // Guards against polling ended servers for ever: each poll is answered by the address's new
    // server, which confirms the end again.
    scheduler::scheduler owner{scheduler::settings{}};
    const steady_time now{std::chrono::hours(1)};
    owner.update_server(make_server("old", "m"), now);
    const scheduler::settings timing;
    for (milliseconds after{0}; after <= timing.max_registration_lag; after += milliseconds(300))
    {
        owner.end_incarnation("old", 1, now + after);
    }
    owner.advance(now + timing.max_registration_lag + milliseconds(1), wall_time{}, {});
    CHECK(owner.find_server("old") == nullptr);
}

TEST_CASE("runs that a takeover restores on an ended server are repeated at once", "[scheduler]")
{
    // Guards against waiting for the longest lease there, 9 s, although the server is known to have
    // ended.
    scheduler::scheduler owner{scheduler::settings{}};
    const steady_time now{std::chrono::hours(1)};
    worker::server next = make_server("new", "m");
    next.born = 2;
    owner.update_server(next, now);
    owner.update_server(make_server("old", "m"), now);
    job::progress stored;
    stored.reported_state = job::state::running;
    stored.tasks.push_back({{0, 0, 0}, false, 1, 0, 0, "old", 1, ""});
    owner.add_job(make_job("a", 1, 1, 1'000, milliseconds(500)), &stored, milliseconds(0), now);
    const scheduler::batch work = owner.prepare(now, 10);
    REQUIRE(work.starts.size() == 1);
    CHECK(work.starts.front().server == "new");
    CHECK(work.starts.front().run == 2);
    owner.stored(work, now);
    owner.end_incarnation("old", 1, now + milliseconds(100));
    CHECK(owner.prepare(now + milliseconds(100), 10).starts.empty());
}

TEST_CASE("an end that is reported again after a takeover counts once", "[scheduler]")
{
    job::record record = make_job("a", 1, 1, 1'000, milliseconds(500));
    record.queue.max_attempts = 2;
    job::progress stored;
    stored.reported_state = job::state::running;
    stored.tasks.push_back({{0, 0, 0}, false, 1, 1, 1, "", 0, ""});
    scheduler::scheduler owner{scheduler::settings{}};
    const steady_time now{std::chrono::hours(1)};
    owner.update_server(make_server("s"), now);
    owner.add_job(record, &stored, milliseconds(0), now);
    worker::report report;
    report.born = 1;
    report.ended.push_back({1, {"a", {0, 0, 0}}, 1, worker::end_kind::failed, ""});
    owner.apply_report("s", report, now, now);
    const scheduler::batch work = owner.prepare(now, 10);
    REQUIRE(work.starts.size() == 1);
    CHECK(work.starts.front().run == 2);
    CHECK(work.writes.front().reported_state == job::state::running);
}

TEST_CASE("under overload, jobs that can be on time go first", "[scheduler]")
{
    // One queue requests more than its pool can do for 4.8 s. First-come, first-served order would
    // finish nearly all jobs late.
    scheduler_simulation simulation(3, {}, injected_bug::none);
    simulation.add_servers(2, host_capacity);
    int on_time = 0;
    std::vector<std::pair<std::string, steady_time>> jobs;
    for (int index = 0; index < 48; ++index)
    {
        job::record record =
            make_job("job" + std::to_string(index), 1, 2, 2'000, milliseconds(1'000));
        record.queue.stretch = 1.6;
        record.queue.objective = milliseconds(600);
        jobs.emplace_back(record.id, simulation.now());
        simulation.submit(record);
        simulation.run(milliseconds(100));
        for (std::pair<std::string, steady_time>& job : jobs)
        {
            if (!job.first.empty() && job::is_final(simulation.reported_state(job.first)))
            {
                on_time += simulation.now() - job.second <= milliseconds(2'200) ? 1 : 0;
                job.first.clear();
            }
        }
    }
    // 4.8 s of 8 slots at 1 s finish about 38 tasks, or 19 jobs of two tasks.
    CHECK(on_time >= 12);
    CHECK(simulation.violations().empty());
}

TEST_CASE("tasks of a queue with advice start only with a valid ticket", "[scheduler]")
{
    scheduler::scheduler owner{scheduler::settings{}};
    const steady_time now{std::chrono::hours(1)};
    for (const char* id : {"s0", "s1"})
    {
        owner.update_server(make_server(id), now);
    }
    job::record record = make_job("a", 1, 2, 1'000, milliseconds(500));
    record.queue.has_advice = true;
    owner.add_job(record, nullptr, milliseconds(0), now);
    CHECK(owner.prepare(now, 10).starts.empty());
    const std::vector<scheduler::advice_request> requests = owner.take_advice_requests();
    REQUIRE(requests.size() == 1);
    CHECK(requests.front().servers.size() == 2);
    CHECK(owner.prepare(now, 10).starts.empty());
    CHECK(owner.take_advice_requests().empty());
    owner.advice_answered(requests.front(), true, {{"s1", "ticket-1"}}, milliseconds(3'000), now);
    const scheduler::batch work = owner.prepare(now, 10);
    REQUIRE(work.starts.size() == 2);
    for (const worker::start_order& order : work.starts)
    {
        CHECK(order.server == "s1");
        CHECK(order.ticket == "ticket-1");
    }
    owner.stored(work, now);
    // After a refused ticket, advice is requested again.
    owner.start_answered(work.starts[0], worker::order_outcome::bad_ticket, now);
    owner.start_answered(work.starts[1], worker::order_outcome::accepted, now);
    CHECK(owner.prepare(now, 10).starts.empty());
    CHECK(owner.take_advice_requests().size() == 1);
}

TEST_CASE("a gang starts as a whole or not at all", "[scheduler]")
{
    scheduler_simulation simulation(1, {}, injected_bug::none);
    simulation.add_servers(2, host_capacity);
    job::record wide = make_job("wide", 1, 9, 2'000, milliseconds(500));
    wide.work.steps.front().gang = true;
    simulation.submit(wide);
    simulation.run(milliseconds(1'000));
    CHECK(simulation.starts() == 0);
    job::record fits = make_job("fits", 1, 8, 2'000, milliseconds(500));
    fits.work.steps.front().gang = true;
    simulation.submit(fits);
    simulation.run(milliseconds(2'000));
    CHECK(simulation.starts() == 8);
    CHECK(simulation.reported_state("fits") == job::state::completed);
}

TEST_CASE("occurrences start when they are due and each is done once", "[scheduler]")
{
    scheduler::scheduler owner{scheduler::settings{}};
    const steady_time now{std::chrono::hours(1)};
    owner.update_server(make_server("s"), now);
    job::record record = make_job("a", 1, 1, 1'000, milliseconds(500));
    record.work.times = {2, 10'000, milliseconds(5'000)};
    owner.add_job(record, nullptr, milliseconds(0), now);
    owner.advance(now, wall_time(milliseconds(9'999)), milliseconds(0));
    CHECK(owner.prepare(now, 10).starts.empty());
    owner.advance(now, wall_time(milliseconds(10'000)), milliseconds(0));
    const scheduler::batch first = owner.prepare(now, 10);
    REQUIRE(first.starts.size() == 1);
    CHECK(first.starts.front().task.position.occurrence == 0);
    owner.stored(first, now);
    REQUIRE(owner.grant_lease(*owner.find_server("s"), now).count() > 0);
    owner.start_answered(first.starts.front(), worker::order_outcome::accepted, now);
    owner.advance(now, wall_time(milliseconds(15'000)), milliseconds(0));
    const scheduler::batch second = owner.prepare(now, 10);
    REQUIRE(second.starts.size() == 1);
    CHECK(second.starts.front().task.position.occurrence == 1);
}

TEST_CASE("jobs count as waiting until their first task has started", "[scheduler]")
{
    // Guards against queue lengths that include running jobs or omit jobs without free capacity.
    scheduler::scheduler owner{scheduler::settings{}};
    const steady_time now{std::chrono::hours(1)};
    owner.update_server(make_server("s1"), now);
    owner.add_job(make_job("a", 1, 1, 8'000, milliseconds(500)), nullptr, {}, now);
    owner.add_job(make_job("b", 1, 1, 8'000, milliseconds(500)), nullptr, {}, now);
    const std::string queue = make_job("a", 1, 1, 1, milliseconds(1)).queue.name;
    CHECK(owner.load(now).waiting[queue] == 2);
    const scheduler::batch work = owner.prepare(now, 90);
    REQUIRE(work.starts.size() == 1);
    CHECK(owner.load(now).waiting[queue] == 2);
    owner.stored(work, now);
    CHECK(owner.load(now).waiting[queue] == 2);
    owner.start_answered(work.starts.front(), worker::order_outcome::accepted, now);
    CHECK(owner.load(now).waiting[queue] == 1);
    owner.cancel_job("a", milliseconds(1));
    owner.cancel_job("b", milliseconds(1));
    CHECK(owner.load(now) == scheduler::load_report{});
}

TEST_CASE("an ended job releases its definition once its final state is stored, and stays known",
          "[scheduler]")
{
    // Guards against a late retry of the caller's request that runs an ended job again.
    scheduler::scheduler owner{scheduler::settings{}};
    const steady_time now{std::chrono::hours(1)};
    owner.add_job(make_job("a", 1, 1, 8'000, milliseconds(500)), nullptr, {}, now);
    owner.cancel_job("a", milliseconds(1'000));
    const scheduler::batch work = owner.prepare(now, 90);
    CHECK(owner.take_ended().empty());
    owner.stored(work, now);
    CHECK(owner.take_ended() == std::vector<std::string>{"a"});
    CHECK(owner.take_ended().empty());
    CHECK(owner.knows_job("a"));
    // After a takeover, only the stored final state is left.
    scheduler::scheduler next{scheduler::settings{}};
    next.add_ended("a", milliseconds(1'000));
    next.add_ended("a", milliseconds(1'000));
    next.add_job(make_job("a", 1, 1, 8'000, milliseconds(500)), nullptr, {}, now);
    CHECK(next.active_jobs() == 0);
    CHECK(next.take_expired(milliseconds(1'500), milliseconds(1'000)).empty());
    CHECK(next.take_expired(milliseconds(2'500), milliseconds(1'000)) ==
          std::vector<std::string>{"a"});
    CHECK_FALSE(next.knows_job("a"));
}

TEST_CASE("a job that is added after its cancellation is not run, and expires", "[scheduler]")
{
    scheduler::scheduler owner{scheduler::settings{}};
    const steady_time now{std::chrono::hours(1)};
    owner.cancel_job("a", milliseconds(1'500), milliseconds(500));
    owner.cancel_job("a", milliseconds(1'600));
    owner.add_job(make_job("a", 1, 1, 8'000, milliseconds(500)), nullptr, {}, now);
    CHECK(owner.active_jobs() == 0);
    CHECK(owner.take_expired(milliseconds(1'900), milliseconds(1'000)).empty());
    CHECK(owner.take_expired(milliseconds(2'500), milliseconds(1'000)) ==
          std::vector<std::string>{"a"});
    CHECK_FALSE(owner.knows_job("a"));
}

TEST_CASE("jobs that tasks or callers wait for are stored before the ends of other tasks",
          "[scheduler]")
{
    // Guards against starts that wait behind many ended tasks while the store is slow: a
    // transaction holds 90 jobs and takes 0.25 s then.
    scheduler::scheduler owner{scheduler::settings{}};
    steady_time now{std::chrono::hours(1)};
    worker::server wide = make_server("s1");
    wide.capacity = {1'000'000, 1'000'000, 0};
    owner.update_server(wide, now);
    for (int number = 0; number < 20; ++number)
    {
        owner.add_job(make_job("busy" + std::to_string(number), 1, 2, 1'000, milliseconds(500)),
                      nullptr, {}, now);
    }
    const scheduler::batch first = owner.prepare(now, 90);
    owner.stored(first, now);
    worker::report report;
    report.born = 1;
    for (const worker::start_order& order : first.starts)
    {
        owner.start_answered(order, worker::order_outcome::accepted, now);
        if (order.task.position.index == 0)
        {
            const std::int64_t number = static_cast<std::int64_t>(report.ended.size()) + 1;
            report.ended.push_back({number, order.task, order.run, worker::end_kind::done, ""});
        }
        else
        {
            report.running.push_back({order.task, order.run, "", 100, 0});
        }
    }
    now += milliseconds(500);
    owner.apply_report("s1", report, now, now);
    owner.add_job(make_job("new", 1, 1, 1'000, milliseconds(500)), nullptr, {}, now);
    owner.cancel_job("busy19", milliseconds(1'000));
    const scheduler::batch next = owner.prepare(now, 2);
    REQUIRE(next.writes.size() == 2);
    std::set<std::string> stored;
    for (const scheduler::progress_write& write : next.writes)
    {
        stored.insert(write.job);
    }
    CHECK(stored == std::set<std::string>{"busy19", "new"});
    CHECK(next.starts.size() == 1);
    // No end is acknowledged to its server before all are stored.
    CHECK(next.acknowledgements.empty());
}

namespace
{

/// Starts the only task of `record` and returns its start order.
worker::start_order start_one(scheduler::scheduler& owner, job::record record, steady_time now)
{
    owner.add_job(std::move(record), nullptr, {}, now);
    const scheduler::batch work = owner.prepare(now, 90);
    REQUIRE(work.starts.size() == 1);
    owner.stored(work, now);
    owner.start_answered(work.starts.front(), worker::order_outcome::accepted, now);
    return work.starts.front();
}

} // namespace

TEST_CASE("a stalled run is stopped and repeated on another server", "[scheduler]")
{
    // Guards against jobs that wait for a task on a server that answers but does no work.
    scheduler::scheduler owner{scheduler::settings{}};
    steady_time now{std::chrono::hours(1)};
    owner.update_server(make_server("s1"), now);
    const worker::start_order order =
        start_one(owner, make_job("a", 1, 1, 1'000, milliseconds(500)), now);
    owner.update_server(make_server("s2"), now);
    worker::report report;
    report.born = 1;
    report.running.push_back({order.task, order.run, "", 30, 0});
    for (int poll = 0; poll < 3; ++poll)
    {
        now += milliseconds(1'000);
        owner.apply_report("s1", report, now, now);
        CHECK(owner.take_stops(now).empty());
    }
    now += milliseconds(1'000);
    owner.apply_report("s1", report, now, now);
    REQUIRE(owner.take_stops(now).size() == 1);
    CHECK(owner.prepare(now, 90).starts.empty());
    report.running.clear();
    report.ended.push_back({1, order.task, order.run, worker::end_kind::stopped, ""});
    now += milliseconds(100);
    owner.apply_report("s1", report, now, now);
    owner.update_server(make_server("s2"), now);
    const scheduler::batch again = owner.prepare(now, 90);
    REQUIRE(again.starts.size() == 1);
    CHECK(again.starts.front().server == "s2");
    CHECK(again.starts.front().run == 2);
}

TEST_CASE("a slow run is not stopped, and its server is avoided", "[scheduler]")
{
    // Guards against discarding the work of a run that would finish.
    scheduler::scheduler owner{scheduler::settings{}};
    steady_time now{std::chrono::hours(1)};
    owner.update_server(make_server("s1"), now);
    const worker::start_order order =
        start_one(owner, make_job("a", 1, 1, 1'000, milliseconds(500)), now);
    worker::report report;
    report.born = 1;
    for (int percent = 1; percent <= 8; ++percent)
    {
        now += milliseconds(1'000);
        report.running = {{order.task, order.run, "", percent, 0}};
        owner.apply_report("s1", report, now, now);
        CHECK(owner.take_stops(now).empty());
    }
    CHECK(owner.find_server("s1")->avoid_until > now);
    worker::server other = make_server("s2");
    owner.update_server(other, now);
    const worker::start_order next =
        start_one(owner, make_job("b", 1, 1, 1'000, milliseconds(500)), now);
    CHECK(next.server == "s2");
}

TEST_CASE("a run on a server that restarts is fenced before it is repeated", "[scheduler]")
{
    // Guards against two runs of one task: a start order addresses the server by its id, which the
    // new incarnation shares, so an order still in the network starts the run there.
    scheduler::scheduler owner{scheduler::settings{}};
    steady_time now{std::chrono::hours(1)};
    owner.update_server(make_server("s1"), now);
    owner.add_job(make_job("a", 1, 1, 1'000, milliseconds(500)), nullptr, {}, now);
    const scheduler::batch work = owner.prepare(now, 90);
    REQUIRE(work.starts.size() == 1);
    owner.stored(work, now);
    worker::report report;
    report.born = 2'000;
    now += milliseconds(5);
    owner.apply_report("s1", report, now, now);
    owner.update_server(make_server("s2"), now);
    CHECK(owner.prepare(now, 90).starts.empty());
    const std::vector<worker::stop_order> stops = owner.take_stops(now);
    REQUIRE(stops.size() == 1);
    CHECK(stops.front().run == 1);
    CHECK(stops.front().server_born == 2'000);
    owner.stop_answered(stops.front(), worker::order_outcome::accepted, now);
    CHECK(owner.prepare(now, 90).starts.empty());
    now += milliseconds(50);
    owner.apply_report("s1", report, now, now);
    const scheduler::batch again = owner.prepare(now, 90);
    REQUIRE(again.starts.size() == 1);
    CHECK(again.starts.front().run == 2);
}

TEST_CASE("after a takeover, a run on a restarted server waits for the server's first report",
          "[scheduler]")
{
    // Guards against two runs of one task: until the new incarnation has answered the new owner, it
    // accepts orders of the former owner.
    const steady_time now{std::chrono::hours(1)};
    job::progress stored;
    stored.reported_state = job::state::running;
    stored.tasks.push_back({});
    stored.tasks.front().run = 1;
    stored.tasks.front().server = "s1";
    stored.tasks.front().server_born = 1;
    scheduler::scheduler owner{scheduler::settings{}};
    worker::server reborn = make_server("s1");
    reborn.born = 2'000;
    owner.update_server(reborn, now);
    owner.update_server(make_server("s2"), now);
    owner.add_job(make_job("a", 1, 1, 1'000, milliseconds(500)), &stored, {}, now);
    CHECK(owner.prepare(now, 90).starts.empty());
    worker::report report;
    report.born = 2'000;
    const steady_time later = now + milliseconds(20);
    owner.apply_report("s1", report, later, later);
    CHECK(owner.prepare(later, 90).starts.size() == 1);
}

TEST_CASE("a lease on a server with a slow clock that was idle for long ends in time",
          "[scheduler]")
{
    // Guards against two runs of one task: an idle server is not polled, and its clock falls behind
    // the offset measured before by 2% of the idle time. Its leases then outlasted their assumed
    // end.
    const scheduler::settings values;
    const steady_time registered{std::chrono::hours(1)};
    for (const int idle_seconds : {0, 5, 18, 60, 130})
    {
        scheduler::scheduler owner(values);
        owner.update_server(make_server("s"), registered);
        scheduler::server_state* server = owner.find_server("s");
        REQUIRE(server != nullptr);
        const steady_time now = registered + std::chrono::seconds(idle_seconds);
        const milliseconds deadline = owner.grant_lease(*server, now);
        // The server's clock showed zero when it registered.
        const milliseconds lapses_after(static_cast<std::int64_t>(
            static_cast<double>(deadline.count()) / (1.0 - values.clock_drift)));
        CHECK(registered + lapses_after <= server->lease_end);
    }
}

TEST_CASE("a long-running task without room calls for another machine", "[scheduler]")
{
    // Guards against a task that lasts and waits although machines of other pools are free: no
    // server of its pool had enough free memory, which was taken for a matter of time.
    scheduler::scheduler owner{scheduler::settings{}};
    const steady_time now{std::chrono::hours(1)};
    owner.update_server(make_server("s"), now);
    const auto add = [&](const std::string& id, bool long_running)
    {
        job::record record = make_job(id, 1, 1, 1'000, milliseconds(500));
        record.work.steps.front().request.memory = host_capacity.memory;
        record.work.steps.front().long_running = long_running;
        owner.add_job(std::move(record), nullptr, {}, now);
    };
    add("fills", true);
    owner.stored(owner.prepare(now, 10), now);
    add("short", false);
    static_cast<void>(owner.prepare(now, 10));
    CHECK(owner.pool_loads()["pool"].unplaceable == 0);
    add("lasts", true);
    static_cast<void>(owner.prepare(now, 10));
    CHECK(owner.pool_loads()["pool"].unplaceable == 1);
}

TEST_CASE("a closed server counts as capacity for its own runs only", "[scheduler]")
{
    scheduler::scheduler owner{scheduler::settings{}};
    const steady_time now{std::chrono::hours(1)};
    owner.update_server(make_server("s"), now);
    owner.add_job(make_job("a", 1, 1, 1'000, milliseconds(500)), nullptr, {}, now);
    static_cast<void>(owner.prepare(now, 10));
    CHECK(owner.pool_loads()["pool"].capacity.cpu == host_capacity.cpu);
    owner.find_server("s")->closed = true;
    CHECK(owner.pool_loads()["pool"].capacity.cpu == 1'000);
}

TEST_CASE("a long-running task avoids servers that are due for maintenance", "[scheduler]")
{
    // Guards against tasks that are evacuated from one machine of a wave to another one; each move
    // uses up their step's disruption budget again, and the wave is late.
    scheduler::scheduler owner{scheduler::settings{}};
    const steady_time now{std::chrono::hours(1)};
    owner.update_server(make_server("s1"), now);
    owner.update_server(make_server("s2"), now);
    const auto place = [&](const std::string& id)
    {
        job::record record = make_job(id, 1, 1, 1'000, milliseconds(500));
        record.work.steps.front().long_running = true;
        owner.add_job(std::move(record), nullptr, {}, now);
        const scheduler::batch work = owner.prepare(now, 10);
        owner.stored(work, now);
        return work.starts.empty() ? std::string() : work.starts.front().server;
    };
    const std::string first = place("a");
    REQUIRE(place("b") == first);
    owner.find_server(first)->maintenance_due = true;
    CHECK(place("c") != first);
}

TEST_CASE("a server counts as stopping until its stopped runs have ended", "[scheduler]")
{
    // Guards against a maintenance that overtakes the stops on its machine: whether the runs had
    // ended stayed unknown until their lease expired, and their steps' budgets were used up so
    // long.
    scheduler::scheduler owner{scheduler::settings{}};
    steady_time now{std::chrono::hours(1)};
    owner.update_server(make_server("s"), now);
    job::record record = make_job("a", 1, 2, 1'000, milliseconds(500));
    record.work.steps.front().long_running = true;
    record.work.steps.front().disruption_budget = 1;
    owner.add_job(std::move(record), nullptr, {}, now);
    const scheduler::batch work = owner.prepare(now, 10);
    owner.stored(work, now);
    worker::report report;
    report.born = 1;
    for (const worker::start_order& order : work.starts)
    {
        report.running.push_back({order.task, order.run, "", 100});
    }
    now += milliseconds(50);
    owner.apply_report("s", report, now, now);
    scheduler::server_state& server = *owner.find_server("s");
    CHECK_FALSE(scheduler::scheduler::has_task_stopping(server));
    owner.evacuate(server);
    CHECK(scheduler::scheduler::has_task_stopping(server));
    const std::vector<worker::stop_order> stops = owner.take_stops(now);
    REQUIRE(stops.size() == 1);
    std::erase_if(report.running, [&](const worker::running_task& entry)
                  { return entry.task == stops.front().task; });
    report.ended.push_back({1, stops.front().task, 1, worker::end_kind::stopped, "checkpoint"});
    now += milliseconds(900);
    owner.apply_report("s", report, now, now);
    CHECK(server.tasks.size() == 1);
    CHECK_FALSE(scheduler::scheduler::has_task_stopping(server));
}

TEST_CASE("a server whose last run has just been told to stop is not interrupted", "[scheduler]")
{
    // Guards against a maintenance in the same round as the stop: the server gave no proof of its
    // end, and a new owner repeated the run only 12 s later (trouble-2 of pwani-scent-grown).
    scheduler::scheduler owner{scheduler::settings{}};
    steady_time now{std::chrono::hours(1)};
    owner.update_server(make_server("s1"), now);
    owner.update_server(make_server("s2"), now);
    job::record record = make_job("a", 1, 2, 1'000, milliseconds(500));
    record.work.steps.front().long_running = true;
    record.work.steps.front().disruption_budget = 1;
    record.work.steps.front().max_per_server = 1;
    owner.add_job(std::move(record), nullptr, {}, now);
    const scheduler::batch work = owner.prepare(now, 10);
    REQUIRE(work.starts.size() == 2);
    owner.stored(work, now);
    now += milliseconds(50);
    for (const worker::start_order& order : work.starts)
    {
        worker::report report;
        report.born = 1;
        report.running.push_back({order.task, order.run, "", 100});
        owner.apply_report(order.server, report, now, now);
    }
    scheduler::server_state& server = *owner.find_server("s1");
    REQUIRE(owner.can_interrupt(server));
    owner.evacuate(server);
    CHECK(owner.can_interrupt(server));
    CHECK(scheduler::scheduler::has_task_stopping(server));
}
