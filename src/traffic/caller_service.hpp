#pragma once

#include "core/clock.hpp"
#include "core/verdict.hpp"
#include "http/message.hpp"
#include "idempotency/claim_client.hpp"
#include "routing/snapshot.hpp"
#include "traffic/backend_pool.hpp"
#include "traffic/headers.hpp"
#include "traffic/request_observer.hpp"
#include "traffic/retry_budget.hpp"
#include "traffic/slot_source.hpp"

#include <boost/asio/awaitable.hpp>

#include <array>
#include <atomic>
#include <chrono>
#include <cstddef>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

namespace lacewingquay::traffic
{

/// Settings of `caller_service`.
struct caller_settings
{
    /// Time to wait for a slot if the caller gives no deadline, in addition to the service's
    /// request timeout.
    std::chrono::milliseconds default_wait{3'000};
    /// Largest number of attempts for a request, including the first.
    std::uint32_t max_attempts = 3;
    /// Largest accepted answer of a backend server, in bytes.
    std::size_t answer_limit = 16U << 20U;
    /// Largest answer that is stored with an idempotency key, in bytes.
    std::size_t stored_answer_limit = 4U << 10U;
    /// Log one line for each request.
    bool log_requests = true;
};

/// Dependencies of `caller_service`. They have to outlive the service and every executor that runs
/// its requests.
struct caller_environment
{
    const std::atomic<routing::snapshot_pointer>& snapshot;
    slot_source& slots;
    idempotency::claim_client& keys;
    backend_pool& backends;
    request_observer& observer;
    const clock_source& clock;
};

/// Serves callers as in section 10 of docs/design.md: finds the service, claims the idempotency
/// key, waits for a slot, sends the request to the backend server, and tells the caller whether the
/// request has run. Thread-safe; shared state is atomic.
class caller_service
{
public:
    /// `instance` makes request ids unique over entry hosts and restarts, for example the
    /// incarnation.
    caller_service(caller_environment environment, std::string_view instance,
                   caller_settings settings);

    /// Answers one request; for use as `http::handler`.
    boost::asio::awaitable<http::response> handle(http::request message);

    /// Number of requests at backend servers. It may exceed the number of waiting callers, see
    /// `sent_request`.
    [[nodiscard]] std::size_t exchanges_in_progress() const { return exchanges_.load(); }

private:
    /// State of one caller's request while it is served.
    struct request_state;
    /// An answer with its verdict.
    struct reply;
    struct sent_request;
    class slot_guard;
    class claim_guard;

    boost::asio::awaitable<reply> serve(request_state& state);
    boost::asio::awaitable<reply> serve_with_key(request_state& state);
    boost::asio::awaitable<reply> send_with_retries(request_state& state);
    boost::asio::awaitable<http::exchange_result> send_once(request_state& state,
                                                            const slot& granted);
    boost::asio::awaitable<void> run_exchange(slot granted, http::request message,
                                              http::exchange_limits limits,
                                              std::shared_ptr<sent_request> request);
    [[nodiscard]] bool may_retry(const request_state& state, const http::exchange_result& failed);
    http::response finish(request_state& state, reply answer);
    std::string make_request_id();
    [[nodiscard]] std::chrono::microseconds microseconds_since(steady_time start) const;
    retry_budget& budget_of(std::string_view service);

    caller_environment environment_;
    caller_settings settings_;
    std::string id_prefix_;
    std::atomic<std::uint64_t> next_id_{0};
    std::atomic<std::size_t> exchanges_{0};
    /// Budgets by hash of the service name, so that one failing service does not use up the retries
    /// of all others. A hash collision only means fewer retries for the services concerned.
    std::array<retry_budget, 64> budgets_;
};

} // namespace lacewingquay::traffic
