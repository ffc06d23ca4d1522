#include "scheduler_simulation.hpp"

#include <catch2/catch.hpp>

#include <optional>

using namespace lacewingquay;
using namespace lacewingquay::test;

namespace
{

constexpr steady_time start{std::chrono::hours(1)};

/// An owner with one server and the job "a", whose start order is stored.
struct started_job
{
    started_job()
    {
        server.id = "s";
        server.pool = "pool";
        server.born = 1;
        server.capacity = {8'000, 16'000, 0};
        owner.update_server(server, start);
        owner.add_job(make_job("a", 1, 1, 1'000, milliseconds(500)), nullptr, {}, start);
        work = owner.prepare(start, 10);
        owner.stored(work, start);
    }

    /// An owner that takes over from the progress row `text`.
    [[nodiscard]] scheduler::scheduler successor(const std::string& text) const
    {
        scheduler::scheduler next{scheduler::settings{}};
        next.update_server(server, start);
        const std::optional<job::progress> stored = boost::leaf::try_handle_all(
            [&]() -> boost::leaf::result<std::optional<job::progress>>
            {
                BOOST_LEAF_AUTO(parsed, job::parse_progress(text));
                return std::optional<job::progress>(std::move(parsed));
            },
            [] { return std::optional<job::progress>(); });
        REQUIRE(stored);
        next.add_job(make_job("a", 1, 1, 1'000, milliseconds(500)), &*stored, {}, start);
        return next;
    }

    worker::server server;
    scheduler::scheduler owner{scheduler::settings{}};
    scheduler::batch work;
};

std::int64_t waiting(const scheduler::scheduler& owner)
{
    const scheduler::load_report load = owner.load(start);
    const auto found = load.waiting.find("host/queue/");
    return found == load.waiting.end() ? 0 : found->second;
}

} // namespace

TEST_CASE("a job whose start order was refused or not answered is still counted as waiting",
          "[scheduler]")
{
    using worker::order_outcome;
    for (const order_outcome outcome :
         {order_outcome::no_room, order_outcome::unknown, order_outcome::not_sent})
    {
        started_job subject;
        REQUIRE(subject.work.starts.size() == 1);
        CHECK(waiting(subject.owner) == 1);
        subject.owner.start_answered(subject.work.starts.front(), outcome, start);
        CHECK(waiting(subject.owner) == 1);
    }
    started_job subject;
    subject.owner.start_answered(subject.work.starts.front(), order_outcome::accepted, start);
    CHECK(waiting(subject.owner) == 0);
}

TEST_CASE("a job whose stored start order was never sent is counted as waiting after a takeover",
          "[scheduler]")
{
    const started_job subject;
    scheduler::scheduler next = subject.successor(subject.work.writes.front().text);
    CHECK(waiting(next) == 1);
    worker::report empty;
    empty.born = 1;
    next.apply_report("s", empty, start + milliseconds(10), start + milliseconds(20));
    CHECK(waiting(next) == 1);
}

TEST_CASE("a run that only the new owner sees ends the count of its job as waiting", "[scheduler]")
{
    const started_job subject;
    worker::report listed;
    listed.born = 1;
    listed.running.push_back({{"a", {0, 0, 0}}, 1, "", 0});
    scheduler::scheduler running = subject.successor(subject.work.writes.front().text);
    running.apply_report("s", listed, start + milliseconds(10), start + milliseconds(20));
    CHECK(waiting(running) == 0);
    worker::report ended;
    ended.born = 1;
    ended.ended.push_back({1, {"a", {0, 0, 0}}, 1, worker::end_kind::lapsed, ""});
    scheduler::scheduler lapsed = subject.successor(subject.work.writes.front().text);
    lapsed.apply_report("s", ended, start + milliseconds(10), start + milliseconds(20));
    CHECK(waiting(lapsed) == 0);
}

TEST_CASE("a job that has begun is not counted as waiting again after a takeover", "[scheduler]")
{
    started_job subject;
    subject.owner.start_answered(subject.work.starts.front(), worker::order_outcome::accepted,
                                 start);
    subject.owner.end_incarnation("s", 1, start + milliseconds(100));
    const scheduler::batch lost = subject.owner.prepare(start + milliseconds(200), 10);
    REQUIRE(lost.writes.size() == 1);
    CHECK(waiting(subject.successor(lost.writes.front().text)) == 0);
}

TEST_CASE("every accepted job that no server has begun is in the owner's count, whatever fails",
          "[scheduler]")
{
    fault_rates rates;
    rates.lost_answer = 0.2;
    rates.delayed_order = 0.2;
    rates.server_crash = 0.002;
    rates.server_partitioned = 0.02;
    rates.owner_killed = 0.02;
    rates.store_answer_lost = 0.1;
    rates.store_refuses = 0.1;
    for (std::uint32_t seed = 1; seed <= 40; ++seed)
    {
        scheduler_simulation simulation(seed, rates, injected_bug::none);
        simulation.add_servers(2, {8'000, 16'000, 0});
        for (int index = 0; index < 20; ++index)
        {
            simulation.submit(
                make_job("job" + std::to_string(index), 1, 2, 4'000, milliseconds(600)));
            simulation.run(milliseconds(250));
        }
        simulation.run(milliseconds(6'000));
        CAPTURE(seed);
        CHECK(simulation.violations() == std::vector<std::string>{});
    }
}
