#include "config/records.hpp"

#include "config/parse.hpp"
#include "config/serialize.hpp"
#include "core/json.hpp"

#include <limits>
#include <utility>

namespace lacewingquay::config
{

namespace json = boost::json;
namespace leaf = boost::leaf;

namespace
{

constexpr std::int64_t max_integer = std::numeric_limits<std::int64_t>::max();

leaf::result<note_state> read_state(json_reader& reader)
{
    BOOST_LEAF_AUTO(text, reader.text("state"));
    for (const note_state state :
         {note_state::proposed, note_state::accepted, note_state::vetoed, note_state::refused})
    {
        if (text == to_string(state))
        {
            return state;
        }
    }
    return leaf::new_error(
        input_error{reader.path("state"), text, "proposed, accepted, vetoed or refused"});
}

leaf::result<std::int64_t> read_integer(json_reader& reader, std::string_view field)
{
    return reader.integer(field, 0, max_integer);
}

json::object capacity_to_json(const capacity& value)
{
    return json::object{{"hosts", value.hosts},
                        {"buffer_hosts", value.buffer_hosts},
                        {"hour_cost", value.hour_cost},
                        {"buffer_hour_cost", value.buffer_hour_cost}};
}

json::object change_to_json(const capacity_change& value)
{
    json::object object;
    object["before"] = capacity_to_json(value.before);
    object["after"] = capacity_to_json(value.after);
    return object;
}

} // namespace

std::string_view to_string(note_state state)
{
    switch (state)
    {
    case note_state::proposed:
        return "proposed";
    case note_state::accepted:
        return "accepted";
    case note_state::vetoed:
        return "vetoed";
    case note_state::refused:
        return "refused";
    }
    return "refused";
}

json::object cost_to_json(const cost_report& report)
{
    json::object pools;
    for (const auto& [name, change] : report.pools)
    {
        pools[name] = change_to_json(change);
    }
    json::array moves;
    for (const declared_move& move : report.moves)
    {
        moves.push_back(json::object{{"host", move.host}, {"from", move.from}, {"to", move.to}});
    }
    json::object object;
    object["pools"] = std::move(pools);
    object["total"] = change_to_json(report.total);
    object["moves"] = std::move(moves);
    return object;
}

json::object to_json(const note_record& record)
{
    json::array conflicts;
    for (const std::string& name : record.conflicts)
    {
        conflicts.emplace_back(name);
    }
    json::object object{{"write_id", record.write_id},
                        {"proposal_write_id", record.proposal_write_id},
                        {"state", to_string(record.state)},
                        {"digest", record.digest},
                        {"base_digest", record.base_digest},
                        {"proposed_at_ms", record.proposed_at_ms},
                        {"veto_until_ms", record.veto_until_ms},
                        {"decided_by", record.decided_by},
                        {"decision_reason", record.decision_reason},
                        {"decided_at_ms", record.decided_at_ms},
                        {"epoch", record.epoch}};
    object["conflicts"] = std::move(conflicts);
    object["cost"] = record.cost;
    object["note"] = note_to_json(record.note);
    return object;
}

std::string serialize(const note_record& record)
{
    return json::serialize(to_json(record));
}

std::string serialize(const head_record& record)
{
    return json::serialize(json::object{{"write_id", record.write_id},
                                        {"epoch", record.epoch},
                                        {"digest", record.digest},
                                        {"note_id", record.note_id},
                                        {"accepted_at_ms", record.accepted_at_ms}});
}

std::string serialize(const open_notes& record)
{
    json::object notes;
    for (const auto& [id, until] : record.veto_until_ms)
    {
        notes[id] = until;
    }
    json::object object{{"write_id", record.write_id}};
    object["notes"] = std::move(notes);
    return json::serialize(object);
}

leaf::result<note_record> parse_note_record(std::string_view text)
{
    BOOST_LEAF_AUTO(object, parse_json_object(text, "note row"));
    json_reader reader(object, "note row");
    note_record record;
    BOOST_LEAF_ASSIGN(record.write_id, reader.text("write_id"));
    BOOST_LEAF_ASSIGN(record.proposal_write_id, reader.text("proposal_write_id"));
    BOOST_LEAF_ASSIGN(record.state, read_state(reader));
    BOOST_LEAF_ASSIGN(record.digest, reader.text("digest"));
    BOOST_LEAF_ASSIGN(record.base_digest, reader.text("base_digest"));
    BOOST_LEAF_ASSIGN(record.proposed_at_ms, read_integer(reader, "proposed_at_ms"));
    BOOST_LEAF_ASSIGN(record.veto_until_ms, read_integer(reader, "veto_until_ms"));
    BOOST_LEAF_ASSIGN(record.decided_by, reader.text("decided_by"));
    BOOST_LEAF_ASSIGN(record.decision_reason, reader.text("decision_reason"));
    BOOST_LEAF_ASSIGN(record.decided_at_ms, read_integer(reader, "decided_at_ms"));
    BOOST_LEAF_AUTO(epoch, read_integer(reader, "epoch"));
    record.epoch = static_cast<std::uint64_t>(epoch);
    BOOST_LEAF_AUTO(conflicts, reader.array("conflicts"));
    for (const json::value& name : *conflicts)
    {
        record.conflicts.push_back(name.is_string() ? std::string(name.get_string())
                                                    : json::serialize(name));
    }
    BOOST_LEAF_AUTO(cost, reader.object("cost"));
    record.cost = *cost;
    BOOST_LEAF_AUTO(note, reader.object("note"));
    BOOST_LEAF_ASSIGN(record.note, read_note(*note));
    return record;
}

leaf::result<head_record> parse_head_record(std::string_view text)
{
    BOOST_LEAF_AUTO(object, parse_json_object(text, "config/head"));
    json_reader reader(object, "config/head");
    head_record record;
    BOOST_LEAF_ASSIGN(record.write_id, reader.text("write_id"));
    BOOST_LEAF_AUTO(epoch, reader.integer("epoch", 1, max_integer));
    record.epoch = static_cast<std::uint64_t>(epoch);
    BOOST_LEAF_ASSIGN(record.digest, reader.text("digest"));
    BOOST_LEAF_ASSIGN(record.note_id, reader.text("note_id"));
    BOOST_LEAF_ASSIGN(record.accepted_at_ms, read_integer(reader, "accepted_at_ms"));
    return record;
}

leaf::result<open_notes> parse_open_notes(std::string_view text)
{
    BOOST_LEAF_AUTO(object, parse_json_object(text, "config/open_notes"));
    json_reader reader(object, "config/open_notes");
    open_notes record;
    BOOST_LEAF_ASSIGN(record.write_id, reader.text("write_id"));
    BOOST_LEAF_AUTO(notes, reader.object("notes"));
    json_reader entries(*notes, "config/open_notes.notes");
    for (const json::key_value_pair& entry : *notes)
    {
        BOOST_LEAF_AUTO(until, read_integer(entries, entry.key()));
        record.veto_until_ms.emplace(std::string(entry.key()), until);
    }
    return record;
}

} // namespace lacewingquay::config
