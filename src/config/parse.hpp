#pragma once

#include "config/model.hpp"
#include "config/note.hpp"

#include <boost/json.hpp>
#include <boost/leaf.hpp>

#include <cstddef>
#include <string>
#include <string_view>

namespace lacewingquay::config
{

/// All functions fail with `input_error` that names the field, the value and what is allowed.

/// Parses a release note and checks what can be checked without a configuration: field ranges,
/// counts, and contradictory entries. Entries of `added` may leave out fields that have a default;
/// entries of `changed` give every field, so that no field falls back to its default unnoticed.
boost::leaf::result<release_note> parse_note(std::string_view text);

/// The same for a note that is part of another document, such as its row.
boost::leaf::result<release_note> read_note(const boost::json::object& object);

/// Parses and validates the body of a configuration.
boost::leaf::result<configuration> parse_configuration(std::string_view text);

/// A name of 1 to 63 characters of a-z, 0-9, '_' and '-'.
boost::leaf::result<std::string> check_name(std::string name, const std::string& where);

/// A text of 1 to `longest` bytes without control characters, which would reach terminals.
boost::leaf::result<std::string> check_line(std::string text, const std::string& where,
                                            std::size_t longest);

} // namespace lacewingquay::config
