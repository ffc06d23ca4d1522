#include "replay/table_json.hpp"

#include "membership/incarnation.hpp"

#include <array>
#include <limits>
#include <optional>
#include <utility>

namespace lacewingquay::replay
{

namespace leaf = boost::leaf;
namespace json = boost::json;

namespace
{

constexpr std::int64_t highest = std::numeric_limits<std::int64_t>::max();

leaf::result<std::uint64_t> read_number(json_reader& fields, std::string_view name)
{
    BOOST_LEAF_AUTO(number, fields.integer_or(name, 0, 0, highest));
    return static_cast<std::uint64_t>(number);
}

json::value shown_value(const std::string& text)
{
    json::error_code error;
    json::value parsed = json::parse(text, error);
    return error ? json::value(text) : parsed;
}

json::object shown_write(const membership::table_write& action)
{
    json::object checks;
    for (const platform::row_check& check : action.changes.checks)
    {
        checks[check.key] = check.version;
    }
    json::object writes;
    for (const platform::row_write& write : action.changes.writes)
    {
        writes[write.key] = write.value ? shown_value(*write.value) : json::value(nullptr);
    }
    return {
        {"action", action.action_id}, {"checks", std::move(checks)}, {"writes", std::move(writes)}};
}

/// The position of `name` in `names`; fails with `input_error` naming `where`.
template <std::size_t Size>
leaf::result<std::size_t> position(std::string_view name,
                                   const std::array<std::string_view, Size>& names,
                                   const std::string& where)
{
    std::string allowed;
    for (std::size_t index = 0; index < Size; ++index)
    {
        if (names[index] == name)
        {
            return index;
        }
        allowed.append(index == 0 ? "" : ", ").append(names[index]);
    }
    return leaf::new_error(input_error{where, std::string(name), allowed});
}

leaf::result<platform::read_status> read_status_of(json_reader& fields)
{
    static constexpr std::array<std::string_view, 4> names{"found", "absent", "unchanged",
                                                           "unavailable"};
    static constexpr std::array<platform::read_status, 4> statuses{
        platform::read_status::found, platform::read_status::absent,
        platform::read_status::unchanged, platform::read_status::unavailable};
    BOOST_LEAF_AUTO(name, fields.text("status"));
    BOOST_LEAF_AUTO(index, position(name, names, fields.path("status")));
    return statuses[index];
}

leaf::result<platform::row> read_row(const json::object& object, json_reader& fields)
{
    platform::row row;
    BOOST_LEAF_ASSIGN(row.key, fields.text_or("key", ""));
    BOOST_LEAF_ASSIGN(row.version, read_number(fields, "version"));
    const json::value* value = object.if_contains("value");
    if (value != nullptr && value->is_object())
    {
        BOOST_LEAF_AUTO(parsed, fields.object("value"));
        row.value = json::serialize(*parsed);
        return row;
    }
    BOOST_LEAF_ASSIGN(row.value, fields.text_or("value", ""));
    return row;
}

leaf::result<std::vector<std::string>> read_names(json_reader& fields, std::string_view field)
{
    std::vector<std::string> names;
    if (!fields.has(field))
    {
        return names;
    }
    BOOST_LEAF_AUTO(list, fields.array(field));
    for (const json::value& name : *list)
    {
        if (!name.is_string())
        {
            return leaf::new_error(
                input_error{fields.path(field), json::serialize(name), "a text"});
        }
        names.emplace_back(name.get_string());
    }
    return names;
}

leaf::result<routing::member> read_member(json_reader& fields)
{
    routing::member member;
    BOOST_LEAF_ASSIGN(member.incarnation, fields.text("incarnation"));
    const std::optional<membership::incarnation> start =
        membership::parse_incarnation(member.incarnation);
    if (!start)
    {
        return leaf::new_error(
            input_error{fields.path("incarnation"), member.incarnation, "<id>#<start time in ms>"});
    }
    member.id = start->id;
    BOOST_LEAF_ASSIGN(member.availability_zone, fields.text("zone"));
    return member;
}

} // namespace

void append_actions(const std::vector<membership::table_action>& actions, json::array& decisions)
{
    for (const membership::table_action& action : actions)
    {
        if (const auto* write = std::get_if<membership::table_write>(&action))
        {
            decisions.push_back(json::object{{"write", shown_write(*write)}});
        }
        else if (const auto* read = std::get_if<membership::table_read>(&action))
        {
            decisions.push_back(
                json::object{{"read", json::object{{"action", read->action_id},
                                                   {"key", read->key},
                                                   {"not_version", read->not_version}}}});
        }
        else if (const auto* list = std::get_if<membership::table_list>(&action))
        {
            decisions.push_back(json::object{
                {"list", json::object{{"action", list->action_id}, {"prefix", list->prefix}}}});
        }
    }
}

leaf::result<membership::write_result> read_write_result(json_reader& fields)
{
    static constexpr std::array<std::string_view, 4> names{"committed", "conflict", "not_written",
                                                           "unknown"};
    static constexpr std::array<platform::transact_status, 4> statuses{
        platform::transact_status::committed, platform::transact_status::conflict,
        platform::transact_status::not_written, platform::transact_status::unknown};
    membership::write_result answer;
    BOOST_LEAF_ASSIGN(answer.action_id, read_number(fields, "action"));
    BOOST_LEAF_AUTO(name, fields.text("status"));
    BOOST_LEAF_AUTO(index, position(name, names, fields.path("status")));
    answer.result.status = statuses[index];
    BOOST_LEAF_ASSIGN(answer.result.conflict_key, fields.text_or("conflict_key", ""));
    if (fields.has("versions"))
    {
        BOOST_LEAF_AUTO(versions, fields.array("versions"));
        for (const json::value& version : *versions)
        {
            if (!version.is_int64() || version.get_int64() < 0)
            {
                return leaf::new_error(
                    input_error{fields.path("versions"), json::serialize(version), "a version"});
            }
            answer.result.versions.push_back(static_cast<std::uint64_t>(version.get_int64()));
        }
    }
    return answer;
}

leaf::result<membership::read_result> read_read_result(json_reader& fields)
{
    membership::read_result answer;
    BOOST_LEAF_ASSIGN(answer.action_id, read_number(fields, "action"));
    BOOST_LEAF_ASSIGN(answer.result.status, read_status_of(fields));
    if (fields.has("row"))
    {
        BOOST_LEAF_AUTO(object, fields.object("row"));
        json_reader row_fields(*object, fields.path("row"));
        BOOST_LEAF_ASSIGN(answer.result.value, read_row(*object, row_fields));
        leaf::result<void> finished = row_fields.finish();
        if (!finished)
        {
            return finished.error();
        }
    }
    return answer;
}

leaf::result<membership::list_result> read_list_result(json_reader& fields)
{
    membership::list_result answer;
    BOOST_LEAF_ASSIGN(answer.action_id, read_number(fields, "action"));
    BOOST_LEAF_ASSIGN(answer.result.status, read_status_of(fields));
    BOOST_LEAF_AUTO(rows, fields.array("rows"));
    for (const json::value& row : *rows)
    {
        if (!row.is_object())
        {
            return leaf::new_error(
                input_error{fields.path("rows"), json::serialize(row), "an object"});
        }
        json_reader row_fields(row.get_object(), fields.path("rows"));
        BOOST_LEAF_AUTO(parsed, read_row(row.get_object(), row_fields));
        leaf::result<void> finished = row_fields.finish();
        if (!finished)
        {
            return finished.error();
        }
        answer.result.rows.push_back(std::move(parsed));
    }
    return answer;
}

leaf::result<std::vector<routing::member>> read_members(json_reader& fields)
{
    BOOST_LEAF_AUTO(list, fields.array("members"));
    std::vector<routing::member> members;
    for (const json::value& item : *list)
    {
        if (!item.is_object())
        {
            return leaf::new_error(
                input_error{fields.path("members"), json::serialize(item), "an object"});
        }
        json_reader reader(item.get_object(), fields.path("members"));
        BOOST_LEAF_AUTO(member, read_member(reader));
        leaf::result<void> finished = reader.finish();
        if (!finished)
        {
            return finished.error();
        }
        members.push_back(std::move(member));
    }
    return members;
}

leaf::result<membership::heartbeat> read_heartbeat(json_reader& fields)
{
    BOOST_LEAF_AUTO(sender, read_member(fields));
    membership::heartbeat message;
    message.id = sender.id;
    message.incarnation = sender.incarnation;
    message.availability_zone = sender.availability_zone;
    BOOST_LEAF_ASSIGN(message.stopping, fields.flag_or("stopping", false));
    membership::placement_use& use = message.placement[sender.availability_zone];
    BOOST_LEAF_ASSIGN(use.in_force, read_number(fields, "in_force"));
    BOOST_LEAF_ASSIGN(use.lowest_in_use, read_number(fields, "lowest_in_use"));
    BOOST_LEAF_AUTO(busy, read_names(fields, "busy"));
    message.busy_draining_hosts.insert(busy.begin(), busy.end());
    return message;
}

} // namespace lacewingquay::replay
