#pragma once

#include "config/model.hpp"
#include "config/note.hpp"

#include <boost/json.hpp>

#include <string>

namespace lacewingquay::config
{

/// The JSON that `parse_note` reads, with every field given.
[[nodiscard]] boost::json::object note_to_json(const release_note& note);
[[nodiscard]] std::string serialize_note(const release_note& note);

/// The JSON that `parse_configuration` reads. Equal configurations give equal texts, so the digest
/// of the text names the configuration.
[[nodiscard]] std::string serialize_configuration(const configuration& value);

/// One object with its `kind`, as in the lists of a release note.
[[nodiscard]] boost::json::object definition_to_json(const definition& object);

} // namespace lacewingquay::config
