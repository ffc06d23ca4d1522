#pragma once

#include "config/records.hpp"
#include "platform/port.hpp"

#include <boost/json.hpp>

#include <chrono>
#include <cstdint>
#include <optional>
#include <span>
#include <string>
#include <vector>

namespace lacewingquay::report
{

/// Time at which one entry host put a configuration into force.
struct rollout_row
{
    std::uint64_t epoch = 0;
    std::string incarnation;
    std::int64_t in_force_at_ms = 0;
};

/// Roll-out of one accepted release note.
struct rollout
{
    std::uint64_t epoch = 0;
    std::string note_id;
    std::int64_t accepted_at_ms = 0;
    /// Entry hosts that put it into force within the roll-out window.
    std::size_t entry_hosts = 0;
    /// Time from acceptance until the last of these entry hosts had it in force.
    std::chrono::milliseconds time{0};
};

/// A completed move of a host to another pool.
struct move_row
{
    std::string availability_zone;
    std::string host;
    std::string from;
    std::string to;
    std::int64_t at_ms = 0;
};

/// Parsed rows of the table service. Rows that cannot be parsed are skipped and counted in
/// `refused`.
struct parsed_history
{
    std::vector<rollout_row> rollouts;
    std::vector<config::note_record> notes;
    std::vector<move_row> moves;
    std::size_t refused = 0;
};

/// Parses rows with the prefixes `rollout/`, `note/` and `moves/`; others are ignored.
[[nodiscard]] parsed_history parse_history(std::span<const platform::row> rows);

/// Computes the roll-out of each accepted release note from the times at which entry hosts put it
/// into force. Times later than `window` after the acceptance are ignored: such an entry host
/// started later and loaded the configuration at its start.
[[nodiscard]] std::vector<rollout> compute_rollouts(const parsed_history& history,
                                                    std::chrono::milliseconds window);

[[nodiscard]] std::string rollout_table(std::span<const rollout> rollouts);
[[nodiscard]] boost::json::array rollout_json(std::span<const rollout> rollouts);
[[nodiscard]] std::string move_table(std::span<const move_row> moves);
[[nodiscard]] boost::json::array move_json(std::span<const move_row> moves);

} // namespace lacewingquay::report
