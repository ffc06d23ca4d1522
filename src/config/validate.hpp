#pragma once

#include "config/model.hpp"
#include "config/note.hpp"

#include <boost/leaf.hpp>

namespace lacewingquay::config
{

/// Checks what concerns several objects: exactly one spare pool, references that exist (so that a
/// pool with hosts or services is not withdrawn), unique addresses, counts. Ranges of single fields
/// are checked by the parser. Fails with `input_error`.
boost::leaf::result<void> validate(const configuration& value);

/// Checks that a note has entries and names each object only once. Fails with `input_error`.
boost::leaf::result<void> check_entries(const release_note& note);

} // namespace lacewingquay::config
