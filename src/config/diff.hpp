#pragma once

#include "config/model.hpp"
#include "config/note.hpp"

#include <boost/json.hpp>

#include <string>

namespace lacewingquay::config
{

/// What a note changes in a configuration: an object with the lists `added` (definitions),
/// `changed` (objects with `before` and `after` of each field that differs) and `withdrawn`.
[[nodiscard]] boost::json::object diff_to_json(const release_note& note, const configuration& base);

/// The same for people: a line for each object and each field that differs, marked `+`, `~` or `-`.
[[nodiscard]] std::string diff_to_text(const release_note& note, const configuration& base);

} // namespace lacewingquay::config
