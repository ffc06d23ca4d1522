#include "config/serialize.hpp"

#include <string_view>
#include <utility>

namespace lacewingquay::config
{

namespace json = boost::json;

namespace
{

std::string_view priority_name(priority value)
{
    switch (value)
    {
    case priority::urgent:
        return "urgent";
    case priority::normal:
        return "normal";
    case priority::deferrable:
        return "deferrable";
    }
    return "normal";
}

json::object fields_of(const service& value)
{
    json::array methods;
    for (const std::string& method : value.idempotent_methods)
    {
        methods.emplace_back(method);
    }
    json::object object{{"name", value.name},
                        {"pool", value.pool},
                        {"slo", value.slo},
                        {"latency_target_ms", value.latency_target.count()},
                        {"request_timeout_ms", value.request_timeout.count()},
                        {"priority", priority_name(value.default_priority)}};
    object["idempotent_methods"] = std::move(methods);
    return object;
}

json::object fields_of(const pool& value)
{
    return json::object{{"name", value.name},
                        {"min_hosts", value.min_hosts},
                        {"buffer_hosts", value.buffer_hosts},
                        {"host_hour_cost", value.host_hour_cost},
                        {"spare", value.spare}};
}

json::object fields_of(const host& value)
{
    return json::object{{"name", value.name},
                        {"availability_zone", value.availability_zone},
                        {"rack", value.rack},
                        {"address", value.where.text()},
                        {"slots", value.slots},
                        {"connections", value.connections},
                        {"initial_pool", value.initial_pool}};
}

json::object fields_of(const deployment_settings& value)
{
    json::object object{{"veto_window_ms", value.veto_window.count()}};
    object["weights"] = json::object{{"move", value.cost_weights.move},
                                     {"buffer_host_hour", value.cost_weights.buffer_host_hour},
                                     {"missed_request", value.cost_weights.missed_request}};
    return object;
}

template <typename Object>
json::object body_entry(const Object& value)
{
    json::object object = fields_of(value);
    object["changed_epoch"] = value.changed_epoch;
    return object;
}

template <typename Map>
json::array body_list(const Map& objects)
{
    json::array list;
    for (const auto& [name, value] : objects)
    {
        list.push_back(body_entry(value));
    }
    return list;
}

json::array definition_list(const std::vector<definition>& objects)
{
    json::array list;
    for (const definition& object : objects)
    {
        list.push_back(definition_to_json(object));
    }
    return list;
}

} // namespace

json::object definition_to_json(const definition& object)
{
    json::object result{{"kind", to_string(key_of(object).kind)}};
    json::object fields = std::visit([](const auto& value) { return fields_of(value); }, object);
    for (json::key_value_pair& field : fields)
    {
        result[field.key()] = std::move(field.value());
    }
    return result;
}

json::object note_to_json(const release_note& note)
{
    json::array withdrawn;
    for (const object_key& key : note.withdrawn)
    {
        withdrawn.push_back(json::object{{"kind", to_string(key.kind)}, {"name", key.name}});
    }
    json::object object{{"id", note.id},
                        {"base_epoch", note.base_epoch},
                        {"author", note.author},
                        {"reason", note.reason}};
    object["added"] = definition_list(note.added);
    object["changed"] = definition_list(note.changed);
    object["withdrawn"] = std::move(withdrawn);
    return object;
}

std::string serialize_note(const release_note& note)
{
    return json::serialize(note_to_json(note));
}

std::string serialize_configuration(const configuration& value)
{
    json::object body;
    body["epoch"] = value.epoch;
    body["services"] = body_list(value.services);
    body["pools"] = body_list(value.pools);
    body["hosts"] = body_list(value.hosts);
    body["settings"] = body_entry(value.settings);
    return json::serialize(body);
}

} // namespace lacewingquay::config
