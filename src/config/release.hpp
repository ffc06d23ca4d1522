#pragma once

#include "config/apply.hpp"
#include "config/records.hpp"
#include "platform/port.hpp"

#include <boost/asio/awaitable.hpp>

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace lacewingquay::config
{

enum class release_status : std::uint8_t
{
    /// The note has the state that was asked for.
    done,
    /// Another change or decision came first; nothing was done.
    conflict,
    /// The input contradicts the configuration or the note's state; nothing was done.
    refused,
    /// The platform could not be read or written; nothing was done.
    unavailable,
    /// A write may have taken effect and reading it back failed. Doing the same again is safe.
    outcome_unknown
};

struct release_result
{
    release_status status = release_status::unavailable;
    /// What happened, for the operator.
    std::string message;
    /// The objects in conflict.
    std::vector<std::string> conflicts;
    /// The note's row as last read or written.
    std::optional<note_record> record;
};

/// Who writes and when. `write_id` is unique to the operation and is kept for its repetitions.
struct writer
{
    std::string name;
    std::string write_id;
    std::int64_t now_ms = 0;
};

/// How a note is accepted.
struct acceptance
{
    /// The finance chief accepts before the veto window ends.
    bool before_window_ends = false;
    /// Checks that fence the write, such as the version of the zone's lease row.
    std::vector<platform::row_check> fence;
};

struct release_settings
{
    /// Rounds of reading and writing for one operation.
    int max_rounds = 10;
    /// Wait after a round that the platform did not answer.
    std::chrono::milliseconds retry_delay{200};
};

/// The configuration that the platform's head names.
struct head_state
{
    platform::read_status status = platform::read_status::unavailable;
    /// Why the head cannot be used, if `status` is `unavailable`.
    std::string problem;
    /// Version of the head row, 0 before the first acceptance.
    std::uint64_t version = 0;
    head_record record;
    /// Empty, with epoch 0, before the first acceptance.
    configuration value;
};

/// Proposal, veto and acceptance of release notes as transactions on the platform's rows. After an
/// unknown outcome the note's row is read back and its `write_id` says whether the write took
/// effect; a write is repeated only with the same version checks. The next step depends only on the
/// platform's answers. Several operations may be in progress; must outlive them.
class release_manager
{
public:
    release_manager(platform::port& platform, release_settings settings);

    /// Writes `note/<id>` with state `proposed`. Done if the same note was proposed before. Refused
    /// if `parse_note` refuses the note.
    boost::asio::awaitable<release_result> propose(release_note note, writer by);

    boost::asio::awaitable<release_result> veto(std::string id, std::string reason, writer by);

    /// Stores the next configuration and moves the head to it. A note that conflicts with notes
    /// accepted before it gets the state `refused`.
    boost::asio::awaitable<release_result> accept(std::string id, acceptance how, writer by);

    /// Reads the head row and the configuration that it names.
    boost::asio::awaitable<head_state> read_head();

private:
    enum class action : std::uint8_t
    {
        veto,
        accept
    };

    struct decision
    {
        action what = action::veto;
        std::string id;
        std::string reason;
        acceptance how;
        writer by;
    };

    /// One round's transaction, or the result that ends the operation.
    struct plan
    {
        std::optional<release_result> stop;
        platform::transaction changes;
        note_record next;
    };

    boost::asio::awaitable<release_result> decide(decision wanted);
    boost::asio::awaitable<plan> plan_proposal(const release_note& note, const writer& by);
    /// Plan a decision on the note's row that was read with the given version.
    boost::asio::awaitable<plan> plan_veto(const decision& wanted, std::uint64_t version,
                                           note_record record);
    boost::asio::awaitable<plan> plan_acceptance(const decision& wanted, std::uint64_t version,
                                                 note_record record);
    /// Adds what the acceptance writes: the object of the next configuration, and the head.
    boost::asio::awaitable<bool> plan_head(const configuration& next, plan& result);
    /// Adds the row `config/open_notes` without the note, or with it while it is proposed; false
    /// if the row cannot be read.
    boost::asio::awaitable<bool> plan_open_notes(plan& result);
    /// Checks that no host is placed in a withdrawn pool and adds checks of the placement rows;
    /// false if they cannot be read.
    boost::asio::awaitable<bool> plan_placement(const release_note& note, const configuration& head,
                                                apply_result& applied,
                                                platform::transaction& changes);
    boost::asio::awaitable<void> wait();

    platform::port& platform_;
    release_settings settings_;
};

/// The ids of notes whose veto window has ended, in order of its end.
[[nodiscard]] std::vector<std::string> due_notes(const open_notes& notes, std::int64_t now_ms);

} // namespace lacewingquay::config
