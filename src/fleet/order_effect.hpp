#pragma once

#include <cstdint>
#include <optional>

namespace lacewingquay::fleet
{

/// What an order that the platform has confirmed did to the backend server on its machine.
enum class order_effect
{
    /// The server has ended, and all its runs with it.
    ended,
    /// The platform had carried out the order before, so the server and its runs go on.
    already_done,
    /// The server does not answer. Its runs may go on until their lease has expired.
    unknown
};

/// Derives the effect from a call to the server after the confirmation. `born` is the start of the
/// incarnation that was there when the order was sent; `reported_born` that of the one that has
/// answered, if any; `other_server` tells that the address belongs to another server by now.
/// The platform also confirms an order that it has carried out before, as for a former owner whose
/// record of it was lost; the confirmation alone does not prove that the present server has ended.
[[nodiscard]] inline order_effect
effect_of_order(std::int64_t born, std::optional<std::int64_t> reported_born, bool other_server)
{
    if (other_server || (reported_born && *reported_born > born))
    {
        return order_effect::ended;
    }
    return reported_born ? order_effect::already_done : order_effect::unknown;
}

} // namespace lacewingquay::fleet
