#pragma once

#include "config/release.hpp"

#include <string>
#include <vector>

namespace lacewingquay::config
{

/// What the rounds of one operation of `release_manager` have in common.
struct release_rounds
{
    /// A write may have taken effect although its row does not show it yet.
    bool is_maybe_written = false;
    /// A fence check failed: the caller no longer holds what it fenced the write with.
    bool is_fence_lost = false;
    /// The result if no further round is left.
    release_result last;

    release_rounds();

    /// Takes in the outcome of a transaction that was not committed; true if the next round has to
    /// wait before it reads the rows again.
    bool take_outcome(const platform::transact_result& outcome,
                      const std::vector<platform::row_check>& fence);

    /// The end of an operation on grounds other than the note's own row: the outcome is unknown if
    /// a write may still take effect.
    [[nodiscard]] release_result end(release_result result) const;
};

[[nodiscard]] release_result ended(release_status status, std::string message);

/// The note's state in words, with who decided and why.
[[nodiscard]] std::string decision_text(const note_record& record);

/// The result for an operator who wanted the note to have the state `wanted`.
[[nodiscard]] release_result result_of(const note_record& record, note_state wanted);

} // namespace lacewingquay::config
