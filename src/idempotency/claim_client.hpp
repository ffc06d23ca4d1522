#pragma once

#include "core/verdict.hpp"

#include <boost/asio/awaitable.hpp>

#include <cstdint>
#include <string>

namespace lacewingquay::idempotency
{

/// The owner's decision about a request with an idempotency key.
enum class claim_decision : std::uint8_t
{
    /// The owner is unreachable or ownership is in transition: not run, the caller may retry.
    refused,
    /// This request, and no other with the key, may run.
    admitted,
    /// An earlier request with the key is running: not run, the caller may retry.
    in_progress,
    /// An earlier request with the key has completed.
    completed,
    /// An earlier request with the key may have run or its outcome is unknown: not repeated.
    may_have_run,
    /// The key was used for a different request.
    mismatch,
    /// The key is not a UUIDv7 or was issued in the future.
    invalid
};

/// The stored answer of a completed request. `body` is empty and `kept` false if the answer was
/// too large to store.
struct stored_answer
{
    std::uint32_t status = 0;
    std::string content_type;
    std::string body;
    bool kept = false;
};

struct claim_answer
{
    claim_decision decision = claim_decision::refused;
    stored_answer answer;
};

/// Claims idempotency keys at their owners. Implemented by `entry::key_plane`; tests use a fake.
/// Thread-safe.
class claim_client
{
public:
    virtual ~claim_client() = default;

    /// Claims `key` for the request with this fingerprint (hash of method, target and body).
    virtual boost::asio::awaitable<claim_answer> claim(std::string key,
                                                       std::uint64_t fingerprint) = 0;

    /// Reports the outcome of an admitted request. `not_run` releases the key.
    virtual void report(const std::string& key, verdict outcome, const stored_answer& answer) = 0;
};

} // namespace lacewingquay::idempotency
