#include "traffic/headers.hpp"

#include "core/error.hpp"

#include <algorithm>
#include <array>
#include <charconv>
#include <set>
#include <utility>

namespace lacewingquay::traffic
{

namespace beast_http = boost::beast::http;
namespace leaf = boost::leaf;

namespace
{

constexpr std::string_view internal_prefix = "lacewingquay-";

/// Fields that apply to one connection only, besides those that `Connection` names. Proxy
/// credentials are not for backend servers, and `Expect` is handled by the entry host.
constexpr std::array<std::string_view, 10> hop_by_hop_fields{
    "connection",       "expect", "keep-alive", "proxy-authenticate", "proxy-authorization",
    "proxy-connection", "te",     "trailer",    "transfer-encoding",  "upgrade"};

std::string to_lower(std::string_view text)
{
    std::string result(text);
    std::transform(result.begin(), result.end(), result.begin(),
                   [](char letter) {
                       return letter >= 'A' && letter <= 'Z' ? static_cast<char>(letter + 32)
                                                             : letter;
                   });
    return result;
}

/// Lower-case names of all fields that must not be forwarded.
template <typename Message>
std::set<std::string, std::less<>> connection_fields(const Message& message)
{
    std::set<std::string, std::less<>> names(hop_by_hop_fields.begin(), hop_by_hop_fields.end());
    const auto range = message.equal_range(beast_http::field::connection);
    for (auto line = range.first; line != range.second; ++line)
    {
        for (const boost::beast::string_view token : beast_http::token_list(line->value()))
        {
            names.insert(to_lower(std::string_view(token.data(), token.size())));
        }
    }
    return names;
}

/// Copies the fields that may be forwarded.
template <typename Message>
void copy_end_to_end_fields(const Message& from, Message& to)
{
    const std::set<std::string, std::less<>> dropped = connection_fields(from);
    for (const beast_http::fields::value_type& line : from)
    {
        const std::string name =
            to_lower(std::string_view(line.name_string().data(), line.name_string().size()));
        if (name != "content-length" && !name.starts_with(internal_prefix) &&
            dropped.count(name) == 0)
        {
            to.insert(line.name_string(), line.value());
        }
    }
}

/// The value of a field that may be given at most once.
leaf::result<std::optional<std::string>> single_value(const http::request& message,
                                                      const char* name)
{
    const std::size_t count = message.count(name);
    if (count > 1)
    {
        return leaf::new_error(input_error{name, std::to_string(count) + " values", "one value"});
    }
    if (count == 0)
    {
        return std::optional<std::string>();
    }
    return std::optional<std::string>(std::string(message[name]));
}

bool is_request_id(std::string_view text)
{
    return !text.empty() && text.size() <= 128 &&
           std::all_of(text.begin(), text.end(),
                       [](char letter)
                       {
                           return (letter >= '0' && letter <= '9') ||
                                  (letter >= 'a' && letter <= 'z') ||
                                  (letter >= 'A' && letter <= 'Z') || letter == '-' ||
                                  letter == '_' || letter == '.' || letter == ':';
                       });
}

leaf::result<std::chrono::milliseconds> parse_deadline(const std::string& text)
{
    std::int64_t count = 0;
    const std::from_chars_result parsed =
        std::from_chars(text.data(), text.data() + text.size(), count);
    const bool is_integer = parsed.ec == std::errc{} && parsed.ptr == text.data() + text.size();
    if (!is_integer || count < 1 || count > max_deadline.count())
    {
        return leaf::new_error(
            input_error{field::deadline, text,
                        "milliseconds from 1 to " + std::to_string(max_deadline.count())});
    }
    return std::chrono::milliseconds{count};
}

leaf::result<config::priority> parse_priority(const std::string& text)
{
    for (const config::priority candidate :
         {config::priority::urgent, config::priority::normal, config::priority::deferrable})
    {
        if (text == to_string(candidate))
        {
            return candidate;
        }
    }
    return leaf::new_error(input_error{field::priority, text, "urgent, normal or deferrable"});
}

/// The target in origin form; the absolute form is accepted as RFC 9112 section 3.2.2 requires.
leaf::result<std::string> origin_form(const http::request& message)
{
    std::string target(message.target());
    const std::size_t scheme_end = target.find("://");
    if (!target.starts_with('/') && scheme_end != std::string::npos)
    {
        const std::size_t path = target.find('/', scheme_end + 3);
        target = path == std::string::npos ? "/" : target.substr(path);
    }
    if (!target.starts_with('/') || message.method() == http::method::connect)
    {
        return leaf::new_error(input_error{"request target", target.substr(0, 64), "a path"});
    }
    return target;
}

leaf::result<void> check_host(const http::request& message)
{
    const std::size_t count = message.count(beast_http::field::host);
    if (count > 1 || (count == 0 && message.version() >= 11))
    {
        return leaf::new_error(input_error{"Host", std::to_string(count) + " values", "one value"});
    }
    return {};
}

} // namespace

std::string_view to_string(config::priority urgency)
{
    switch (urgency)
    {
    case config::priority::urgent:
        return "urgent";
    case config::priority::normal:
        return "normal";
    case config::priority::deferrable:
        return "deferrable";
    }
    return "normal";
}

std::string valid_request_id(const http::request& message)
{
    std::string given(message[field::request_id]);
    return message.count(field::request_id) == 1 && is_request_id(given) ? given : std::string();
}

leaf::result<caller_headers> parse_caller_headers(const http::request& message)
{
    caller_headers result;
    leaf::result<void> host = check_host(message);
    if (!host)
    {
        return host.error();
    }
    if (message.count(field::request_id) > 0)
    {
        result.request_id = valid_request_id(message);
        if (result.request_id.empty())
        {
            return leaf::new_error(input_error{
                field::request_id, std::string(message[field::request_id]).substr(0, 64),
                "one value of 1 to 128 letters, digits, '-', '_', '.' or ':'"});
        }
    }
    BOOST_LEAF_AUTO(key, single_value(message, field::idempotency_key));
    if (key)
    {
        if (key->empty())
        {
            return leaf::new_error(input_error{field::idempotency_key, "", "a UUIDv7"});
        }
        result.idempotency_key = *key;
    }
    BOOST_LEAF_AUTO(deadline, single_value(message, field::deadline));
    if (deadline)
    {
        BOOST_LEAF_ASSIGN(result.deadline, parse_deadline(*deadline));
    }
    BOOST_LEAF_AUTO(urgency, single_value(message, field::priority));
    if (urgency)
    {
        BOOST_LEAF_ASSIGN(result.urgency, parse_priority(*urgency));
    }
    BOOST_LEAF_ASSIGN(result.target, origin_form(message));
    const std::size_t end = result.target.find_first_of("/?#", 1);
    result.service =
        result.target.substr(1, end == std::string::npos ? std::string::npos : end - 1);
    return result;
}

http::request make_backend_request(const http::request& message, const caller_headers& headers,
                                   const std::string& request_id, config::priority urgency,
                                   std::chrono::milliseconds remaining)
{
    http::request result;
    result.version(11);
    result.method_string(message.method_string());
    result.target(headers.target);
    copy_end_to_end_fields(message, result);
    result.insert(beast_http::field::via, "1.1 lacewingquay");
    result.set(field::request_id, request_id);
    result.set(field::priority, to_string(urgency));
    result.set(field::deadline, std::to_string(std::max<std::int64_t>(remaining.count(), 0)));
    if (!headers.idempotency_key.empty())
    {
        result.set(field::idempotency_key, headers.idempotency_key);
    }
    result.body() = message.body();
    result.prepare_payload();
    return result;
}

http::response make_caller_answer(http::response answer, bool is_head)
{
    http::response result;
    result.version(11);
    result.result(answer.result_int());
    result.reason(answer.reason());
    copy_end_to_end_fields(answer, result);
    result.body() = std::move(answer.body());
    const http::status code = result.result();
    if (is_head || code == http::status::not_modified)
    {
        // The length is that of the answer to GET (RFC 9110 section 8.6).
        const boost::beast::string_view length = answer[beast_http::field::content_length];
        if (!length.empty())
        {
            result.set(beast_http::field::content_length, length);
        }
    }
    else
    {
        result.prepare_payload();
    }
    return result;
}

} // namespace lacewingquay::traffic
