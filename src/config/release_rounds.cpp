#include "config/release_rounds.hpp"

#include <algorithm>
#include <utility>

namespace lacewingquay::config
{

using platform::row_check;
using platform::transact_status;

release_rounds::release_rounds()
    : last(ended(release_status::unavailable,
                 "the platform cannot be reached; nothing was done, try again"))
{
}

bool release_rounds::take_outcome(const platform::transact_result& outcome,
                                  const std::vector<row_check>& fence)
{
    if (outcome.status == transact_status::conflict)
    {
        is_fence_lost =
            std::any_of(fence.begin(), fence.end(),
                        [&](const row_check& check) { return check.key == outcome.conflict_key; });
        last = ended(release_status::conflict, "row '" + outcome.conflict_key +
                                                   "' keeps changing; nothing was done, try again");
        return false;
    }
    is_maybe_written = is_maybe_written || outcome.status == transact_status::unknown;
    return true;
}

release_result release_rounds::end(release_result result) const
{
    if (!is_maybe_written)
    {
        return result;
    }
    return ended(release_status::outcome_unknown,
                 "the platform lost the answer to a write and has not confirmed it since; run the "
                 "same command again or look with 'note show'");
}

release_result ended(release_status status, std::string message)
{
    release_result result;
    result.status = status;
    result.message = std::move(message);
    return result;
}

std::string decision_text(const note_record& record)
{
    std::string text = "note '" + record.note.id + "' is " + std::string(to_string(record.state));
    if (record.state != note_state::proposed)
    {
        text += " by " + record.decided_by;
    }
    if (record.state == note_state::accepted)
    {
        text += " as epoch " + std::to_string(record.epoch);
    }
    if (!record.decision_reason.empty())
    {
        text += ": " + record.decision_reason;
    }
    return text;
}

release_result result_of(const note_record& record, note_state wanted)
{
    release_result result = ended(release_status::conflict, decision_text(record));
    if (record.state == wanted)
    {
        result.status = release_status::done;
    }
    else if (record.state == note_state::refused && record.conflicts.empty())
    {
        result.status = release_status::refused;
    }
    result.conflicts = record.conflicts;
    result.record = record;
    return result;
}

} // namespace lacewingquay::config
