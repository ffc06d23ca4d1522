#include "manager/order_permission.hpp"
#include "manager/ownership.hpp"
#include "manager/sole_ownership.hpp"
#include "scheduler/settings.hpp"

#include <catch2/catch.hpp>

#include <vector>

using namespace lacewingquay;
using namespace lacewingquay::manager;

namespace
{

const steady_time start{std::chrono::hours(1)};

steady_time at(int time)
{
    return start + milliseconds(time);
}

/// A check in which all hosts lack the store: made at `began`, for `silence` before it ended.
outage_check make_check(int began, int silence)
{
    return {at(began), at(began + 10), true, milliseconds(silence), 0};
}

/// What the owner knew when its ownership was confirmed at `start`.
sole_ownership make_owner()
{
    return {start, least_takeover_time(ownership_settings{})};
}

bool may_extend(const sole_ownership& owner, int time)
{
    ownership_evidence evidence{milliseconds(time)};
    evidence.unchallenged_age =
        std::chrono::duration_cast<milliseconds>(at(time) - owner.certain_until());
    return may_extend_leases(evidence);
}

} // namespace

TEST_CASE("leases are extended throughout an outage of the whole store", "[manager]")
{
    sole_ownership owner = make_owner();
    for (int time = 1'700; time < 60'000; time += 800)
    {
        owner.apply(make_check(time, time - 500));
        CHECK(may_extend(owner, time + 790));
    }
}

TEST_CASE("without a check, leases are extended only as long as a successor expects", "[manager]")
{
    const sole_ownership owner = make_owner();
    CHECK(may_extend(owner, 2'400));
    CHECK_FALSE(may_extend(owner, 2'600));
    CHECK(permission_settings{}.lease_age <= scheduler::settings{}.takeover_slack);
}

TEST_CASE("an owner that was isolated extends no lease before the store confirms it", "[manager]")
{
    // Guards against a former owner that takes a later outage, or a second cut, for the reason why
    // it lost the store, although another host has taken over meanwhile.
    sole_ownership owner = make_owner();
    outage_check isolated = make_check(1'000, 0);
    isolated.confirms_outage = false;
    owner.apply(isolated);
    owner.apply(make_check(1'300, 1'200));
    CHECK_FALSE(may_extend(owner, 2'600));
    owner.confirm(at(3'000));
    owner.apply(make_check(4'000, 900));
    CHECK(may_extend(owner, 6'000));
}

TEST_CASE("a check that leaves time for a takeover does not show sole ownership", "[manager]")
{
    sole_ownership late = make_owner();
    // The other hosts had the store until 3 s after the last confirmation.
    late.apply(make_check(5'000, 2'000));
    CHECK_FALSE(may_extend(late, 5'100));
    late.apply(make_check(5'300, 2'300));
    CHECK_FALSE(may_extend(late, 5'400));

    sole_ownership paused = make_owner();
    paused.apply(make_check(1'500, 1'400));
    // No check was made for 4 s, and the store came back for the other hosts meanwhile.
    paused.apply(make_check(5'500, 1'000));
    CHECK_FALSE(may_extend(paused, 5'600));
}

TEST_CASE("a check that was made before the latest confirmation changes nothing", "[manager]")
{
    sole_ownership owner = make_owner();
    outage_check isolated = make_check(-100, 0);
    isolated.confirms_outage = false;
    owner.apply(isolated);
    owner.apply(make_check(1'000, 900));
    CHECK(may_extend(owner, 3'400));
}

TEST_CASE("only hosts that answer can confirm an outage, and all of those must", "[manager]")
{
    using enum peer_store_status;
    const peer_report silent{};
    const peer_report without{store_unavailable, milliseconds(1'200), 3};
    const peer_report longer{store_unavailable, milliseconds(2'000), 4};
    const peer_report with{store_available, milliseconds(10), 5};
    const auto evaluate = [](bool isolated, std::vector<peer_report> reports)
    {
        return evaluate_outage(start, start, isolated, reports);
    };
    CHECK(evaluate(false, {silent, without, longer}).confirms_outage);
    CHECK(evaluate(false, {silent, without, longer}).silence == milliseconds(1'200));
    CHECK(evaluate(false, {silent, without, longer}).owner_term == 4);
    CHECK_FALSE(evaluate(false, {without, longer, with}).confirms_outage);
    CHECK_FALSE(evaluate(false, {silent, silent}).confirms_outage);
    CHECK_FALSE(evaluate(true, {without, longer}).confirms_outage);
    // No other host is known that could take over.
    CHECK(evaluate(false, {}).confirms_outage);
}
