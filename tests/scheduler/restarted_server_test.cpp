#include "scheduler_simulation.hpp"

#include <catch2/catch.hpp>

using namespace lacewingquay;
using namespace lacewingquay::test;

namespace
{

worker::server make_server(std::int64_t born)
{
    worker::server info;
    info.id = "s";
    info.machine = "m";
    info.pool = "pool";
    info.endpoint = {"10.0.0.1", 1000};
    info.born = born;
    info.capacity = {8'000, 16'000, 0};
    return info;
}

worker::report make_report(std::int64_t born)
{
    worker::report report;
    report.born = born;
    return report;
}

/// True if the owner gives a new task to the server.
bool is_used(scheduler::scheduler& owner, steady_time now)
{
    owner.add_job(make_job("a", 1, 1, 1'000, milliseconds(500)), nullptr, milliseconds(0), now);
    return owner.prepare(now, 10).starts.size() == 1;
}

} // namespace

TEST_CASE("a server that reports before it registers again is not taken for the ended incarnation",
          "[scheduler]")
{
    scheduler::scheduler owner{scheduler::settings{}};
    const steady_time now{std::chrono::hours(1)};
    owner.update_server(make_server(1), now);
    owner.end_incarnation("s", 1, now);
    owner.apply_report("s", make_report(1'000), now, now);
    owner.update_server(make_server(1'000), now);
    CHECK(is_used(owner, now));
}

TEST_CASE("a server that reports before it registers again is not closed like the one before",
          "[scheduler]")
{
    scheduler::scheduler owner{scheduler::settings{}};
    const steady_time now{std::chrono::hours(1)};
    owner.update_server(make_server(1), now);
    owner.find_server("s")->closed = true;
    owner.find_server("s")->ending = true;
    owner.apply_report("s", make_report(1'000), now, now);
    owner.update_server(make_server(1'000), now);
    CHECK_FALSE(owner.find_server("s")->ending);
    CHECK(is_used(owner, now));
}
