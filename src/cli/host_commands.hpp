#pragma once

#include "core/address.hpp"
#include "placement/request.hpp"
#include "platform/port.hpp"

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>

#include <chrono>
#include <functional>
#include <iosfwd>
#include <memory>
#include <span>
#include <string>

namespace lacewingquay::cli
{

/// Makes the platform client of a command. `where` is the value of `--platform`. The one place
/// where commands get their port: `main` passes it in, tests pass a fake.
using port_factory = std::function<std::unique_ptr<platform::port>(
    const boost::asio::any_io_executor& executor, const address& where)>;

/// An operator's request and how long to wait for the decision of the zone's lease holder.
struct host_request
{
    placement::placement_request wanted;
    std::string author;
    /// Unique among all writes.
    std::string write_id;
    /// Zero: do not wait.
    std::chrono::milliseconds wait{0};
    std::chrono::milliseconds poll{500};
};

/// Where a command prints its result and its errors.
struct command_output
{
    std::ostream& out;
    std::ostream& err;
};

/// Prints each host with zone, pool, state, target and waiting request. Returns an `exit_code`.
boost::asio::awaitable<int> list_hosts(platform::port& port, command_output output);

/// Writes row `move/<host>` for the lease holder of the host's zone. Another operator's request
/// that still waits is a conflict. Returns an `exit_code`.
boost::asio::awaitable<int> request_host(platform::port& port, host_request request,
                                         command_output output);

/// `host list`, `host leave NAME`, `host move NAME --to POOL` and `host return NAME`, each with
/// `--platform IP:PORT`. Return an `exit_code`.
int run_host_list(const port_factory& make_port, std::span<const std::string> arguments);
int run_host_leave(const port_factory& make_port, std::span<const std::string> arguments);
int run_host_move(const port_factory& make_port, std::span<const std::string> arguments);
int run_host_return(const port_factory& make_port, std::span<const std::string> arguments);

} // namespace lacewingquay::cli
