#include "scheduler_simulation.hpp"

#include <catch2/catch.hpp>

#include <string>
#include <vector>

using namespace lacewingquay;
using namespace lacewingquay::test;

namespace
{

worker::server server_of(const std::string& id)
{
    worker::server info;
    info.id = id;
    info.pool = "pool";
    info.born = 1;
    info.capacity = {8'000, 16'000, 0};
    return info;
}

} // namespace

TEST_CASE("the first stop of a run does not wait for the last stop of the run before",
          "[scheduler]")
{
    scheduler::scheduler owner{scheduler::settings{}};
    steady_time now{std::chrono::hours(1)};
    owner.update_server(server_of("s1"), now);
    owner.update_server(server_of("s2"), now);
    owner.add_job(make_job("a", 1, 1, 1'000, milliseconds(500)), nullptr, {}, now);
    const scheduler::batch first = owner.prepare(now, 10);
    REQUIRE(first.starts.size() == 1);
    owner.stored(first, now);
    owner.start_answered(first.starts.front(), worker::order_outcome::unknown, now);
    const std::vector<worker::stop_order> stops = owner.take_stops(now);
    REQUIRE(stops.size() == 1);
    owner.stop_answered(stops.front(), worker::order_outcome::accepted, now);
    now += milliseconds(50);
    worker::report report;
    report.born = 1;
    owner.apply_report(stops.front().server, report, now, now);
    const scheduler::batch second = owner.prepare(now, 10);
    REQUIRE(second.starts.size() == 1);
    owner.stored(second, now);
    owner.start_answered(second.starts.front(), worker::order_outcome::accepted, now);
    now += milliseconds(50);
    owner.cancel_job("a", milliseconds(0), {});
    REQUIRE(owner.take_stops(now).size() == 1);
}
