#include "core/json.hpp"
#include "planner/planner.hpp"

#include <limits>

namespace lacewingquay::planner
{

namespace leaf = boost::leaf;

namespace
{

constexpr std::int64_t state_format = 1;
constexpr std::int64_t max_int64 = std::numeric_limits<std::int64_t>::max();

boost::json::object pending_change_json(std::int64_t since, std::int64_t change)
{
    return {{"since", since}, {"change", change}};
}

/// Reads an object field and passes it to `parse` with its path.
template <typename Parse>
leaf::result<void> read_object(json_reader& reader, std::string_view field, Parse parse)
{
    BOOST_LEAF_AUTO(object, reader.object(field));
    return parse(*object, reader.path(field));
}

} // namespace

std::string planner::to_json() const
{
    boost::json::object pools;
    for (const auto& [name, state] : pools_)
    {
        pools[name] = boost::json::object{
            {"history", state.history.to_json()},
            {"grow_to", state.grow_to},
            {"shrink_to", state.shrink_to},
            {"sized_for", state.sized_for},
            {"grow", pending_change_json(state.grow.since, state.grow.change)},
            {"shrink", pending_change_json(state.shrink.since, state.shrink.change)},
            {"below_minimum_since", state.below_minimum_since}};
    }
    boost::json::object orders;
    for (const auto& [host, entry] : orders_)
    {
        orders[host] = boost::json::object{{"to", entry.to}, {"minute", entry.minute}};
    }
    return boost::json::serialize(boost::json::object{{"format", state_format},
                                                      {"last_minute", last_minute_},
                                                      {"pools", std::move(pools)},
                                                      {"orders", std::move(orders)}});
}

leaf::result<planner::pool_state> planner::pool_from_json(const boost::json::object& object,
                                                          const std::string& where)
{
    pool_state state;
    json_reader reader(object, where);
    if (leaf::result<void> checked = read_object(
            reader, "history",
            [&](const boost::json::object& history, const std::string& path) -> leaf::result<void>
            {
                BOOST_LEAF_ASSIGN(state.history, demand_history::from_json(history, path));
                return {};
            });
        !checked)
    {
        return checked.error();
    }
    const auto read_pending_change = [](pending_change& target)
    {
        return [&target](const boost::json::object& value,
                         const std::string& path) -> leaf::result<void>
        {
            json_reader fields(value, path);
            BOOST_LEAF_ASSIGN(target.since, fields.integer("since", -1, max_int64));
            BOOST_LEAF_ASSIGN(target.change, fields.integer("change", 0, max_int64));
            return fields.finish();
        };
    };
    if (leaf::result<void> checked = read_object(reader, "grow", read_pending_change(state.grow));
        !checked)
    {
        return checked.error();
    }
    if (leaf::result<void> checked =
            read_object(reader, "shrink", read_pending_change(state.shrink));
        !checked)
    {
        return checked.error();
    }
    BOOST_LEAF_ASSIGN(state.grow_to, reader.integer("grow_to", -1, max_int64));
    BOOST_LEAF_ASSIGN(state.shrink_to, reader.integer("shrink_to", -1, max_int64));
    BOOST_LEAF_ASSIGN(state.sized_for, reader.integer("sized_for", -1, max_int64));
    BOOST_LEAF_ASSIGN(state.below_minimum_since,
                      reader.integer("below_minimum_since", -1, max_int64));
    if (leaf::result<void> checked = reader.finish(); !checked)
    {
        return checked.error();
    }
    return state;
}

leaf::result<planner> planner::from_json(std::string_view text, planner_settings settings)
{
    planner restored(settings);
    BOOST_LEAF_AUTO(object, parse_json_object(text, "planner state"));
    json_reader reader(object, "planner state");
    if (leaf::result<std::int64_t> checked = reader.integer("format", state_format, state_format);
        !checked)
    {
        return checked.error();
    }
    BOOST_LEAF_ASSIGN(restored.last_minute_, reader.integer("last_minute", -1, max_int64));
    BOOST_LEAF_AUTO(pools, reader.object("pools"));
    BOOST_LEAF_AUTO(orders, reader.object("orders"));
    if (leaf::result<void> checked = reader.finish(); !checked)
    {
        return checked.error();
    }
    for (const boost::json::key_value_pair& entry : *pools)
    {
        const std::string where = "planner state.pools." + std::string(entry.key());
        if (!entry.value().is_object())
        {
            return leaf::new_error(input_error{where, "another JSON type", "an object"});
        }
        BOOST_LEAF_AUTO(state, pool_from_json(entry.value().get_object(), where));
        restored.pools_[std::string(entry.key())] = std::move(state);
    }
    for (const boost::json::key_value_pair& entry : *orders)
    {
        const std::string where = "planner state.orders." + std::string(entry.key());
        if (!entry.value().is_object())
        {
            return leaf::new_error(input_error{where, "another JSON type", "an object"});
        }
        json_reader fields(entry.value().get_object(), where);
        order restored_order;
        BOOST_LEAF_ASSIGN(restored_order.to, fields.text("to"));
        BOOST_LEAF_ASSIGN(restored_order.minute, fields.integer("minute", 0, max_int64));
        if (leaf::result<void> checked = fields.finish(); !checked)
        {
            return checked.error();
        }
        restored.orders_[std::string(entry.key())] = std::move(restored_order);
    }
    return restored;
}

} // namespace lacewingquay::planner
