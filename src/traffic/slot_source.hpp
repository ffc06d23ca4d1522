#pragma once

#include "config/model.hpp"
#include "core/address.hpp"
#include "core/clock.hpp"

#include <boost/asio/awaitable.hpp>

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace lacewingquay::traffic
{

/// What a request requires of a slot.
struct slot_requirements
{
    std::string service;
    config::priority urgency = config::priority::normal;
    /// The caller's deadline.
    steady_time deadline;
    /// Longest time that the request may run.
    std::chrono::milliseconds run_limit{0};
    /// Backend servers that have refused or failed this request.
    std::vector<std::string> avoid;
};

/// Permission to send one request to one backend server.
struct slot
{
    std::uint64_t grant_id = 0;
    /// Name and address of the backend server.
    std::string host;
    address where;
    /// The first byte must be written before this time.
    steady_time start_by;
    /// The exchange must end before this time.
    steady_time run_until;
};

/// Reason why no slot was granted; the request was not run.
struct slot_refusal
{
    /// `overload`, `deadline`, `no_hosts`, `unknown_service` or `dispatcher_unreachable`.
    std::string reason;
    std::chrono::milliseconds retry_after{1'000};
};

struct slot_answer
{
    std::optional<slot> granted;
    slot_refusal refusal;
};

/// How a granted slot was used; drives backend server health.
enum class slot_outcome : std::uint8_t
{
    /// Not used; nothing was written.
    unused,
    /// A complete answer that is not a server error.
    succeeded,
    /// A complete answer with a server error, a refused connection or a documented refusal.
    failed,
    /// No longer awaited while the backend server may still work on the request. The slot stays
    /// reserved for a while.
    abandoned
};

/// Allocates slots of backend servers. Implemented by `entry::dispatch_plane`; tests use a fake.
/// Thread-safe.
class slot_source
{
public:
    virtual ~slot_source() = default;

    /// Waits for a slot or a refusal, at most until the request's deadline. Resumes on the executor
    /// of the calling coroutine.
    virtual boost::asio::awaitable<slot_answer> acquire(slot_requirements requirements) = 0;

    /// Releases a slot. Has to be called exactly once for each granted slot.
    virtual void release(const slot& granted, slot_outcome outcome,
                         std::chrono::milliseconds ran) = 0;
};

} // namespace lacewingquay::traffic
