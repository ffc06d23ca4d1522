#pragma once

#include "planner/model.hpp"

#include <cstdint>
#include <optional>
#include <span>
#include <string>
#include <string_view>

namespace lacewingquay::planner
{

/// Number of available hosts that are in a pool or moving into it, without those moving out.
[[nodiscard]] std::int64_t hosts_held(std::span<const host_view> hosts, std::string_view pool);

/// Number of available hosts of a pool that are not moving.
[[nodiscard]] std::int64_t hosts_not_moving(std::span<const host_view> hosts,
                                            std::string_view pool);

/// Number of hosts that are moving into or out of a pool.
[[nodiscard]] std::int64_t hosts_moving(std::span<const host_view> hosts, std::string_view pool);

/// Chooses the host to move from `from` to `to`: one in the zone where `from` has the most hosts
/// compared with `to`, then by rack in the same way, then by name. Returns nothing if no host can
/// move, or if each move would leave `from` with hosts in a single zone instead of two.
[[nodiscard]] std::optional<std::string> choose_host(std::span<const host_view> hosts,
                                                     std::string_view from, std::string_view to);

} // namespace lacewingquay::planner
