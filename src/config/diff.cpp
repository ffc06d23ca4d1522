#include "config/diff.hpp"

#include "config/serialize.hpp"

#include <utility>

namespace lacewingquay::config
{

namespace json = boost::json;

namespace
{

template <typename Map>
json::object fields_in(const Map& objects, const std::string& name)
{
    const auto found = objects.find(name);
    return found == objects.end() ? json::object() : definition_to_json(found->second);
}

/// The definition of an object in the configuration; empty if it does not exist.
json::object fields_before(const configuration& base, const object_key& key)
{
    switch (key.kind)
    {
    case object_kind::service:
        return fields_in(base.services, key.name);
    case object_kind::pool:
        return fields_in(base.pools, key.name);
    case object_kind::host:
        return fields_in(base.hosts, key.name);
    case object_kind::settings:
        return definition_to_json(base.settings);
    }
    return {};
}

json::object changed_fields(const json::object& before, const json::object& after)
{
    json::object fields;
    for (const json::key_value_pair& field : after)
    {
        const json::value* old_value = before.if_contains(field.key());
        if (old_value == nullptr || *old_value != field.value())
        {
            json::object change;
            change["before"] = old_value == nullptr ? json::value() : *old_value;
            change["after"] = field.value();
            fields[field.key()] = std::move(change);
        }
    }
    return fields;
}

} // namespace

json::object diff_to_json(const release_note& note, const configuration& base)
{
    json::array added;
    for (const definition& object : note.added)
    {
        added.push_back(definition_to_json(object));
    }
    json::array changed;
    for (const definition& object : note.changed)
    {
        const object_key key = key_of(object);
        json::object entry{{"kind", to_string(key.kind)}, {"name", key.name}};
        entry["fields"] = changed_fields(fields_before(base, key), definition_to_json(object));
        changed.push_back(std::move(entry));
    }
    json::array withdrawn;
    for (const object_key& key : note.withdrawn)
    {
        withdrawn.push_back(json::object{{"kind", to_string(key.kind)}, {"name", key.name}});
    }
    json::object result;
    result["added"] = std::move(added);
    result["changed"] = std::move(changed);
    result["withdrawn"] = std::move(withdrawn);
    return result;
}

std::string diff_to_text(const release_note& note, const configuration& base)
{
    std::string text;
    for (const definition& object : note.added)
    {
        text +=
            "+ " + key_of(object).text() + " " + json::serialize(definition_to_json(object)) + "\n";
    }
    for (const definition& object : note.changed)
    {
        const object_key key = key_of(object);
        text += "~ " + key.text() + "\n";
        for (const json::key_value_pair& field :
             changed_fields(fields_before(base, key), definition_to_json(object)))
        {
            text += "    " + std::string(field.key()) + ": " +
                    json::serialize(field.value().at("before")) + " -> " +
                    json::serialize(field.value().at("after")) + "\n";
        }
    }
    for (const object_key& key : note.withdrawn)
    {
        text += "- " + key.text() + "\n";
    }
    return text;
}

} // namespace lacewingquay::config
