#pragma once

#include "core/address.hpp"
#include "http/message.hpp"

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/leaf.hpp>

#include <chrono>
#include <cstddef>
#include <functional>
#include <memory>

namespace lacewingquay::http
{

/// Settings of `server`.
struct server_settings
{
    /// Largest accepted body, in bytes. A larger one is answered 413.
    std::size_t body_limit = 1U << 20U;
    /// Largest accepted header block, in bytes. A larger one is answered 431.
    std::size_t header_limit = 16U << 10U;
    /// A connection with no complete request for this long is closed.
    std::chrono::milliseconds idle_timeout{60'000};
    /// Connections beyond this number are closed at once.
    std::size_t max_connections = 4'096;
};

/// Answers one request. Runs on the executor of its connection. If it throws, the caller gets 500
/// with the verdict `may-have-run`.
using handler = std::function<boost::asio::awaitable<response>(request)>;

/// HTTP/1.1 server: one coroutine per connection, each on a strand of its own. Malformed requests
/// are answered 400 and the connection is closed. (RFC 9112)
class server
{
public:
    /// Listens at `where` (port 0 picks a free port); fails with `input_error` if the address
    /// cannot be bound.
    static boost::leaf::result<std::shared_ptr<server>>
    listen(boost::asio::any_io_executor executor, const address& where, server_settings settings,
           handler answer);

    /// The address that the server listens at, with the port that was bound.
    [[nodiscard]] const address& where() const;

    /// Closes the listener and idle connections; others close after their current answer.
    /// Thread-safe. No request is interrupted if the executor runs until `open_connections` is 0.
    void stop();

    /// Number of connections that are not closed yet. Thread-safe.
    [[nodiscard]] std::size_t open_connections() const;

    /// Number of requests being answered now. Thread-safe.
    [[nodiscard]] std::size_t requests_in_progress() const;

private:
    struct state;
    explicit server(std::shared_ptr<state> shared);
    std::shared_ptr<state> state_;
};

} // namespace lacewingquay::http
