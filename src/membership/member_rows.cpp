#include "membership/member_rows.hpp"

#include "core/json.hpp"
#include "membership/incarnation.hpp"

#include <optional>
#include <utility>

namespace lacewingquay::membership
{

namespace leaf = boost::leaf;

namespace
{

boost::json::object member_object(const routing::member& member)
{
    return {{"incarnation", member.incarnation},
            {"availability_zone", member.availability_zone},
            {"peer_address", member.peer_address.text()},
            {"dispatch_address", member.dispatch_address.text()}};
}

leaf::result<routing::member> parse_member(const boost::json::object& object, const std::string& id)
{
    json_reader reader(object, "entries." + id);
    routing::member member;
    member.id = id;
    BOOST_LEAF_ASSIGN(member.incarnation, reader.text("incarnation"));
    const std::optional<incarnation> start = parse_incarnation(member.incarnation);
    if (!start || start->id != id)
    {
        return leaf::new_error(input_error{reader.path("incarnation"), member.incarnation,
                                           id + "#<start time in ms>"});
    }
    BOOST_LEAF_ASSIGN(member.availability_zone, reader.text("availability_zone"));
    if (member.availability_zone.empty())
    {
        return leaf::new_error(
            input_error{reader.path("availability_zone"), "", "the name of an availability zone"});
    }
    BOOST_LEAF_AUTO(peer_address, reader.text("peer_address"));
    BOOST_LEAF_ASSIGN(member.peer_address,
                      parse_address(peer_address, reader.path("peer_address")));
    BOOST_LEAF_AUTO(dispatch_address, reader.text("dispatch_address"));
    BOOST_LEAF_ASSIGN(member.dispatch_address,
                      parse_address(dispatch_address, reader.path("dispatch_address")));
    leaf::result<void> finished = reader.finish();
    if (!finished)
    {
        return finished.error();
    }
    return member;
}

} // namespace

std::string entry_key(std::string_view id)
{
    return "entry/" + std::string(id);
}

std::string entry_value(const routing::member& member, std::string_view write_id)
{
    boost::json::object object = member_object(member);
    object["write_id"] = write_id;
    return boost::json::serialize(object);
}

std::string members_value(const member_map& members, std::string_view write_id)
{
    boost::json::object entries;
    for (const member_map::value_type& entry : members)
    {
        entries[entry.first] = member_object(entry.second);
    }
    return boost::json::serialize(
        boost::json::object{{"write_id", write_id}, {"entries", std::move(entries)}});
}

leaf::result<member_map> parse_members(std::string_view value)
{
    BOOST_LEAF_AUTO(object, parse_json_object(value, members_key));
    json_reader reader(object, std::string());
    BOOST_LEAF_AUTO(entries, reader.object("entries"));
    BOOST_LEAF_AUTO(write_id, reader.text("write_id"));
    static_cast<void>(write_id);
    leaf::result<void> finished = reader.finish();
    if (!finished)
    {
        return finished.error();
    }
    member_map members;
    for (const boost::json::key_value_pair& entry : *entries)
    {
        const std::string id(entry.key());
        if (!entry.value().is_object())
        {
            return leaf::new_error(
                input_error{"entries." + id, boost::json::serialize(entry.value()), "an object"});
        }
        BOOST_LEAF_ASSIGN(members[id], parse_member(entry.value().get_object(), id));
    }
    return members;
}

} // namespace lacewingquay::membership
