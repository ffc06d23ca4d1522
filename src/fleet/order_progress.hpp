#pragma once

#include "fleet/model.hpp"

#include <chrono>

namespace lacewingquay::fleet
{

/// A machine under an order, as shown by the platform's list.
struct order_progress
{
    machine_state listed = machine_state::up;
    /// The platform has confirmed the order.
    bool confirmed = false;
    /// The list shows the machine powered off in the pool where the order leaves it.
    bool is_off_at_target = false;
    /// Time from the order until the list was requested.
    std::chrono::milliseconds age{0};
};

/// Settings of `is_order_over` and `has_ended_server`.
struct order_settings
{
    /// Time after which an order counts as over if the list does not show it as under way.
    std::chrono::milliseconds arrival_limit{6'000};
    /// A list requested at least this long after a confirmed order reflects its effect.
    std::chrono::milliseconds list_lag{600};
};

/// True if the list shows that the order is over: the machine has arrived where no server registers
/// there, or nothing has come of the order.
[[nodiscard]] constexpr bool is_order_over(const order_progress& order,
                                           const order_settings& values = {})
{
    if (order.listed == machine_state::moving || order.listed == machine_state::maintenance)
    {
        return false;
    }
    // A powered-off machine registers no server, so only the list shows that it has arrived.
    const bool has_arrived = order.listed == machine_state::up && order.confirmed &&
                             order.is_off_at_target && order.age >= values.list_lag;
    return has_arrived || order.age >= values.arrival_limit;
}

/// True if the list shows that the order has ended the former server on the machine.
[[nodiscard]] constexpr bool has_ended_server(const order_progress& order,
                                              const order_settings& values = {})
{
    return order.confirmed && order.listed != machine_state::up && order.age >= values.list_lag;
}

} // namespace lacewingquay::fleet
