#pragma once

#include <boost/beast/core/string.hpp>
#include <boost/beast/http.hpp>

#include <string>
#include <string_view>

namespace lacewingquay::http
{

using request = boost::beast::http::request<boost::beast::http::string_body>;
using response = boost::beast::http::response<boost::beast::http::string_body>;
using status = boost::beast::http::status;
using method = boost::beast::http::verb;

/// A response with a body of the given content type.
[[nodiscard]] inline response make_response(status code, std::string body,
                                            std::string_view content_type = "application/json")
{
    response result{code, 11};
    result.set(boost::beast::http::field::content_type, content_type);
    result.body() = std::move(body);
    result.prepare_payload();
    return result;
}

/// A request with `Content-Length` set.
[[nodiscard]] inline request make_request(method verb, std::string_view target, std::string body)
{
    request result{verb, target, 11};
    result.body() = std::move(body);
    result.prepare_payload();
    return result;
}

/// True if the body of the message has no transfer coding but `chunked`, which is the only one that
/// this module decodes.
template <typename Message>
[[nodiscard]] bool has_known_coding(const Message& message)
{
    namespace beast_http = boost::beast::http;
    return message.count(beast_http::field::transfer_encoding) == 0 ||
           (message.count(beast_http::field::transfer_encoding) == 1 &&
            boost::beast::iequals(message[beast_http::field::transfer_encoding], "chunked"));
}

} // namespace lacewingquay::http
