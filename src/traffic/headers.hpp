#pragma once

#include "config/model.hpp"
#include "core/verdict.hpp"
#include "http/message.hpp"

#include <boost/leaf.hpp>

#include <chrono>
#include <optional>
#include <string>
#include <string_view>

namespace lacewingquay::traffic
{

namespace field
{
inline constexpr const char* request_id = "Lacewingquay-Request-Id";
inline constexpr const char* deadline = "Lacewingquay-Deadline-Ms";
inline constexpr const char* priority = "Lacewingquay-Priority";
inline constexpr const char* verdict = "Lacewingquay-Verdict";
inline constexpr const char* replayed = "Lacewingquay-Replayed";
/// Time that the request waited for slots, in microseconds, and the backend server of its last
/// attempt; for measurements and troubleshooting.
inline constexpr const char* waited = "Lacewingquay-Wait-Us";
inline constexpr const char* backend_server = "Lacewingquay-Host";
inline constexpr const char* idempotency_key = "Idempotency-Key";
} // namespace field

/// Parsed headers and target of a caller's request.
struct caller_headers
{
    /// Empty if the caller gave none.
    std::string request_id;
    std::string idempotency_key;
    std::optional<std::chrono::milliseconds> deadline;
    std::optional<config::priority> urgency;
    /// First segment of the path.
    std::string service;
    /// The target in origin form, with the service segment.
    std::string target;
};

/// Longest deadline that a caller may set; covers work that is deferred overnight.
inline constexpr std::chrono::milliseconds max_deadline{24 * 3'600'000};

/// Parses the headers that section 10 of docs/design.md defines; fails with `input_error` that
/// names the header. Repeated headers are refused.
boost::leaf::result<caller_headers> parse_caller_headers(const http::request& message);

/// The request's id if it has exactly one that is valid (1 to 128 letters, digits, `-`, `_`, `.` or
/// `:`), else empty.
std::string valid_request_id(const http::request& message);

/// The request to a backend server: the caller's request without hop-by-hop fields (RFC 9110
/// section 7.6.1), without any `Lacewingquay-` field of the caller, and with the entry host's own.
/// `remaining` is the time left for the backend server.
http::request make_backend_request(const http::request& message, const caller_headers& headers,
                                   const std::string& request_id, config::priority urgency,
                                   std::chrono::milliseconds remaining);

/// The answer to the caller: the backend server's answer without hop-by-hop and internal fields.
http::response make_caller_answer(http::response answer, bool is_head);

/// The name of a priority in the header `Lacewingquay-Priority`.
std::string_view to_string(config::priority urgency);

} // namespace lacewingquay::traffic
