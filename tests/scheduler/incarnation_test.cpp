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

TEST_CASE("a live server that was taken for ended is not ignored for ever", "[scheduler]")
{
    // Guards against a server that is of use to the next owner only.
    scheduler::scheduler owner{scheduler::settings{}};
    owner.update_server(make_server(1), start);
    owner.end_incarnation("s", 1, start);
    steady_time now = start;
    constexpr std::chrono::milliseconds heartbeat{1'500};
    while (now <= start + scheduler::settings{}.max_registration_lag)
    {
        now += heartbeat;
        owner.advance(now, wall_time{}, {});
        owner.update_server(make_server(1), now);
    }
    CHECK(owner.find_server("s")->registered);
}

TEST_CASE("a server whose clock is behind that of its machine's former one is not ignored for ever",
          "[scheduler]")
{
    // Guards against taking it for an ended one as long as it registers.
    scheduler::scheduler owner{scheduler::settings{}};
    worker::server former = make_server(10'000);
    former.id = "former";
    owner.update_server(former, start);
    owner.update_server(make_server(5'000), start);
    owner.remove_server("former", start);
    for (steady_time now = start; now <= start + std::chrono::milliseconds(9'500);
         now += std::chrono::milliseconds(100))
    {
        owner.advance(now, wall_time{}, {});
        owner.update_server(make_server(5'000), now);
    }
    CHECK(owner.find_server("s")->registered);
}
