#pragma once

#include "config/note.hpp"
#include "core/json.hpp"

#include <boost/leaf.hpp>

#include <cstdint>

namespace lacewingquay::config
{

/// Which fields of an object must be present.
enum class completeness : std::uint8_t
{
    /// Fields that have a default in config/model.hpp may be left out.
    with_defaults,
    /// Every field is given.
    complete
};

/// Read one object without its `kind` and `changed_epoch`; all fail with `input_error`. The caller
/// finishes the reader.
boost::leaf::result<service> read_service(json_reader& reader, completeness fields);
boost::leaf::result<pool> read_pool(json_reader& reader, completeness fields);
boost::leaf::result<host> read_host(json_reader& reader, completeness fields);
boost::leaf::result<deployment_settings> read_settings(json_reader& reader, completeness fields);

/// Reads the field `name`, or the field given, as a name.
boost::leaf::result<std::string> read_name(json_reader& reader, std::string_view field);

/// Reads a text with `check_line`.
boost::leaf::result<std::string> read_line(json_reader& reader, std::string_view field,
                                           std::size_t longest);

} // namespace lacewingquay::config
