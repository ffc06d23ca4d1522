#pragma once

#include "core/address.hpp"
#include "core/clock.hpp"
#include "http/client.hpp"

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>

#include <array>
#include <atomic>
#include <chrono>
#include <cstddef>
#include <memory>
#include <utility>

namespace lacewingquay::traffic
{

/// Settings of `backend_pool`.
struct backend_pool_settings
{
    /// Idle connections kept for each host, at most `backend_pool::max_idle`.
    std::size_t idle_cap = 8;
    /// Idle connections older than this are not used again. Shorter than the usual idle timeouts
    /// of servers, so that a request rarely uses a connection that the server is closing.
    std::chrono::milliseconds idle_limit{4'000};
};

/// Connections to backend servers. A connection carries one exchange at a time and is kept only
/// after a complete answer with the right request id and no surplus bytes. Each connection has its
/// own strand. Thread-safe and lock-free.
class backend_pool
{
public:
    /// The limit of 64 connections at a host over all entry hosts.
    static constexpr std::size_t max_idle = 64;

    backend_pool(boost::asio::any_io_executor executor, backend_pool_settings settings);
    ~backend_pool();
    backend_pool(const backend_pool&) = delete;
    backend_pool& operator=(const backend_pool&) = delete;

    /// Sends `message`, which has the header `Lacewingquay-Request-Id`, to the backend server at
    /// `where`. An answer with another request id, or without one, counts as malformed.
    boost::asio::awaitable<http::exchange_result> exchange(address where, http::request message,
                                                           http::exchange_limits limits);

    /// Sets the number of idle connections kept for each host: 64 divided by the number of
    /// registered entry hosts.
    void set_idle_cap(std::size_t cap);

    /// Closes idle connections that are over the cap or older than the idle limit. To be called
    /// periodically, so that connections to hosts that have left do not stay open.
    void close_idle();

    /// Number of idle connections at a host.
    [[nodiscard]] std::size_t idle_connections(const address& where) const;

private:
    struct connection;
    struct host_entry;

    using finished_exchange = std::pair<std::unique_ptr<connection>, http::exchange_result>;

    /// Owns the connection during the exchange and returns it with the result.
    static boost::asio::awaitable<finished_exchange>
    run(std::unique_ptr<connection> used, http::request message, http::exchange_limits limits);
    host_entry& find_or_add(const address& where);
    [[nodiscard]] host_entry* find(const address& where) const;
    std::unique_ptr<connection> take_idle_or_connect(host_entry& entry);
    void keep_idle(host_entry& entry, std::unique_ptr<connection> idle);

    boost::asio::any_io_executor executor_;
    std::chrono::milliseconds idle_limit_;
    std::atomic<std::size_t> idle_cap_;
    /// Hash table of hosts by address: heads of singly linked lists. Entries are removed only in
    /// the destructor, so the lists can be read without locks.
    std::array<std::atomic<host_entry*>, 256> buckets_{};
};

} // namespace lacewingquay::traffic
