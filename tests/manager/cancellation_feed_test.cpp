#include "overloaded_owner.hpp"

#include <catch2/catch.hpp>

#include <chrono>

using namespace lacewingquay;
using namespace lacewingquay::manager;
using namespace lacewingquay::manager::test_support;

TEST_CASE("the runs of a cancelled job are stopped while the feed of the jobs is behind",
          "[manager]")
{
    constexpr milliseconds limit{600};
    overloaded_owner owner(4, 2);
    REQUIRE(owner.time_to_run(2, milliseconds(3'000)) < milliseconds(3'000));
    owner.store.feed_time = milliseconds(1'000);
    owner.time_to_run(3, milliseconds(100));
    owner.store.cancellations.push_back(owner.store.make_cancellation("job"));
    CHECK(owner.time_to_stop(0, limit) < limit);
    CHECK(owner.session->jobs_age() > milliseconds(0));
}

TEST_CASE("a job whose cancellation is read first is not started", "[manager]")
{
    overloaded_owner owner(4, 1);
    REQUIRE(owner.time_to_run(1, milliseconds(3'000)) < milliseconds(3'000));
    owner.store.cancellations.push_back(owner.store.make_cancellation("late"));
    owner.time_to_run(2, milliseconds(200));
    REQUIRE(owner.store.cancellations.empty());
    owner.add_job("late", 1, 100);
    owner.store.changed_jobs.push_back(owner.store.jobs.back());
    owner.time_to_run(2, milliseconds(800));
    CHECK(owner.store.changed_jobs.empty());
    CHECK(owner.servers.starts == 1);
}
