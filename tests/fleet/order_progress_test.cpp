#include "fleet/order_progress.hpp"

#include <catch2/catch.hpp>

using namespace lacewingquay::fleet;
using std::chrono::milliseconds;

TEST_CASE("an order to a machine that went down does not stay in flight", "[fleet]")
{
    // Guards against a pool that gets no other machine while this one counts as arriving.
    CHECK_FALSE(is_order_over({machine_state::down, true, false, milliseconds(5'900)}));
    CHECK(is_order_over({machine_state::down, true, false, milliseconds(6'000)}));
    CHECK(is_order_over({machine_state::down, false, false, milliseconds(6'000)}));
}

TEST_CASE("an order is in flight while the list shows it as under way", "[fleet]")
{
    CHECK_FALSE(is_order_over({machine_state::moving, true, false, milliseconds(60'000)}));
    CHECK_FALSE(is_order_over({machine_state::maintenance, true, false, milliseconds(60'000)}));
}

TEST_CASE("an order without effect is over after a while", "[fleet]")
{
    CHECK_FALSE(is_order_over({machine_state::up, false, false, milliseconds(5'900)}));
    CHECK(is_order_over({machine_state::up, false, false, milliseconds(6'000)}));
    CHECK(is_order_over({machine_state::up, true, true, milliseconds(600)}));
    CHECK_FALSE(is_order_over({machine_state::up, false, true, milliseconds(600)}));
}

TEST_CASE("a list from before an order does not end the server on its machine", "[fleet]")
{
    // Guards against a maintenance that was done before, with a list that still shows it.
    CHECK_FALSE(has_ended_server({machine_state::maintenance, true, false, milliseconds(500)}));
    CHECK(has_ended_server({machine_state::maintenance, true, false, milliseconds(600)}));
    CHECK_FALSE(has_ended_server({machine_state::maintenance, false, false, milliseconds(600)}));
    CHECK_FALSE(has_ended_server({machine_state::up, true, false, milliseconds(600)}));
}
