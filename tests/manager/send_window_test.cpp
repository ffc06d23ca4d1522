#include "manager/send_window.hpp"

#include <catch2/catch.hpp>

using namespace lacewingquay;
using namespace lacewingquay::manager;

namespace
{

/// Finishes `count` orders, one a millisecond, each after `delay`, with the window kept full.
void finish_orders(send_window& window, int count, milliseconds delay, steady_time& now)
{
    for (int index = 0; index < count; ++index)
    {
        window.add(window.available());
        now += milliseconds(1);
        window.finish(delay, now);
    }
}

} // namespace

TEST_CASE("a host whose answers are slow sends fewer orders at once, and more again later",
          "[manager]")
{
    steady_time now{std::chrono::hours(1)};
    send_window window{send_window_settings{}};
    const std::size_t initial = window.limit();
    finish_orders(window, 1'000, milliseconds(300), now);
    CHECK(window.limit() == send_window_settings{}.least);
    finish_orders(window, 1'000, milliseconds(5), now);
    CHECK(window.limit() > initial);
}

TEST_CASE("servers that do not answer do not keep a host from sending to the others", "[manager]")
{
    steady_time now{std::chrono::hours(1)};
    send_window window{send_window_settings{}};
    const std::size_t initial = window.limit();
    for (int round = 0; round < 200; ++round)
    {
        finish_orders(window, 2, milliseconds(5), now);
        finish_orders(window, 1, milliseconds(800), now);
    }
    CHECK(window.limit() >= initial);
}

TEST_CASE("orders that were not sent leave the window as it was", "[manager]")
{
    send_window window{send_window_settings{}};
    window.add(5);
    CHECK(window.available() == window.limit() - 5);
    for (int index = 0; index < 6; ++index)
    {
        window.remove();
    }
    CHECK(window.available() == window.limit());
    CHECK(window.under_way() == 0);
}

TEST_CASE("a weak host begins with fewer orders at once than a strong one", "[manager]")
{
    const send_window_settings weak = window_for({0.12, 10.0});
    CHECK(weak.initial < window_for({0.5, 200.0}).initial);
    CHECK(weak.initial >= weak.least);
    CHECK(window_for({1'000.0, 1'000'000.0}).initial == send_window_settings{}.most);
}
