#pragma once

#include "config/cost.hpp"
#include "config/note.hpp"

#include <boost/json.hpp>
#include <boost/leaf.hpp>

#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace lacewingquay::config
{

/// Keys of the rows and objects of this slice.
inline constexpr std::string_view head_key = "config/head";
inline constexpr std::string_view open_notes_key = "config/open_notes";
inline constexpr std::string_view note_prefix = "note/";

[[nodiscard]] inline std::string note_key(std::string_view id)
{
    return std::string(note_prefix) + std::string(id);
}

/// The object that holds the body of a configuration.
[[nodiscard]] inline std::string body_key(std::string_view digest)
{
    return "config/" + std::string(digest);
}

enum class note_state : std::uint8_t
{
    proposed,
    accepted,
    vetoed,
    /// Found at acceptance to conflict with notes that were accepted before it.
    refused
};

[[nodiscard]] std::string_view to_string(note_state state);

/// The row `note/<id>`. It is written twice: by the proposal and by the decision.
struct note_record
{
    /// Names the last write of the row.
    std::string write_id;
    /// Names the proposal, also after the decision.
    std::string proposal_write_id;
    note_state state = note_state::proposed;
    release_note note;
    /// Digest of the note's text as `serialize_note` gives it.
    std::string digest;
    /// Digest of the configuration that the note was checked against; empty for the first note.
    std::string base_digest;
    /// Times are in milliseconds since the Unix epoch.
    std::int64_t proposed_at_ms = 0;
    std::int64_t veto_until_ms = 0;
    /// `cost_to_json` of the note when it was proposed.
    boost::json::object cost;
    /// The decision; empty while the note is proposed.
    std::string decided_by;
    std::string decision_reason;
    std::int64_t decided_at_ms = 0;
    /// The objects in conflict, if the state is `refused`.
    std::vector<std::string> conflicts;
    /// The epoch that the note brought into force, if it is accepted.
    std::uint64_t epoch = 0;
};

/// The row `config/head`.
struct head_record
{
    std::string write_id;
    std::uint64_t epoch = 0;
    std::string digest;
    std::string note_id;
    std::int64_t accepted_at_ms = 0;
};

/// The row `config/open_notes`: the proposed notes and the ends of their veto windows. Each
/// proposal and decision writes it, so that lease holders find due notes with one conditional read
/// instead of listing all notes.
struct open_notes
{
    std::string write_id;
    std::map<std::string, std::int64_t, std::less<>> veto_until_ms;
};

[[nodiscard]] boost::json::object to_json(const note_record& record);
[[nodiscard]] std::string serialize(const note_record& record);
[[nodiscard]] std::string serialize(const head_record& record);
[[nodiscard]] std::string serialize(const open_notes& record);

/// All parse functions fail with `input_error`.
boost::leaf::result<note_record> parse_note_record(std::string_view text);
boost::leaf::result<head_record> parse_head_record(std::string_view text);
boost::leaf::result<open_notes> parse_open_notes(std::string_view text);

/// Cost per pool and total, before and after, and the declared moves.
[[nodiscard]] boost::json::object cost_to_json(const cost_report& report);

} // namespace lacewingquay::config
