#include "report/history.hpp"

#include "core/json.hpp"

#include <algorithm>
#include <charconv>
#include <cstdio>
#include <limits>
#include <map>

namespace lacewingquay::report
{

namespace leaf = boost::leaf;

namespace
{

constexpr std::string_view rollout_prefix = "rollout/";
constexpr std::string_view moves_prefix = "moves/";

bool starts_with(std::string_view text, std::string_view prefix)
{
    return text.substr(0, prefix.size()) == prefix;
}

leaf::result<rollout_row> parse_rollout(const platform::row& row)
{
    const std::string_view rest = std::string_view(row.key).substr(rollout_prefix.size());
    const std::size_t slash = rest.find('/');
    rollout_row parsed;
    const std::from_chars_result number =
        std::from_chars(rest.data(), rest.data() + std::min(slash, rest.size()), parsed.epoch);
    if (slash == std::string_view::npos || number.ec != std::errc{})
    {
        return leaf::new_error(input_error{"row", row.key, "rollout/EPOCH/INCARNATION"});
    }
    parsed.incarnation = std::string(rest.substr(slash + 1));
    BOOST_LEAF_AUTO(object, parse_json_object(row.value, row.key));
    json_reader reader(object, row.key);
    BOOST_LEAF_ASSIGN(
        parsed.in_force_at_ms,
        reader.integer("in_force_at_ms", 0, std::numeric_limits<std::int64_t>::max()));
    return parsed;
}

leaf::result<move_row> parse_move(const platform::row& row)
{
    const std::string_view rest = std::string_view(row.key).substr(moves_prefix.size());
    move_row parsed;
    parsed.availability_zone = std::string(rest.substr(0, rest.find('/')));
    BOOST_LEAF_AUTO(object, parse_json_object(row.value, row.key));
    json_reader reader(object, row.key);
    BOOST_LEAF_ASSIGN(parsed.host, reader.text("host"));
    BOOST_LEAF_ASSIGN(parsed.from, reader.text("from"));
    BOOST_LEAF_ASSIGN(parsed.to, reader.text("to"));
    BOOST_LEAF_ASSIGN(parsed.at_ms,
                      reader.integer("at", 0, std::numeric_limits<std::int64_t>::max()));
    return parsed;
}

/// Appends the result of `parse` to `target`, or increments `refused` if it fails.
template <typename Value, typename Function>
void append(std::vector<Value>& target, std::size_t& refused, Function parse)
{
    const bool parsed = leaf::try_handle_all(
        [&]() -> leaf::result<bool>
        {
            BOOST_LEAF_AUTO(value, parse());
            target.push_back(std::move(value));
            return true;
        },
        [] { return false; });
    refused += parsed ? 0 : 1;
}

} // namespace

parsed_history parse_history(std::span<const platform::row> rows)
{
    parsed_history history;
    for (const platform::row& row : rows)
    {
        if (starts_with(row.key, rollout_prefix))
        {
            append(history.rollouts, history.refused, [&] { return parse_rollout(row); });
        }
        else if (starts_with(row.key, config::note_prefix))
        {
            append(history.notes, history.refused,
                   [&] { return config::parse_note_record(row.value); });
        }
        else if (starts_with(row.key, moves_prefix))
        {
            append(history.moves, history.refused, [&] { return parse_move(row); });
        }
    }
    std::sort(history.moves.begin(), history.moves.end(),
              [](const move_row& left, const move_row& right)
              { return std::tie(left.at_ms, left.host) < std::tie(right.at_ms, right.host); });
    return history;
}

std::vector<rollout> compute_rollouts(const parsed_history& history,
                                      std::chrono::milliseconds window)
{
    std::map<std::uint64_t, rollout> by_epoch;
    for (const config::note_record& note : history.notes)
    {
        if (note.state == config::note_state::accepted)
        {
            by_epoch[note.epoch] = {note.epoch, note.note.id, note.decided_at_ms, 0, {}};
        }
    }
    for (const rollout_row& row : history.rollouts)
    {
        const std::map<std::uint64_t, rollout>::iterator found = by_epoch.find(row.epoch);
        if (found == by_epoch.end())
        {
            continue;
        }
        const std::chrono::milliseconds time{row.in_force_at_ms - found->second.accepted_at_ms};
        if (time <= window)
        {
            ++found->second.entry_hosts;
            found->second.time = std::max(found->second.time, time);
        }
    }
    std::vector<rollout> result;
    result.reserve(by_epoch.size());
    for (const std::pair<const std::uint64_t, rollout>& entry : by_epoch)
    {
        result.push_back(entry.second);
    }
    return result;
}

std::string rollout_table(std::span<const rollout> rollouts)
{
    constexpr std::size_t line_limit = 160;
    char line[line_limit];
    std::snprintf(line, sizeof line, "%8s %-32s %12s %14s\n", "epoch", "release note",
                  "entry hosts", "roll-out ms");
    std::string table = line;
    for (const rollout& entry : rollouts)
    {
        std::snprintf(line, sizeof line, "%8llu %-32.32s %12zu %14lld\n",
                      static_cast<unsigned long long>(entry.epoch), entry.note_id.c_str(),
                      entry.entry_hosts, static_cast<long long>(entry.time.count()));
        table += line;
    }
    return table;
}

boost::json::array rollout_json(std::span<const rollout> rollouts)
{
    boost::json::array result;
    for (const rollout& entry : rollouts)
    {
        result.push_back({{"epoch", entry.epoch},
                          {"note", entry.note_id},
                          {"accepted_at_ms", entry.accepted_at_ms},
                          {"entry_hosts", entry.entry_hosts},
                          {"rollout_ms", entry.time.count()}});
    }
    return result;
}

std::string move_table(std::span<const move_row> moves)
{
    constexpr std::size_t line_limit = 200;
    char line[line_limit];
    std::snprintf(line, sizeof line, "%-16s %-24s %-24s %-24s %16s\n", "zone", "host", "from", "to",
                  "at (Unix ms)");
    std::string table = line;
    for (const move_row& move : moves)
    {
        std::snprintf(line, sizeof line, "%-16.16s %-24.24s %-24.24s %-24.24s %16lld\n",
                      move.availability_zone.c_str(), move.host.c_str(), move.from.c_str(),
                      move.to.c_str(), static_cast<long long>(move.at_ms));
        table += line;
    }
    table += "moves: " + std::to_string(moves.size()) + "\n";
    return table;
}

boost::json::array move_json(std::span<const move_row> moves)
{
    boost::json::array result;
    for (const move_row& move : moves)
    {
        result.push_back({{"availability_zone", move.availability_zone},
                          {"host", move.host},
                          {"from", move.from},
                          {"to", move.to},
                          {"at_ms", move.at_ms}});
    }
    return result;
}

} // namespace lacewingquay::report
