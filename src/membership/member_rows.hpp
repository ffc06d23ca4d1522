#pragma once

#include "routing/snapshot.hpp"

#include <boost/json.hpp>
#include <boost/leaf.hpp>

#include <functional>
#include <map>
#include <string>
#include <string_view>

namespace lacewingquay::membership
{

/// Registered entry hosts by id.
using member_map = std::map<std::string, routing::member, std::less<>>;

/// Key of the row that every registration change writes. Its version is `members_epoch`.
inline constexpr std::string_view members_key = "members";

/// Key of an entry host's own row.
[[nodiscard]] std::string entry_key(std::string_view id);

/// Value of row `entry/<id>`: `{"write_id", "incarnation", "availability_zone", "peer_address",
/// "dispatch_address"}`.
[[nodiscard]] std::string entry_value(const routing::member& member, std::string_view write_id);

/// Value of row `members`: `{"write_id", "entries": {id: {as in entry_value}}}`. It repeats all
/// registrations, so that one conditional read returns a consistent member list and its epoch.
[[nodiscard]] std::string members_value(const member_map& members, std::string_view write_id);

/// Reads row `members`; fails with `input_error` that names the field.
boost::leaf::result<member_map> parse_members(std::string_view value);

} // namespace lacewingquay::membership
