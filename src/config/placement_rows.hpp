#pragma once

#include "config/cost.hpp"
#include "core/error.hpp"
#include "placement/model.hpp"
#include "platform/port.hpp"

#include <boost/leaf.hpp>

#include <span>
#include <string_view>

namespace lacewingquay::config
{

inline constexpr std::string_view placement_prefix = "placement/";

/// Reads a row `placement/<zone>`; fails with `input_error`.
boost::leaf::result<placement::zone_placement> parse_placement_row(std::string_view key,
                                                                   std::string_view text);

/// The pool of every host that the rows name; fails with `input_error`.
boost::leaf::result<placed_hosts> placed_hosts_of(std::span<const platform::row> rows);

} // namespace lacewingquay::config
