#pragma once

#include "config/model.hpp"
#include "config/note.hpp"

#include <cstdint>
#include <string>
#include <vector>

namespace lacewingquay::config
{

/// What becomes of a note on a given configuration.
enum class apply_status : std::uint8_t
{
    applied,
    /// Objects of the note have changed since its base epoch.
    conflict,
    /// The note contradicts the configuration.
    refused
};

struct apply_result
{
    apply_status status = apply_status::refused;
    /// The next configuration, on `applied`.
    configuration next;
    /// The changed objects, on `conflict`.
    std::vector<std::string> conflicts;
    /// Why, unless `applied`.
    std::string reason;
};

/// Applies a parsed note to the head configuration. A note whose base epoch is older is rebased:
/// it applies if none of its objects has changed since. The next configuration has the next epoch
/// and passes `validate`.
[[nodiscard]] apply_result apply(const release_note& note, const configuration& head);

/// Time that the finance chief has to veto the note. The first note of a deployment is given the
/// window that it declares itself, as no configuration is in force.
[[nodiscard]] std::chrono::milliseconds veto_window_of(const release_note& note,
                                                       const configuration& head);

} // namespace lacewingquay::config
