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
    const ownership_evidence fresh{milliseconds(700), false, false};
    CHECK(may_order_machines(fresh));
    CHECK(may_start_runs(fresh));
    CHECK(may_extend_leases(fresh));
    const ownership_evidence paused{milliseconds(4'000), false, false};
    CHECK_FALSE(may_order_machines(paused));
    CHECK_FALSE(may_start_runs(paused));
    CHECK_FALSE(may_extend_leases(paused));
}

TEST_CASE("an owner that alone has lost the store stops extending leases", "[manager]")
{
    // Guards against runs that an owner in a cut zone keeps alive for as long as the cut lasts,
    // while a new owner, which cannot reach their servers, repeats them.
    CHECK_FALSE(may_extend_leases({milliseconds(3'000), true, true}));
    // In an outage for all hosts nobody can take over.
    CHECK(may_extend_leases({milliseconds(60'000), true, false}));
    CHECK_FALSE(may_start_runs({milliseconds(60'000), true, false}));
}

TEST_CASE("an owner that was paused does not rely on an outage seen before the pause", "[manager]")
{
    // Guards against leases that outlast the time after which the next owner repeats their runs.
    CHECK(may_extend_leases({milliseconds(60'000), true, false, milliseconds(2'400)}));
    CHECK_FALSE(may_extend_leases({milliseconds(5'000), true, false, milliseconds(5'000)}));
    const permission_settings values;
    CHECK(values.outage_age <
          ownership_settings{}.failure_timeout + scheduler::settings{}.takeover_slack);
}

TEST_CASE("nothing is started by an owner that may not know of cancellations", "[manager]")
{
    // Guards against starts, by an overloaded owner, of jobs that were cancelled seconds before.
    ownership_evidence evidence{milliseconds(100), false, false};
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
