#include "config/parse.hpp"

#include "config/limits.hpp"
#include "config/parse_objects.hpp"
#include "config/validate.hpp"
#include "core/json.hpp"
#include "platform/check.hpp"

#include <limits>
#include <utility>

namespace lacewingquay::config
{

namespace json = boost::json;
namespace leaf = boost::leaf;

namespace
{

constexpr std::int64_t max_epoch = std::numeric_limits<std::int64_t>::max();

leaf::result<const json::object*> object_at(const json::value& value, const std::string& where)
{
    if (!value.is_object())
    {
        return leaf::new_error(input_error{where, "another type", "a JSON object"});
    }
    return &value.get_object();
}

std::string element(std::string_view list, std::size_t index)
{
    return std::string(list) + "[" + std::to_string(index) + "]";
}

leaf::result<void> check_count(std::string_view field, std::size_t count, std::size_t highest)
{
    if (count > highest)
    {
        return leaf::new_error(input_error{std::string(field), std::to_string(count) + " entries",
                                           "at most " + std::to_string(highest)});
    }
    return {};
}

leaf::result<object_kind> read_kind(json_reader& reader)
{
    BOOST_LEAF_AUTO(text, reader.text("kind"));
    for (const object_kind kind :
         {object_kind::service, object_kind::pool, object_kind::host, object_kind::settings})
    {
        if (text == to_string(kind))
        {
            return kind;
        }
    }
    return leaf::new_error(
        input_error{reader.path("kind"), text, "service, pool, host or settings"});
}

leaf::result<definition> read_definition(json_reader& reader, object_kind kind, completeness fields)
{
    switch (kind)
    {
    case object_kind::service:
        return read_service(reader, fields);
    case object_kind::pool:
        return read_pool(reader, fields);
    case object_kind::host:
        return read_host(reader, fields);
    case object_kind::settings:
        return read_settings(reader, fields);
    }
    return leaf::new_error(input_error{reader.path("kind"), "", "a known kind"});
}

leaf::result<std::vector<definition>> read_definitions(json_reader& note, std::string_view field,
                                                       completeness fields)
{
    std::vector<definition> result;
    BOOST_LEAF_AUTO(list, note.array(field));
    LACEWINGQUAY_CHECK(check_count(field, list->size(), limits::max_note_entries));
    for (std::size_t i = 0; i < list->size(); ++i)
    {
        const std::string where = element(field, i);
        BOOST_LEAF_AUTO(object, object_at((*list)[i], where));
        json_reader reader(*object, where);
        BOOST_LEAF_AUTO(kind, read_kind(reader));
        if (kind == object_kind::settings && field == "added")
        {
            return leaf::new_error(input_error{reader.path("kind"), "settings",
                                               "service, pool or host: settings always exist and "
                                               "are listed under 'changed'"});
        }
        BOOST_LEAF_AUTO(value, read_definition(reader, kind, fields));
        LACEWINGQUAY_CHECK(reader.finish());
        result.push_back(std::move(value));
    }
    return result;
}

leaf::result<std::vector<object_key>> read_withdrawn(json_reader& note)
{
    constexpr std::string_view field = "withdrawn";
    std::vector<object_key> result;
    BOOST_LEAF_AUTO(list, note.array(field));
    LACEWINGQUAY_CHECK(check_count(field, list->size(), limits::max_note_entries));
    for (std::size_t i = 0; i < list->size(); ++i)
    {
        const std::string where = element(field, i);
        BOOST_LEAF_AUTO(object, object_at((*list)[i], where));
        json_reader reader(*object, where);
        object_key key;
        BOOST_LEAF_ASSIGN(key.kind, read_kind(reader));
        if (key.kind == object_kind::settings)
        {
            return leaf::new_error(
                input_error{reader.path("kind"), "settings", "service, pool or host"});
        }
        BOOST_LEAF_ASSIGN(key.name, read_name(reader, "name"));
        LACEWINGQUAY_CHECK(reader.finish());
        result.push_back(std::move(key));
    }
    return result;
}

leaf::result<std::uint64_t> read_epoch(json_reader& reader, std::string_view field)
{
    BOOST_LEAF_AUTO(epoch, reader.integer(field, 0, max_epoch));
    return static_cast<std::uint64_t>(epoch);
}

/// Reads one list of the body of a configuration into `target`.
template <typename Object, typename Read>
leaf::result<void> read_objects(json_reader& body, std::string_view field, std::size_t highest,
                                Read read, std::map<std::string, Object, std::less<>>& target)
{
    BOOST_LEAF_AUTO(list, body.array(field));
    LACEWINGQUAY_CHECK(check_count(field, list->size(), highest));
    for (std::size_t i = 0; i < list->size(); ++i)
    {
        const std::string where = element(field, i);
        BOOST_LEAF_AUTO(object, object_at((*list)[i], where));
        json_reader reader(*object, where);
        BOOST_LEAF_AUTO(value, read(reader, completeness::complete));
        BOOST_LEAF_ASSIGN(value.changed_epoch, read_epoch(reader, "changed_epoch"));
        LACEWINGQUAY_CHECK(reader.finish());
        std::string name = value.name;
        if (!target.emplace(name, std::move(value)).second)
        {
            return leaf::new_error(input_error{where + ".name", name, "a name used once"});
        }
    }
    return {};
}

} // namespace

leaf::result<release_note> parse_note(std::string_view text)
{
    BOOST_LEAF_AUTO(object, parse_json_object(text, "release note", limits::max_note_bytes));
    return read_note(object);
}

leaf::result<release_note> read_note(const json::object& object)
{
    json_reader reader(object, "");
    release_note note;
    BOOST_LEAF_ASSIGN(note.id, read_name(reader, "id"));
    BOOST_LEAF_ASSIGN(note.base_epoch, read_epoch(reader, "base_epoch"));
    BOOST_LEAF_ASSIGN(note.author, read_line(reader, "author", limits::max_author_length));
    BOOST_LEAF_ASSIGN(note.reason, read_line(reader, "reason", limits::max_reason_length));
    BOOST_LEAF_ASSIGN(note.added, read_definitions(reader, "added", completeness::with_defaults));
    BOOST_LEAF_ASSIGN(note.changed, read_definitions(reader, "changed", completeness::complete));
    BOOST_LEAF_ASSIGN(note.withdrawn, read_withdrawn(reader));
    LACEWINGQUAY_CHECK(reader.finish());
    LACEWINGQUAY_CHECK(check_entries(note));
    return note;
}

leaf::result<configuration> parse_configuration(std::string_view text)
{
    BOOST_LEAF_AUTO(object,
                    parse_json_object(text, "configuration", limits::max_configuration_bytes));
    json_reader reader(object, "configuration");
    configuration result;
    BOOST_LEAF_ASSIGN(result.epoch, read_epoch(reader, "epoch"));
    LACEWINGQUAY_CHECK(
        read_objects(reader, "services", limits::max_services, read_service, result.services));
    LACEWINGQUAY_CHECK(read_objects(reader, "pools", limits::max_pools, read_pool, result.pools));
    LACEWINGQUAY_CHECK(read_objects(reader, "hosts", limits::max_hosts, read_host, result.hosts));
    BOOST_LEAF_AUTO(settings, reader.object("settings"));
    json_reader inner(*settings, "settings");
    BOOST_LEAF_ASSIGN(result.settings, read_settings(inner, completeness::complete));
    BOOST_LEAF_ASSIGN(result.settings.changed_epoch, read_epoch(inner, "changed_epoch"));
    LACEWINGQUAY_CHECK(inner.finish());
    LACEWINGQUAY_CHECK(reader.finish());
    LACEWINGQUAY_CHECK(validate(result));
    return result;
}

} // namespace lacewingquay::config
