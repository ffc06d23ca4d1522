#include "config/parse_objects.hpp"

#include "config/limits.hpp"
#include "config/parse.hpp"
#include "platform/check.hpp"

#include <algorithm>
#include <array>
#include <charconv>
#include <initializer_list>
#include <optional>

namespace lacewingquay::config
{

namespace json = boost::json;
namespace leaf = boost::leaf;

namespace
{

constexpr std::array<std::string_view, 7> known_methods{"GET",   "HEAD",   "OPTIONS", "PUT",
                                                        "PATCH", "DELETE", "POST"};

leaf::result<void> require(const json_reader& reader, completeness fields,
                           std::initializer_list<std::string_view> names)
{
    for (const std::string_view name : names)
    {
        if (fields == completeness::complete && !reader.has(name))
        {
            return leaf::new_error(input_error{reader.path(name), "nothing",
                                               "a value: a changed object gives every field"});
        }
    }
    return {};
}

/// Rounds to nine significant digits. Boost.JSON 1.81 may read a number one unit in the last place
/// off, so without rounding a value would drift each time a configuration is read and written.
double rounded(double value)
{
    constexpr int digits = 9;
    std::array<char, 32> text{};
    const std::to_chars_result written = std::to_chars(
        text.data(), text.data() + text.size(), value, std::chars_format::scientific, digits - 1);
    double result = value;
    std::from_chars(text.data(), written.ptr, result);
    return result;
}

leaf::result<double> read_number(json_reader& reader, std::string_view field, double fallback,
                                 double lowest, double highest)
{
    BOOST_LEAF_AUTO(value, reader.number_or(field, fallback, lowest, highest));
    return rounded(value);
}

leaf::result<std::chrono::milliseconds> read_milliseconds(json_reader& reader,
                                                          std::string_view field,
                                                          std::chrono::milliseconds fallback,
                                                          std::int64_t lowest, std::int64_t highest)
{
    BOOST_LEAF_AUTO(count, reader.integer_or(field, fallback.count(), lowest, highest));
    return std::chrono::milliseconds{count};
}

leaf::result<priority> read_priority(json_reader& reader)
{
    BOOST_LEAF_AUTO(text, reader.text_or("priority", "normal"));
    if (text == "urgent")
    {
        return priority::urgent;
    }
    if (text == "normal")
    {
        return priority::normal;
    }
    if (text == "deferrable")
    {
        return priority::deferrable;
    }
    return leaf::new_error(
        input_error{reader.path("priority"), text, "urgent, normal or deferrable"});
}

leaf::result<std::vector<std::string>> read_methods(json_reader& reader)
{
    constexpr std::string_view field = "idempotent_methods";
    if (!reader.has(field))
    {
        return service{}.idempotent_methods;
    }
    BOOST_LEAF_AUTO(list, reader.array(field));
    if (list->size() > limits::max_methods)
    {
        return leaf::new_error(
            input_error{reader.path(field), std::to_string(list->size()),
                        "at most " + std::to_string(limits::max_methods) + " methods"});
    }
    std::vector<std::string> methods;
    for (const json::value& value : *list)
    {
        const std::string method =
            value.is_string() ? std::string(value.get_string()) : json::serialize(value);
        const bool known =
            std::find(known_methods.begin(), known_methods.end(), method) != known_methods.end();
        const bool repeated = std::find(methods.begin(), methods.end(), method) != methods.end();
        if (!known || repeated)
        {
            return leaf::new_error(
                input_error{reader.path(field), method,
                            "GET, HEAD, OPTIONS, PUT, PATCH, DELETE or POST, each at most once"});
        }
        methods.push_back(method);
    }
    return methods;
}

leaf::result<double> read_weight(json_reader& reader, std::string_view field)
{
    BOOST_LEAF_AUTO(value, reader.number(field, 0.0, limits::max_weight));
    return rounded(value);
}

leaf::result<weights> read_weights(json_reader& reader, completeness fields)
{
    weights result;
    if (!reader.has("weights") && fields == completeness::with_defaults)
    {
        return result;
    }
    BOOST_LEAF_AUTO(object, reader.object("weights"));
    json_reader inner(*object, reader.path("weights"));
    BOOST_LEAF_ASSIGN(result.move, read_weight(inner, "move"));
    BOOST_LEAF_ASSIGN(result.buffer_host_hour, read_weight(inner, "buffer_host_hour"));
    BOOST_LEAF_ASSIGN(result.missed_request, read_weight(inner, "missed_request"));
    LACEWINGQUAY_CHECK(inner.finish());
    return result;
}

} // namespace

leaf::result<std::string> check_name(std::string name, const std::string& where)
{
    const bool allowed = std::all_of(name.begin(), name.end(),
                                     [](char letter)
                                     {
                                         return (letter >= 'a' && letter <= 'z') ||
                                                (letter >= '0' && letter <= '9') || letter == '_' ||
                                                letter == '-';
                                     });
    if (name.empty() || name.size() > limits::max_name_length || !allowed)
    {
        name.resize(std::min(name.size(), limits::max_name_length + 1));
        return leaf::new_error(
            input_error{where, name, "1 to 63 characters of a-z, 0-9, '_' and '-'"});
    }
    return name;
}

leaf::result<std::string> read_name(json_reader& reader, std::string_view field)
{
    BOOST_LEAF_AUTO(text, reader.text(field));
    return check_name(std::move(text), reader.path(field));
}

leaf::result<std::string> check_line(std::string text, const std::string& where,
                                     std::size_t longest)
{
    const bool has_control = std::any_of(
        text.begin(), text.end(),
        [](char letter) { return static_cast<unsigned char>(letter) < 0x20 || letter == 0x7f; });
    if (text.empty() || text.size() > longest || has_control)
    {
        return leaf::new_error(
            input_error{where, std::to_string(text.size()) + " bytes",
                        "1 to " + std::to_string(longest) + " bytes without control characters"});
    }
    return text;
}

leaf::result<std::string> read_line(json_reader& reader, std::string_view field,
                                    std::size_t longest)
{
    BOOST_LEAF_AUTO(text, reader.text(field));
    return check_line(std::move(text), reader.path(field), longest);
}

leaf::result<service> read_service(json_reader& reader, completeness fields)
{
    LACEWINGQUAY_CHECK(require(
        reader, fields,
        {"slo", "latency_target_ms", "request_timeout_ms", "idempotent_methods", "priority"}));
    service result;
    BOOST_LEAF_ASSIGN(result.name, read_name(reader, "name"));
    BOOST_LEAF_ASSIGN(result.pool, read_name(reader, "pool"));
    BOOST_LEAF_ASSIGN(result.slo, read_number(reader, "slo", result.slo, limits::lowest_slo,
                                              limits::highest_slo));
    BOOST_LEAF_ASSIGN(result.latency_target,
                      read_milliseconds(reader, "latency_target_ms", result.latency_target, 1,
                                        limits::longest_request_ms));
    BOOST_LEAF_ASSIGN(result.request_timeout,
                      read_milliseconds(reader, "request_timeout_ms", result.request_timeout, 1,
                                        limits::longest_request_ms));
    if (result.latency_target > result.request_timeout)
    {
        return leaf::new_error(input_error{
            reader.path("latency_target_ms"), std::to_string(result.latency_target.count()),
            "at most request_timeout_ms, " + std::to_string(result.request_timeout.count())});
    }
    BOOST_LEAF_ASSIGN(result.idempotent_methods, read_methods(reader));
    BOOST_LEAF_ASSIGN(result.default_priority, read_priority(reader));
    return result;
}

leaf::result<pool> read_pool(json_reader& reader, completeness fields)
{
    constexpr std::int64_t max_hosts = limits::max_hosts;
    LACEWINGQUAY_CHECK(
        require(reader, fields, {"min_hosts", "buffer_hosts", "host_hour_cost", "spare"}));
    pool result;
    BOOST_LEAF_ASSIGN(result.name, read_name(reader, "name"));
    BOOST_LEAF_ASSIGN(result.min_hosts,
                      reader.integer_or("min_hosts", result.min_hosts, 0, max_hosts));
    BOOST_LEAF_ASSIGN(result.buffer_hosts,
                      reader.integer_or("buffer_hosts", result.buffer_hosts, 0, max_hosts));
    BOOST_LEAF_ASSIGN(
        result.host_hour_cost,
        read_number(reader, "host_hour_cost", result.host_hour_cost, 0.0, limits::max_cost));
    BOOST_LEAF_ASSIGN(result.spare, reader.flag_or("spare", result.spare));
    return result;
}

leaf::result<host> read_host(json_reader& reader, completeness fields)
{
    LACEWINGQUAY_CHECK(require(reader, fields, {"slots", "connections"}));
    host result;
    BOOST_LEAF_ASSIGN(result.name, read_name(reader, "name"));
    BOOST_LEAF_ASSIGN(result.availability_zone, read_name(reader, "availability_zone"));
    BOOST_LEAF_ASSIGN(result.rack, read_name(reader, "rack"));
    BOOST_LEAF_AUTO(where, reader.text("address"));
    BOOST_LEAF_ASSIGN(result.where, parse_address(where, reader.path("address")));
    BOOST_LEAF_ASSIGN(result.slots, reader.integer_or("slots", result.slots, 1, limits::max_slots));
    BOOST_LEAF_ASSIGN(result.connections,
                      reader.integer_or("connections", std::max(result.connections, result.slots),
                                        result.slots, limits::max_connections));
    BOOST_LEAF_ASSIGN(result.initial_pool, read_name(reader, "initial_pool"));
    return result;
}

leaf::result<deployment_settings> read_settings(json_reader& reader, completeness fields)
{
    LACEWINGQUAY_CHECK(require(reader, fields, {"weights", "veto_window_ms"}));
    deployment_settings result;
    BOOST_LEAF_ASSIGN(result.cost_weights, read_weights(reader, fields));
    BOOST_LEAF_ASSIGN(result.veto_window,
                      read_milliseconds(reader, "veto_window_ms", result.veto_window, 0,
                                        limits::longest_veto_window_ms));
    return result;
}

} // namespace lacewingquay::config
