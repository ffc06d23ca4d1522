#include "manager/store_clock.hpp"

#include <catch2/catch.hpp>

using namespace lacewingquay;
using namespace lacewingquay::manager;

namespace
{

constexpr steady_time start{std::chrono::hours(1)};

} // namespace

TEST_CASE("an answer that was read late does not set the store's clock back", "[manager]")
{
    // Guards against rows that a paused host dates too early, so that another host acts too soon.
    store_clock clock;
    clock.observe(milliseconds(50'000), start, start + milliseconds(2));
    clock.observe(milliseconds(50'100), start + milliseconds(100), start + milliseconds(5'100));
    CHECK(clock.at(start + milliseconds(5'100)) == milliseconds(55'098));
}

TEST_CASE("the store's clock follows a drift that its answers prove", "[manager]")
{
    store_clock clock;
    clock.observe(milliseconds(50'000), start, start);
    // The store's clock is slower: its value is below the estimate although it was read at once.
    clock.observe(milliseconds(59'900), start + milliseconds(10'000), start + milliseconds(10'002));
    CHECK(clock.at(start + milliseconds(10'002)) == milliseconds(59'902));
    clock.observe(milliseconds(70'500), start + milliseconds(20'000), start + milliseconds(20'002));
    CHECK(clock.at(start + milliseconds(20'002)) == milliseconds(70'500));
    clock.observe(milliseconds(0), start, start + milliseconds(20'002));
    CHECK(clock.at(start + milliseconds(20'002)) == milliseconds(70'500));
}
