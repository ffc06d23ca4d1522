#include "core/clock.hpp"
#include "manager/order_permission.hpp"
#include "manager/ownership.hpp"
#include "scheduler/settings.hpp"

#include <catch2/catch.hpp>

#include <ctime>

using namespace lacewingquay;
using namespace lacewingquay::manager;

TEST_CASE("permissions end before another host may act", "[manager]")
{
    const permission_settings values;
    CHECK(values.machine_order_age < ownership_settings{}.failure_timeout);
    CHECK(values.start_age < ownership_settings{}.failure_timeout);
    CHECK(values.lease_age <= scheduler::settings{}.takeover_slack);
}

TEST_CASE("an owner that was paused sends nothing on its old permission", "[manager]")
{
    const ownership_evidence fresh{milliseconds(700), milliseconds(700)};
    CHECK(may_order_machines(fresh));
    CHECK(may_start_runs(fresh));
    CHECK(may_extend_leases(fresh));
    const ownership_evidence paused{milliseconds(4'000), milliseconds(4'000)};
    CHECK_FALSE(may_order_machines(paused));
    CHECK_FALSE(may_start_runs(paused));
    CHECK_FALSE(may_extend_leases(paused));
}

TEST_CASE("an outage of the whole store permits leases but no orders", "[manager]")
{
    const ownership_evidence outage{milliseconds(60'000), milliseconds(600)};
    CHECK(may_extend_leases(outage));
    CHECK_FALSE(may_start_runs(outage));
    CHECK_FALSE(may_order_machines(outage));
}

TEST_CASE("nothing is started by an owner that may not know of cancellations", "[manager]")
{
    // Guards against starts, by an overloaded owner, of jobs that were cancelled seconds before.
    ownership_evidence evidence{milliseconds(100), milliseconds(100)};
    evidence.jobs_age = milliseconds(1'900);
    CHECK(may_start_runs(evidence));
    evidence.jobs_age = milliseconds(2'100);
    CHECK_FALSE(may_start_runs(evidence));
    // Runs that are at work go on, and machines of waves are ordered.
    CHECK(may_extend_leases(evidence));
    CHECK(may_order_machines(evidence));
}

TEST_CASE("the suspend-aware clock counts the time in which the machine is suspended", "[manager]")
{
    const suspend_aware_clock_source clock;
    timespec time{};
    REQUIRE(clock_gettime(CLOCK_BOOTTIME, &time) == 0);
    const steady_time expected{std::chrono::seconds(time.tv_sec) +
                               std::chrono::nanoseconds(time.tv_nsec)};
    CHECK(clock.steady_now() >= expected);
    CHECK(clock.steady_now() < expected + std::chrono::seconds(5));
}
