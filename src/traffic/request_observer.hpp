#pragma once

#include "core/verdict.hpp"

#include <chrono>
#include <cstdint>
#include <string>
#include <string_view>

namespace lacewingquay::traffic
{

/// Outcome of one caller's request.
struct request_record
{
    /// Empty if the request names no known service.
    std::string_view service;
    std::string_view request_id;
    /// Backend server of the last attempt; empty if there was none.
    std::string_view backend_server;
    /// Reason code if there was no answer from a backend server; otherwise empty.
    std::string_view reason;
    verdict outcome = verdict::not_run;
    std::uint32_t status = 0;
    /// Requests sent or about to be sent to backend servers, including the first.
    std::uint32_t attempts = 0;
    /// From the complete request to the complete answer, both at the entry host.
    std::chrono::microseconds latency{0};
    /// Time spent waiting for slots, or -1 if none was granted.
    std::chrono::microseconds waited{-1};
    /// Time that the request held slots.
    std::chrono::microseconds slot_time{0};
    /// Completed without a server error within the service's latency target.
    bool within_target = false;
    /// Refused because of an invalid request (400, 404, 413); does not count against the
    /// availability budget.
    bool caller_error = false;
};

/// Receives a record of each request, for counters. Called on any traffic thread, so it has to be
/// thread-safe and must not block.
class request_observer
{
public:
    virtual ~request_observer() = default;

    /// The views in `record` are valid only during the call.
    virtual void observe(const request_record& record) = 0;
};

} // namespace lacewingquay::traffic
