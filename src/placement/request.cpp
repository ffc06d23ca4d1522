#include "placement/request.hpp"

#include "core/json.hpp"

namespace lacewingquay::placement
{

namespace leaf = boost::leaf;

namespace
{

constexpr std::string_view key_prefix = "move/";

} // namespace

std::string_view to_string(request_kind kind)
{
    switch (kind)
    {
    case request_kind::move:
        return "move";
    case request_kind::drain:
        return "drain";
    case request_kind::leave:
        return "leave";
    case request_kind::return_to_service:
        return "return";
    }
    return "return";
}

std::string request_key(std::string_view host)
{
    return std::string(key_prefix) + std::string(host);
}

std::optional<std::string_view> host_of_request_key(std::string_view key)
{
    if (!key.starts_with(key_prefix) || key.size() == key_prefix.size())
    {
        return std::nullopt;
    }
    return key.substr(key_prefix.size());
}

std::string request_value(const request_row& row, std::string_view write_id)
{
    boost::json::object object{
        {"write_id", write_id}, {"action", to_string(row.request.kind)}, {"author", row.author}};
    if (!row.request.to_pool.empty())
    {
        object["to"] = row.request.to_pool;
    }
    if (!row.refusal.empty())
    {
        object["refusal"] = row.refusal;
    }
    return boost::json::serialize(object);
}

leaf::result<request_row> parse_request(std::string_view value, std::string_view host)
{
    const std::string key = request_key(host);
    BOOST_LEAF_AUTO(object, parse_json_object(value, key));
    json_reader reader(object, key);
    request_row row;
    row.request.host = std::string(host);
    BOOST_LEAF_AUTO(write_id, reader.text("write_id"));
    static_cast<void>(write_id);
    BOOST_LEAF_AUTO(action, reader.text("action"));
    bool known = false;
    for (const request_kind kind : {request_kind::move, request_kind::drain, request_kind::leave,
                                    request_kind::return_to_service})
    {
        if (to_string(kind) == action)
        {
            row.request.kind = kind;
            known = true;
        }
    }
    if (!known)
    {
        return leaf::new_error(
            input_error{reader.path("action"), action, "move, drain, leave or return"});
    }
    BOOST_LEAF_ASSIGN(row.request.to_pool, reader.text_or("to", ""));
    if ((row.request.kind == request_kind::move) == row.request.to_pool.empty())
    {
        return leaf::new_error(input_error{reader.path("to"), row.request.to_pool,
                                           "a pool for a move and none for other actions"});
    }
    BOOST_LEAF_ASSIGN(row.author, reader.text_or("author", ""));
    BOOST_LEAF_ASSIGN(row.refusal, reader.text_or("refusal", ""));
    leaf::result<void> finished = reader.finish();
    if (!finished)
    {
        return finished.error();
    }
    return row;
}

} // namespace lacewingquay::placement
