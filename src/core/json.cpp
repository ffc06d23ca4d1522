#include "core/json.hpp"

#include <algorithm>

namespace lacewingquay
{

namespace leaf = boost::leaf;

namespace
{

std::string shorten(std::string text)
{
    constexpr std::size_t max_shown = 80;
    if (text.size() > max_shown)
    {
        text.resize(max_shown);
        text += "...";
    }
    return text;
}

} // namespace

json_reader::json_reader(const boost::json::object& object, std::string where)
    : object_(object), where_(std::move(where))
{
}

std::string json_reader::path(std::string_view field) const
{
    return where_.empty() ? std::string(field) : where_ + "." + std::string(field);
}

bool json_reader::has(std::string_view field) const
{
    return object_.contains(field);
}

const boost::json::value* json_reader::find(std::string_view field)
{
    known_.emplace_back(field);
    return object_.if_contains(field);
}

leaf::result<std::string> json_reader::text(std::string_view field)
{
    const boost::json::value* value = find(field);
    if (value == nullptr)
    {
        return leaf::new_error(input_error{path(field), "nothing", "a text"});
    }
    if (!value->is_string())
    {
        return leaf::new_error(
            input_error{path(field), shorten(boost::json::serialize(*value)), "a text"});
    }
    return std::string(value->get_string());
}

leaf::result<std::int64_t> json_reader::integer(std::string_view field, std::int64_t lowest,
                                                std::int64_t highest)
{
    const std::string allowed =
        "an integer from " + std::to_string(lowest) + " to " + std::to_string(highest);
    const boost::json::value* value = find(field);
    if (value == nullptr)
    {
        return leaf::new_error(input_error{path(field), "nothing", allowed});
    }
    if (!value->is_int64() || value->get_int64() < lowest || value->get_int64() > highest)
    {
        return leaf::new_error(
            input_error{path(field), shorten(boost::json::serialize(*value)), allowed});
    }
    return value->get_int64();
}

leaf::result<double> json_reader::number(std::string_view field, double lowest, double highest)
{
    const std::string allowed =
        "a number from " + std::to_string(lowest) + " to " + std::to_string(highest);
    const boost::json::value* value = find(field);
    if (value == nullptr)
    {
        return leaf::new_error(input_error{path(field), "nothing", allowed});
    }
    if (!value->is_number())
    {
        return leaf::new_error(
            input_error{path(field), shorten(boost::json::serialize(*value)), allowed});
    }
    const double number = value->to_number<double>();
    if (!(number >= lowest && number <= highest))
    {
        return leaf::new_error(
            input_error{path(field), shorten(boost::json::serialize(*value)), allowed});
    }
    return number;
}

leaf::result<const boost::json::array*> json_reader::array(std::string_view field)
{
    const boost::json::value* value = find(field);
    if (value == nullptr || !value->is_array())
    {
        return leaf::new_error(input_error{
            path(field), value == nullptr ? "nothing" : shorten(boost::json::serialize(*value)),
            "an array"});
    }
    return &value->get_array();
}

leaf::result<const boost::json::object*> json_reader::object(std::string_view field)
{
    const boost::json::value* value = find(field);
    if (value == nullptr || !value->is_object())
    {
        return leaf::new_error(input_error{
            path(field), value == nullptr ? "nothing" : shorten(boost::json::serialize(*value)),
            "an object"});
    }
    return &value->get_object();
}

leaf::result<std::string> json_reader::text_or(std::string_view field, std::string_view fallback)
{
    if (!has(field))
    {
        known_.emplace_back(field);
        return std::string(fallback);
    }
    return text(field);
}

leaf::result<std::int64_t> json_reader::integer_or(std::string_view field, std::int64_t fallback,
                                                   std::int64_t lowest, std::int64_t highest)
{
    if (!has(field))
    {
        known_.emplace_back(field);
        return fallback;
    }
    return integer(field, lowest, highest);
}

leaf::result<double> json_reader::number_or(std::string_view field, double fallback, double lowest,
                                            double highest)
{
    if (!has(field))
    {
        known_.emplace_back(field);
        return fallback;
    }
    return number(field, lowest, highest);
}

leaf::result<bool> json_reader::flag_or(std::string_view field, bool fallback)
{
    const boost::json::value* value = find(field);
    if (value == nullptr)
    {
        return fallback;
    }
    if (!value->is_bool())
    {
        return leaf::new_error(
            input_error{path(field), shorten(boost::json::serialize(*value)), "true or false"});
    }
    return value->get_bool();
}

leaf::result<void> json_reader::finish() const
{
    for (const boost::json::key_value_pair& entry : object_)
    {
        const std::string_view key(entry.key());
        if (std::find(known_.begin(), known_.end(), key) == known_.end())
        {
            return leaf::new_error(input_error{path(key),
                                               shorten(boost::json::serialize(entry.value())),
                                               "no field of this name"});
        }
    }
    return {};
}

leaf::result<boost::json::object> parse_json_object(std::string_view text, std::string_view where,
                                                    std::size_t max_bytes)
{
    if (text.size() > max_bytes)
    {
        return leaf::new_error(input_error{std::string(where),
                                           std::to_string(text.size()) + " bytes",
                                           "at most " + std::to_string(max_bytes) + " bytes"});
    }
    boost::json::error_code error;
    boost::json::value value = boost::json::parse(text, error);
    if (error)
    {
        return leaf::new_error(input_error{std::string(where), shorten(std::string(text)),
                                           "JSON: " + error.message()});
    }
    if (!value.is_object())
    {
        return leaf::new_error(
            input_error{std::string(where), shorten(std::string(text)), "a JSON object"});
    }
    return std::move(value.get_object());
}

} // namespace lacewingquay
