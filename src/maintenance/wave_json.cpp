#include "maintenance/wave_json.hpp"

#include "core/json.hpp"

#include <array>
#include <limits>

namespace lacewingquay::maintenance
{

namespace leaf = boost::leaf;

namespace
{

constexpr std::int64_t wave_format = 1;
constexpr std::int64_t max_integer = std::numeric_limits<std::int64_t>::max();

constexpr std::array<scope_kind, 3> all_scopes{scope_kind::pool, scope_kind::zone, scope_kind::all};
constexpr std::array<wave_state, 4> all_states{wave_state::requested, wave_state::running,
                                               wave_state::stopped, wave_state::finished};
constexpr std::array<host_phase, 6> all_phases{host_phase::waiting,   host_phase::draining,
                                               host_phase::rebooting, host_phase::returning,
                                               host_phase::done,      host_phase::failed};

/// Reads a field that contains the name of one of `values`.
template <typename Enum, std::size_t Size>
leaf::result<Enum> read_enum(json_reader& reader, std::string_view field,
                             const std::array<Enum, Size>& values)
{
    BOOST_LEAF_AUTO(text, reader.text(field));
    std::string allowed;
    for (const Enum value : values)
    {
        if (text == to_string(value))
        {
            return value;
        }
        allowed += (allowed.empty() ? "" : ", ") + std::string(to_string(value));
    }
    return leaf::new_error(input_error{reader.path(field), text, "one of " + allowed});
}

boost::json::object host_json(const wave_host& host)
{
    return {{"pool", host.pool},      {"availability_zone", host.availability_zone},
            {"rack", host.rack},      {"phase", to_string(host.phase)},
            {"batch", host.batch},    {"since_ms", host.since_ms},
            {"failure", host.failure}};
}

leaf::result<wave_host> host_from_json(const boost::json::object& object, const std::string& where)
{
    wave_host host;
    json_reader reader(object, where);
    BOOST_LEAF_ASSIGN(host.pool, reader.text("pool"));
    BOOST_LEAF_ASSIGN(host.availability_zone, reader.text("availability_zone"));
    BOOST_LEAF_ASSIGN(host.rack, reader.text("rack"));
    BOOST_LEAF_ASSIGN(host.phase, read_enum(reader, "phase", all_phases));
    BOOST_LEAF_ASSIGN(host.batch, reader.integer("batch", 0, max_integer));
    BOOST_LEAF_ASSIGN(host.since_ms, reader.integer("since_ms", 0, max_integer));
    BOOST_LEAF_ASSIGN(host.failure, reader.text("failure"));
    if (leaf::result<void> checked = reader.finish(); !checked)
    {
        return checked.error();
    }
    return host;
}

} // namespace

std::string wave_key(std::string_view id)
{
    return "wave/" + std::string(id);
}

std::string wave_to_json(const wave& value)
{
    boost::json::object hosts;
    for (const auto& [name, host] : value.hosts)
    {
        hosts[name] = host_json(host);
    }
    return boost::json::serialize(boost::json::object{{"format", wave_format},
                                                      {"id", value.id},
                                                      {"write_id", value.write_id},
                                                      {"scope", to_string(value.scope)},
                                                      {"scope_name", value.scope_name},
                                                      {"state", to_string(value.state)},
                                                      {"paused", value.paused},
                                                      {"reason", value.reason},
                                                      {"started_ms", value.started_ms},
                                                      {"deadline_ms", value.deadline_ms},
                                                      {"deadline_at_risk", value.deadline_at_risk},
                                                      {"batch", value.batch},
                                                      {"longest_batch_ms", value.longest_batch_ms},
                                                      {"batch_started_ms", value.batch_started_ms},
                                                      {"hosts", std::move(hosts)}});
}

leaf::result<wave> wave_from_json(std::string_view text)
{
    wave value;
    BOOST_LEAF_AUTO(object, parse_json_object(text, "wave"));
    json_reader reader(object, "wave");
    if (leaf::result<std::int64_t> checked = reader.integer("format", wave_format, wave_format);
        !checked)
    {
        return checked.error();
    }
    BOOST_LEAF_ASSIGN(value.id, reader.text("id"));
    BOOST_LEAF_ASSIGN(value.write_id, reader.text("write_id"));
    BOOST_LEAF_ASSIGN(value.scope, read_enum(reader, "scope", all_scopes));
    BOOST_LEAF_ASSIGN(value.scope_name, reader.text("scope_name"));
    BOOST_LEAF_ASSIGN(value.state, read_enum(reader, "state", all_states));
    BOOST_LEAF_ASSIGN(value.paused, reader.flag_or("paused", false));
    BOOST_LEAF_ASSIGN(value.reason, reader.text("reason"));
    BOOST_LEAF_ASSIGN(value.started_ms, reader.integer("started_ms", 0, max_integer));
    BOOST_LEAF_ASSIGN(value.deadline_ms, reader.integer("deadline_ms", 0, max_integer));
    BOOST_LEAF_ASSIGN(value.deadline_at_risk, reader.flag_or("deadline_at_risk", false));
    BOOST_LEAF_ASSIGN(value.batch, reader.integer("batch", 0, max_integer));
    BOOST_LEAF_ASSIGN(value.longest_batch_ms, reader.integer("longest_batch_ms", 0, max_integer));
    BOOST_LEAF_ASSIGN(value.batch_started_ms, reader.integer("batch_started_ms", 0, max_integer));
    BOOST_LEAF_AUTO(hosts, reader.object("hosts"));
    if (leaf::result<void> checked = reader.finish(); !checked)
    {
        return checked.error();
    }
    for (const boost::json::key_value_pair& entry : *hosts)
    {
        const std::string where = "wave.hosts." + std::string(entry.key());
        if (!entry.value().is_object())
        {
            return leaf::new_error(input_error{where, "no object", "an object"});
        }
        BOOST_LEAF_AUTO(host, host_from_json(entry.value().get_object(), where));
        value.hosts[std::string(entry.key())] = std::move(host);
    }
    return value;
}

leaf::result<std::pair<scope_kind, std::string>> parse_scope(std::string_view text,
                                                             std::string_view where)
{
    constexpr std::string_view pool_prefix = "pool:";
    constexpr std::string_view zone_prefix = "zone:";
    if (text == "all")
    {
        return std::pair(scope_kind::all, std::string());
    }
    if (text.starts_with(pool_prefix) && text.size() > pool_prefix.size())
    {
        return std::pair(scope_kind::pool, std::string(text.substr(pool_prefix.size())));
    }
    if (text.starts_with(zone_prefix) && text.size() > zone_prefix.size())
    {
        return std::pair(scope_kind::zone, std::string(text.substr(zone_prefix.size())));
    }
    return leaf::new_error(
        input_error{std::string(where), std::string(text), "all, pool:NAME or zone:NAME"});
}

} // namespace lacewingquay::maintenance
