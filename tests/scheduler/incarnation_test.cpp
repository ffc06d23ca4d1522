#include "scheduler/scheduler.hpp"

#include <catch2/catch.hpp>

#include <chrono>

using namespace lacewingquay;

namespace
{

constexpr steady_time start{std::chrono::hours(1)};

worker::server make_server(std::int64_t born)
{
    worker::server info;
    info.id = "s";
    info.machine = "m";
    info.pool = "pool";
    info.born = born;
    info.capacity = {8'000, 16'000, 0};
    return info;
}

/// Reads a report of the incarnation before its registration.
void report(scheduler::scheduler& owner, std::int64_t born, steady_time now)
{
    worker::report values;
    values.born = born;
    owner.apply_report("s", values, now, now);
}

} // namespace

TEST_CASE("a server that restarts while it is closed is open once its report is read",
          "[scheduler]")
{
    // Guards against a server that stays closed for an order to its predecessor.
    scheduler::scheduler owner{scheduler::settings{}};
    owner.update_server(make_server(1), start);
    owner.find_server("s")->closed = true;
    owner.find_server("s")->ending = true;
    report(owner, 2, start + std::chrono::milliseconds(300));
    owner.update_server(make_server(2), start + std::chrono::milliseconds(400));
    CHECK_FALSE(owner.find_server("s")->closed);
    CHECK_FALSE(owner.find_server("s")->ending);
}

TEST_CASE("a server that restarts after its end is registered although its report is read first",
          "[scheduler]")
{
    // Guards against ignoring the registrations of a live server for 9 s.
    scheduler::scheduler owner{scheduler::settings{}};
    owner.update_server(make_server(1), start);
    owner.end_incarnation("s", 1, start);
    report(owner, 2, start + std::chrono::milliseconds(300));
    owner.update_server(make_server(2), start + std::chrono::milliseconds(400));
    CHECK(owner.find_server("s")->registered);
    // The former incarnation's registration is still ignored.
    owner.remove_server("s", start + std::chrono::milliseconds(500));
    owner.update_server(make_server(1), start + std::chrono::milliseconds(600));
    CHECK_FALSE(owner.find_server("s")->registered);
}
