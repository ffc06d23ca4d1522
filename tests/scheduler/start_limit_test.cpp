#include "scheduler_simulation.hpp"

#include <catch2/catch.hpp>

using namespace lacewingquay;
using namespace lacewingquay::test;

namespace
{

worker::server make_server()
{
    worker::server info;
    info.id = "s";
    info.machine = "m";
    info.pool = "pool";
    info.born = 1;
    info.capacity = {8'000, 16'000, 0};
    return info;
}

} // namespace

TEST_CASE("the rest of a job does not wait for the next planning interval", "[scheduler]")
{
    scheduler::scheduler owner{scheduler::settings{}};
    const steady_time now{std::chrono::hours(1)};
    owner.update_server(make_server(), now);
    owner.add_job(make_job("a", 1, 8, 1'000, milliseconds(500)), nullptr, milliseconds(0), now);
    const scheduler::batch first = owner.prepare(now, 10, 3);
    CHECK(first.starts.size() == 3);
    owner.stored(first, now);
    CHECK(owner.prepare(now + milliseconds(1), 10, 3).starts.size() == 3);
}

TEST_CASE("a task that no server can run keeps asking for a machine while no start is permitted",
          "[scheduler]")
{
    scheduler::scheduler owner{scheduler::settings{}};
    const steady_time now{std::chrono::hours(1)};
    owner.update_server(make_server(), now);
    job::record record = make_job("a", 1, 1, 9'000, milliseconds(500));
    record.work.steps.front().long_running = true;
    owner.add_job(std::move(record), nullptr, milliseconds(0), now);
    CHECK(owner.prepare(now, 10).starts.empty());
    REQUIRE(owner.pool_loads().at("pool").unplaceable == 1);
    CHECK(owner.prepare(now + milliseconds(300), 10, 0).starts.empty());
    CHECK(owner.pool_loads().at("pool").unplaceable == 1);
}
