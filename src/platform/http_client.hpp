#pragma once

#include "core/address.hpp"
#include "http/client.hpp"
#include "platform/port.hpp"

#include <boost/asio/any_io_executor.hpp>

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <memory>
#include <string>
#include <vector>

namespace lacewingquay::platform
{

/// Settings of `http_client`.
struct http_client_settings
{
    address platform;
    /// Sent in the header `Lacewingquay-Node`: the id of the entry host, or of the command.
    std::string node;
    /// Limit for one request, including connecting.
    std::chrono::milliseconds timeout{2'000};
    /// Connections kept open between requests.
    std::size_t max_idle_connections = 2;
    /// Larger answers count as unreadable, in bytes.
    std::size_t body_limit = 16U << 20U;
};

/// What the client has exchanged with the platform.
struct traffic_count
{
    std::uint64_t requests = 0;
    std::uint64_t bytes_sent = 0;
    std::uint64_t bytes_received = 0;
};

/// The platform over HTTP. Each request in progress has a connection of its own; idle connections
/// are reused. A write is `unknown` unless the answer proves that it took effect or that it did
/// not: answers of class 5xx, unreadable answers and lost answers prove nothing.
/// Not thread-safe; must outlive its operations.
class http_client final : public port
{
public:
    http_client(boost::asio::any_io_executor executor, http_client_settings settings);

    boost::asio::awaitable<row_result> read_row(std::string key,
                                                std::uint64_t not_version) override;
    boost::asio::awaitable<rows_result> read_rows(std::string prefix) override;
    boost::asio::awaitable<transact_result> transact(transaction changes) override;
    boost::asio::awaitable<object_result> read_object(std::string key) override;
    boost::asio::awaitable<bool> write_object(std::string key, std::string body) override;
    boost::asio::awaitable<hosts_result> list_hosts() override;
    boost::asio::awaitable<reboot_status> reboot(std::string host, std::string reboot_id) override;

    [[nodiscard]] const traffic_count& traffic() const { return traffic_; }

private:
    boost::asio::awaitable<http::exchange_result> exchange(http::method verb, std::string target,
                                                           std::string body);

    boost::asio::any_io_executor executor_;
    http_client_settings settings_;
    std::vector<std::unique_ptr<http::client_connection>> idle_;
    traffic_count traffic_;
};

} // namespace lacewingquay::platform
