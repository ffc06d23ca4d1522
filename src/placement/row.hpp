#pragma once

#include "placement/model.hpp"

#include <boost/leaf.hpp>

#include <optional>
#include <string>
#include <string_view>

namespace lacewingquay::placement
{

/// Key of a zone's placement row.
[[nodiscard]] std::string placement_key(std::string_view availability_zone);

/// The zone in a key `placement/<zone>`, or nothing if the key has another form.
[[nodiscard]] std::optional<std::string_view> zone_of_placement_key(std::string_view key);

/// Value of row `placement/<zone>`: `{"write_id", "epoch", "hosts": {name: {"pool", "state",
/// "epoch", "next_pool", "next_state"}}}`. `next_pool` is omitted if it is empty, `next_state` if
/// it is `serving`.
[[nodiscard]] std::string placement_value(const zone_placement& placement,
                                          std::string_view write_id);

/// Parses the value of row `placement/<zone>`; fails with `input_error` that names the invalid
/// field. Inconsistent entries are rejected as well, for example a moving host without a target.
boost::leaf::result<zone_placement> parse_placement(std::string_view value,
                                                    std::string_view availability_zone);

/// The state for which `to_string` returns `name`, or nothing.
[[nodiscard]] std::optional<host_state> host_state_of(std::string_view name);

/// True if all fields of both entries are equal.
[[nodiscard]] bool is_same_placement(const host_placement& left, const host_placement& right);

} // namespace lacewingquay::placement
