#pragma once

#include "maintenance/wave_model.hpp"

#include <boost/leaf.hpp>

#include <string>
#include <string_view>

namespace lacewingquay::maintenance
{

/// Key of a wave's row.
[[nodiscard]] std::string wave_key(std::string_view id);

/// Serializes a wave to the value of row `wave/<id>`.
[[nodiscard]] std::string wave_to_json(const wave& value);

/// Parses the value of row `wave/<id>`; fails with `input_error` that names the field.
boost::leaf::result<wave> wave_from_json(std::string_view text);

/// Parses a scope: `all`, `pool:NAME` or `zone:NAME`; fails with `input_error` for field
/// `where`.
boost::leaf::result<std::pair<scope_kind, std::string>> parse_scope(std::string_view text,
                                                                    std::string_view where);

} // namespace lacewingquay::maintenance
