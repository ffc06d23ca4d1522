#include "scheduler_simulation.hpp"

#include <catch2/catch.hpp>

#include <string>

using namespace lacewingquay;
using namespace lacewingquay::test;

namespace
{

worker::server make_server(const std::string& id, const std::string& machine, std::int64_t born)
{
    worker::server info;
    info.id = id;
    info.machine = machine;
    info.pool = "pool";
    info.endpoint = {"10.0.0.1", 1000};
    info.born = born;
    info.capacity = {8'000, 16'000, 0};
    return info;
}

/// Returns the progress after a long-running task has been assigned to `server`.
job::progress assign_run(const worker::server& server, const job::record& record, steady_time now)
{
    scheduler::scheduler owner{scheduler::settings{}};
    owner.update_server(server, now);
    owner.add_job(record, nullptr, milliseconds(0), now);
    const scheduler::batch work = owner.prepare(now, 10);
    REQUIRE(work.starts.size() == 1);
    return boost::leaf::try_handle_all([&]() -> boost::leaf::result<job::progress>
                                       { return job::parse_progress(work.writes.front().text); },
                                       []
                                       {
                                           FAIL("the progress cannot be read");
                                           return job::progress{};
                                       });
}

job::record make_lasting_job()
{
    job::record record = make_job("a", 1, 1, 1'000, milliseconds(500));
    record.work.steps.front().long_running = true;
    return record;
}

} // namespace

TEST_CASE("a stored run does not wait for a server that another has replaced before a takeover",
          "[scheduler]")
{
    const steady_time now{std::chrono::hours(1)};
    const job::record record = make_lasting_job();
    const job::progress stored = assign_run(make_server("s1", "m", 1), record, now);

    scheduler::scheduler owner{scheduler::settings{}};
    owner.update_server(make_server("s2", "m", 1'000), now);
    owner.add_job(record, &stored, milliseconds(0), now);
    owner.advance(now + milliseconds(50), wall_time{}, milliseconds(0));
    const scheduler::batch work = owner.prepare(now + milliseconds(50), 10);
    REQUIRE(work.starts.size() == 1);
    CHECK(work.starts.front().server == "s2");
    CHECK(work.starts.front().run == 2);
}

TEST_CASE("a stored run does not wait for a server that another replaces after a takeover",
          "[scheduler]")
{
    const steady_time now{std::chrono::hours(1)};
    const job::record record = make_lasting_job();
    const job::progress stored = assign_run(make_server("s1", "m", 1), record, now);

    scheduler::scheduler owner{scheduler::settings{}};
    owner.add_job(record, &stored, milliseconds(0), now);
    owner.update_server(make_server("s2", "m", 1'000), now + milliseconds(50));
    owner.advance(now + milliseconds(50), wall_time{}, milliseconds(0));
    const scheduler::batch work = owner.prepare(now + milliseconds(50), 10);
    REQUIRE(work.starts.size() == 1);
    CHECK(work.starts.front().server == "s2");
}

TEST_CASE("a stored run does not wait for a server that is known to have ended when it is restored",
          "[scheduler]")
{
    const steady_time now{std::chrono::hours(1)};
    const job::record record = make_lasting_job();
    const job::progress stored = assign_run(make_server("s1", "m", 1), record, now);

    // The registration of the former server outlives it.
    scheduler::scheduler owner{scheduler::settings{}};
    owner.update_server(make_server("s1", "m", 1), now);
    owner.update_server(make_server("s2", "m", 1'000), now);
    owner.add_job(record, &stored, milliseconds(0), now);
    owner.advance(now + milliseconds(50), wall_time{}, milliseconds(0));
    const scheduler::batch work = owner.prepare(now + milliseconds(50), 10);
    REQUIRE(work.starts.size() == 1);
    CHECK(work.starts.front().server == "s2");
}

TEST_CASE("a stored run on a server without a successor is repeated only after its lease",
          "[scheduler]")
{
    const steady_time now{std::chrono::hours(1)};
    const job::record record = make_lasting_job();
    const job::progress stored = assign_run(make_server("s1", "m", 1'000), record, now);

    // Another machine's server, and an earlier one of the same machine, are no evidence.
    scheduler::scheduler owner{scheduler::settings{}};
    owner.update_server(make_server("s2", "m2", 2'000), now);
    owner.update_server(make_server("s0", "m", 500), now);
    owner.add_job(record, &stored, milliseconds(0), now);
    owner.advance(now + milliseconds(8'000), wall_time{}, milliseconds(0));
    CHECK(owner.prepare(now + milliseconds(8'000), 10).starts.empty());
    owner.update_server(make_server("s2", "m2", 2'000), now + milliseconds(9'000));
    owner.advance(now + milliseconds(9'000), wall_time{}, milliseconds(0));
    CHECK(owner.prepare(now + milliseconds(9'000), 10).starts.size() == 1);
}
