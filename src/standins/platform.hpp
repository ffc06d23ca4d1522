#pragma once

#include "core/clock.hpp"
#include "http/message.hpp"
#include "platform/port.hpp"
#include "platform/table_store.hpp"

#include <boost/asio/awaitable.hpp>

#include <chrono>
#include <cstdint>
#include <deque>
#include <map>
#include <random>
#include <set>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace lacewingquay::standins
{

/// Faults of the platform stand-in, set by `POST /_standin/faults`. Each post replaces all.
struct platform_faults
{
    enum class outage : std::uint8_t
    {
        none,
        /// Requests are answered 503.
        refuse,
        /// Requests get no answer until the fault is cleared; then the connection is closed.
        hang
    };

    outage down = outage::none;
    /// Delay before each request takes effect.
    std::chrono::milliseconds slow{0};
    /// Probability that a write takes effect and the connection is closed without an answer.
    double lose_answers = 0.0;
    /// Probability that a request takes effect and its answer is not JSON.
    double garbage = 0.0;
    /// Entry hosts (header `Lacewingquay-Node`) whose requests are answered 503 without effect.
    std::set<std::string, std::less<>> partition;
};

/// Bytes exchanged with one node.
struct node_traffic
{
    std::uint64_t requests = 0;
    std::uint64_t bytes_in = 0;
    std::uint64_t bytes_out = 0;
};

/// Stand-in of the platform (section 4 of docs/design.md), in memory. All calls come from one
/// thread.
class platform_standin
{
public:
    /// Changes of the host list are visible after `host_list_lag`.
    explicit platform_standin(std::chrono::milliseconds host_list_lag);

    /// Answers one request. Throws to close the connection without an answer.
    boost::asio::awaitable<http::response> answer(http::request received);

    [[nodiscard]] platform::table_store& store() { return store_; }

    /// Host of each reboot that was carried out, by reboot id.
    [[nodiscard]] const std::map<std::string, std::string, std::less<>>& reboots() const
    {
        return reboots_;
    }

private:
    struct host_list_change
    {
        steady_time visible_from;
        std::vector<platform::listed_host> hosts;
    };

    http::response administer(const http::request& received, std::string_view path);
    http::response set_faults(std::string_view body);
    http::response set_hosts(std::string_view body);
    [[nodiscard]] http::response stats() const;

    /// Applies the request to the table, the object store or the host list.
    http::response serve(const http::request& received);
    http::response transact(std::string_view body);
    http::response read_row(const http::request& received);
    http::response list_rows(const http::request& received);
    http::response object(const http::request& received);
    http::response list_hosts();
    http::response reboot(std::string_view body);

    [[nodiscard]] bool happens(double probability);

    platform::table_store store_;
    platform_faults faults_;
    std::mt19937_64 random_;
    system_clock_source clock_;
    std::chrono::milliseconds host_list_lag_;
    std::deque<host_list_change> host_lists_;
    std::map<std::string, std::string, std::less<>> reboots_;
    std::uint64_t reads_ = 0;
    std::uint64_t writes_ = 0;
    std::uint64_t not_modified_ = 0;
    std::map<std::string, node_traffic, std::less<>> nodes_;
};

/// Runs the stand-in until SIGINT or SIGTERM; returns an exit code of cli/options.hpp.
int run_platform(std::span<const std::string> arguments);

} // namespace lacewingquay::standins
