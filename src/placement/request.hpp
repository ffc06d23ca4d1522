#pragma once

#include <boost/leaf.hpp>

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace lacewingquay::placement
{

/// Action that an operator, the planner or a maintenance wave requests for a host.
enum class request_kind : std::uint8_t
{
    /// Drain, then move to another pool.
    move,
    /// Drain for maintenance.
    drain,
    /// Take no new work until requested to serve again, for example before the host is removed.
    leave,
    /// Serve the current pool again; cancels a move, a drain, maintenance or leaving.
    return_to_service
};

/// The value of a kind in rows: `move`, `drain`, `leave` or `return`.
[[nodiscard]] std::string_view to_string(request_kind kind);

struct placement_request
{
    std::string host;
    request_kind kind = request_kind::move;
    /// Target pool of a move, else empty.
    std::string to_pool;
};

/// Row `move/<host>`: a request of an operator, the planner or a maintenance wave. The lease holder
/// of the host's zone removes the row in the transaction that executes the request, or adds the
/// reason for refusing it. The next request for the host may overwrite a refused row.
struct request_row
{
    placement_request request;
    /// Who made the request. Shown to operators; a maintenance wave recognizes its own rows by it.
    std::string author;
    /// Why the lease holder refused the request; empty while it is pending.
    std::string refusal;
};

/// Key of the request row of a host.
[[nodiscard]] std::string request_key(std::string_view host);

/// The host in a key `move/<host>`, or nothing if the key has another form.
[[nodiscard]] std::optional<std::string_view> host_of_request_key(std::string_view key);

/// Value of row `move/<host>`: `{"write_id", "action", "to", "author", "refusal"}`.
[[nodiscard]] std::string request_value(const request_row& row, std::string_view write_id);

/// Parses the value of row `move/<host>`; fails with `input_error` that names the invalid field.
boost::leaf::result<request_row> parse_request(std::string_view value, std::string_view host);

} // namespace lacewingquay::placement
