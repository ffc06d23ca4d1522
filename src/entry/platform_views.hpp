#pragma once

#include "core/clock.hpp"
#include "placement/model.hpp"
#include "placement/request.hpp"
#include "platform/port.hpp"
#include "report/counters.hpp"

#include <boost/asio/awaitable.hpp>

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>

namespace lacewingquay::entry
{

using placed_hosts = std::map<std::string, placement::host_placement, std::less<>>;

/// The hosts of all placement rows; nothing if the platform does not answer or a row is unreadable.
boost::asio::awaitable<std::optional<placed_hosts>> read_placement(platform::port& platform);

/// The last minute since the Unix epoch whose counter rows are complete: entry hosts write the
/// counts of a minute some seconds after its end.
[[nodiscard]] std::int64_t last_counted_minute(wall_time now);

/// The sum of the counter rows of one minute since the Unix epoch; nothing if the platform does not
/// answer. Unreadable rows are left out.
boost::asio::awaitable<std::optional<report::counts_by_service>>
read_minute(platform::port& platform, std::int64_t minute);

/// The request, if it is readable and has not been refused.
[[nodiscard]] std::optional<placement::request_row> read_waiting_request(const platform::row& row);

/// True if the request row has not been refused. Unreadable rows wait for nobody.
[[nodiscard]] bool is_waiting_request(const platform::row& row);

/// True if the row is a different request by the same author.
[[nodiscard]] bool is_other_request_of(const platform::row& row,
                                       const placement::request_row& wanted);

} // namespace lacewingquay::entry
