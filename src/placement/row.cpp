#include "placement/row.hpp"

#include "core/json.hpp"

#include <limits>
#include <utility>

namespace lacewingquay::placement
{

namespace leaf = boost::leaf;

namespace
{

constexpr std::string_view key_prefix = "placement/";
constexpr std::int64_t max_epoch = std::numeric_limits<std::int64_t>::max();

leaf::result<host_state> parse_state(std::string_view name, const std::string& where)
{
    const std::optional<host_state> state = host_state_of(name);
    if (!state)
    {
        return leaf::new_error(
            input_error{where, std::string(name), "serving, draining, maintenance or leaving"});
    }
    return *state;
}

/// The allowed values of `next_state` for the entry's state, for an error message; empty if
/// `next_state` is valid.
std::string_view allowed_next_states(const host_placement& entry)
{
    switch (entry.state)
    {
    case host_state::serving:
    case host_state::maintenance:
        return entry.next_state == host_state::serving ? "" : "serving";
    case host_state::draining:
        return entry.next_state == host_state::serving ||
                       entry.next_state == host_state::maintenance
                   ? ""
                   : "serving or maintenance";
    case host_state::leaving:
        return entry.next_state == host_state::draining ? "serving, maintenance or leaving" : "";
    }
    return "serving";
}

leaf::result<host_placement> parse_entry(const boost::json::object& object,
                                         const std::string& where, std::uint64_t row_epoch)
{
    json_reader reader(object, where);
    host_placement entry;
    BOOST_LEAF_ASSIGN(entry.pool, reader.text("pool"));
    if (entry.pool.empty())
    {
        return leaf::new_error(input_error{reader.path("pool"), "", "the name of a pool"});
    }
    BOOST_LEAF_AUTO(state, reader.text("state"));
    BOOST_LEAF_ASSIGN(entry.state, parse_state(state, reader.path("state")));
    BOOST_LEAF_AUTO(epoch, reader.integer("epoch", 1, static_cast<std::int64_t>(row_epoch)));
    entry.epoch = static_cast<std::uint64_t>(epoch);
    BOOST_LEAF_ASSIGN(entry.next_pool, reader.text_or("next_pool", ""));
    BOOST_LEAF_AUTO(next_state, reader.text_or("next_state", "serving"));
    BOOST_LEAF_ASSIGN(entry.next_state, parse_state(next_state, reader.path("next_state")));
    const std::string_view allowed = allowed_next_states(entry);
    if (!allowed.empty())
    {
        return leaf::new_error(
            input_error{reader.path("next_state"), next_state, std::string(allowed)});
    }
    const bool is_moving =
        entry.state == host_state::draining && entry.next_state == host_state::serving;
    if (is_moving == entry.next_pool.empty())
    {
        return leaf::new_error(input_error{reader.path("next_pool"), entry.next_pool,
                                           is_moving ? "the name of a pool" : "no pool"});
    }
    leaf::result<void> finished = reader.finish();
    if (!finished)
    {
        return finished.error();
    }
    return entry;
}

} // namespace

std::string placement_key(std::string_view availability_zone)
{
    return std::string(key_prefix) + std::string(availability_zone);
}

std::optional<std::string_view> zone_of_placement_key(std::string_view key)
{
    if (!key.starts_with(key_prefix) || key.size() == key_prefix.size())
    {
        return std::nullopt;
    }
    return key.substr(key_prefix.size());
}

std::string placement_value(const zone_placement& placement, std::string_view write_id)
{
    boost::json::object hosts;
    for (const std::pair<const std::string, host_placement>& item : placement.hosts)
    {
        const host_placement& entry = item.second;
        boost::json::object object{
            {"pool", entry.pool}, {"state", to_string(entry.state)}, {"epoch", entry.epoch}};
        if (!entry.next_pool.empty())
        {
            object["next_pool"] = entry.next_pool;
        }
        if (entry.next_state != host_state::serving)
        {
            object["next_state"] = to_string(entry.next_state);
        }
        hosts[item.first] = std::move(object);
    }
    return boost::json::serialize(boost::json::object{
        {"write_id", write_id}, {"epoch", placement.epoch}, {"hosts", std::move(hosts)}});
}

leaf::result<zone_placement> parse_placement(std::string_view value,
                                             std::string_view availability_zone)
{
    const std::string key = placement_key(availability_zone);
    BOOST_LEAF_AUTO(object, parse_json_object(value, key));
    json_reader reader(object, key);
    zone_placement placement;
    placement.availability_zone = std::string(availability_zone);
    BOOST_LEAF_AUTO(write_id, reader.text("write_id"));
    static_cast<void>(write_id);
    BOOST_LEAF_AUTO(epoch, reader.integer("epoch", 1, max_epoch));
    placement.epoch = static_cast<std::uint64_t>(epoch);
    BOOST_LEAF_AUTO(hosts, reader.object("hosts"));
    leaf::result<void> finished = reader.finish();
    if (!finished)
    {
        return finished.error();
    }
    for (const boost::json::key_value_pair& item : *hosts)
    {
        const std::string name(item.key());
        std::string where = key;
        where.append(".hosts.").append(name);
        if (name.empty() || !item.value().is_object())
        {
            return leaf::new_error(input_error{where, boost::json::serialize(item.value()),
                                               "a host name with an object"});
        }
        BOOST_LEAF_ASSIGN(placement.hosts[name],
                          parse_entry(item.value().get_object(), where, placement.epoch));
    }
    return placement;
}

std::optional<host_state> host_state_of(std::string_view name)
{
    for (const host_state state :
         {host_state::serving, host_state::draining, host_state::maintenance, host_state::leaving})
    {
        if (to_string(state) == name)
        {
            return state;
        }
    }
    return std::nullopt;
}

bool is_same_placement(const host_placement& left, const host_placement& right)
{
    return left.pool == right.pool && left.state == right.state && left.epoch == right.epoch &&
           left.next_pool == right.next_pool && left.next_state == right.next_state;
}

} // namespace lacewingquay::placement
