#include "platform/codec.hpp"

#include "core/json.hpp"

#include <limits>
#include <utility>

namespace lacewingquay::platform
{

namespace json = boost::json;
namespace leaf = boost::leaf;

namespace
{

constexpr std::size_t max_body_bytes = 64U << 20U;
constexpr std::int64_t max_version = std::numeric_limits<std::int64_t>::max();

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

json::object row_object(const row& value)
{
    return json::object{{"key", value.key}, {"version", value.version}, {"value", value.value}};
}

leaf::result<row> read_row_object(const json::object& object, std::string where)
{
    json_reader reader(object, std::move(where));
    row result;
    BOOST_LEAF_ASSIGN(result.key, reader.text("key"));
    BOOST_LEAF_AUTO(version, reader.integer("version", 1, max_version));
    result.version = static_cast<std::uint64_t>(version);
    BOOST_LEAF_ASSIGN(result.value, reader.text("value"));
    return result;
}

leaf::result<row_check> read_check(const json::value& value, const std::string& where)
{
    BOOST_LEAF_AUTO(object, object_at(value, where));
    json_reader reader(*object, where);
    row_check result;
    BOOST_LEAF_ASSIGN(result.key, reader.text("key"));
    BOOST_LEAF_AUTO(version, reader.integer("version", 0, max_version));
    result.version = static_cast<std::uint64_t>(version);
    return result;
}

leaf::result<row_write> read_write(const json::value& value, const std::string& where)
{
    BOOST_LEAF_AUTO(object, object_at(value, where));
    json_reader reader(*object, where);
    row_write result;
    BOOST_LEAF_ASSIGN(result.key, reader.text("key"));
    const json::value* written = object->if_contains("value");
    if (written != nullptr && written->is_null())
    {
        return result;
    }
    BOOST_LEAF_ASSIGN(result.value, reader.text("value"));
    return result;
}

} // namespace

std::string encode_transaction(const transaction& changes)
{
    json::array checks;
    for (const row_check& check : changes.checks)
    {
        checks.push_back(json::object{{"key", check.key}, {"version", check.version}});
    }
    json::array writes;
    for (const row_write& write : changes.writes)
    {
        json::object object{{"key", write.key}, {"value", nullptr}};
        if (write.value)
        {
            object["value"] = *write.value;
        }
        writes.push_back(std::move(object));
    }
    json::object body;
    body["checks"] = std::move(checks);
    body["writes"] = std::move(writes);
    return json::serialize(body);
}

leaf::result<transaction> decode_transaction(std::string_view text)
{
    BOOST_LEAF_AUTO(object, parse_json_object(text, "transaction", max_body_bytes));
    json_reader reader(object, "transaction");
    BOOST_LEAF_AUTO(checks, reader.array("checks"));
    BOOST_LEAF_AUTO(writes, reader.array("writes"));
    transaction result;
    for (std::size_t i = 0; i < checks->size(); ++i)
    {
        BOOST_LEAF_AUTO(check, read_check((*checks)[i], element("checks", i)));
        result.checks.push_back(std::move(check));
    }
    for (std::size_t i = 0; i < writes->size(); ++i)
    {
        BOOST_LEAF_AUTO(write, read_write((*writes)[i], element("writes", i)));
        result.writes.push_back(std::move(write));
    }
    return result;
}

std::string encode_versions(std::span<const std::uint64_t> versions)
{
    json::array list;
    for (const std::uint64_t version : versions)
    {
        list.emplace_back(version);
    }
    json::object body;
    body["versions"] = std::move(list);
    return json::serialize(body);
}

leaf::result<std::vector<std::uint64_t>> decode_versions(std::string_view text)
{
    BOOST_LEAF_AUTO(object, parse_json_object(text, "answer", max_body_bytes));
    json_reader reader(object, "answer");
    BOOST_LEAF_AUTO(list, reader.array("versions"));
    std::vector<std::uint64_t> result;
    for (const json::value& value : *list)
    {
        if (!value.is_int64() || value.get_int64() < 0)
        {
            return leaf::new_error(
                input_error{"answer.versions", json::serialize(value), "a version"});
        }
        result.push_back(static_cast<std::uint64_t>(value.get_int64()));
    }
    return result;
}

std::string encode_conflict(std::string_view key)
{
    return json::serialize(json::object{{"conflict", key}});
}

leaf::result<std::string> decode_conflict(std::string_view text)
{
    BOOST_LEAF_AUTO(object, parse_json_object(text, "answer", max_body_bytes));
    return json_reader(object, "answer").text("conflict");
}

std::string encode_row(const row& value)
{
    return json::serialize(row_object(value));
}

leaf::result<row> decode_row(std::string_view text)
{
    BOOST_LEAF_AUTO(object, parse_json_object(text, "row", max_body_bytes));
    return read_row_object(object, "row");
}

std::string encode_page(const row_page& page)
{
    json::array rows;
    for (const row& value : page.rows)
    {
        rows.push_back(row_object(value));
    }
    json::object body;
    body["rows"] = std::move(rows);
    body["more"] = page.more;
    return json::serialize(body);
}

leaf::result<row_page> decode_page(std::string_view text)
{
    BOOST_LEAF_AUTO(object, parse_json_object(text, "rows", max_body_bytes));
    json_reader reader(object, "");
    row_page page;
    BOOST_LEAF_AUTO(rows, reader.array("rows"));
    BOOST_LEAF_ASSIGN(page.more, reader.flag_or("more", false));
    for (std::size_t i = 0; i < rows->size(); ++i)
    {
        BOOST_LEAF_AUTO(entry, object_at((*rows)[i], element("rows", i)));
        BOOST_LEAF_AUTO(value, read_row_object(*entry, element("rows", i)));
        page.rows.push_back(std::move(value));
    }
    return page;
}

std::string encode_hosts(std::span<const listed_host> hosts)
{
    json::array list;
    for (const listed_host& host : hosts)
    {
        list.push_back(json::object{{"name", host.name}, {"leaving", host.leaving}});
    }
    json::object body;
    body["hosts"] = std::move(list);
    return json::serialize(body);
}

leaf::result<std::vector<listed_host>> decode_hosts(std::string_view text)
{
    BOOST_LEAF_AUTO(object, parse_json_object(text, "hosts", max_body_bytes));
    json_reader reader(object, "");
    BOOST_LEAF_AUTO(list, reader.array("hosts"));
    std::vector<listed_host> result;
    for (std::size_t i = 0; i < list->size(); ++i)
    {
        BOOST_LEAF_AUTO(entry, object_at((*list)[i], element("hosts", i)));
        json_reader fields(*entry, element("hosts", i));
        listed_host host;
        BOOST_LEAF_ASSIGN(host.name, fields.text("name"));
        BOOST_LEAF_ASSIGN(host.leaving, fields.flag_or("leaving", false));
        result.push_back(std::move(host));
    }
    return result;
}

} // namespace lacewingquay::platform
