#pragma once

#include "core/verdict.hpp"

#include <atomic>
#include <chrono>
#include <cstdint>
#include <map>
#include <memory>
#include <span>
#include <string>
#include <string_view>

namespace lacewingquay::report
{

/// Request counts of one service by outcome. Merged by addition.
struct service_counts
{
    std::uint64_t total = 0;
    /// Requests that count against the availability budget: not completed, a server error, or late.
    std::uint64_t bad = 0;
    std::uint64_t not_run = 0;
    std::uint64_t may_have_run = 0;
    /// Completed later than the service's latency target.
    std::uint64_t late = 0;
    /// Total time that requests of the service held slots, in milliseconds. Divided by the length
    /// of the window it is the mean number of busy slots, the measure of demand.
    std::uint64_t busy_ms = 0;

    service_counts& operator+=(const service_counts& other);

    friend bool operator==(const service_counts&, const service_counts&) = default;
};

using counts_by_service = std::map<std::string, service_counts, std::less<>>;

/// The properties of one request that the report counts.
struct request_record
{
    std::string_view service;
    verdict outcome = verdict::not_run;
    std::uint32_t status = 0;
    std::chrono::milliseconds latency{0};
    std::chrono::milliseconds latency_target{0};
    /// Time that the request held a slot.
    std::chrono::milliseconds slot_time{0};
};

/// True if the request counts against the availability budget. Client errors do not: a request
/// completed in time with a status of 4xx, or refused with a status of 4xx other than 429.
[[nodiscard]] bool is_bad(const request_record& record);

/// Request counters that traffic threads increment and the control thread collects. Counting takes
/// no lock of its own; the set of services changes only with the configuration.
class request_counters
{
public:
    request_counters();

    /// Replaces the set of known services. Counts of services that remain are kept; counts of
    /// removed services are returned once more by `take`. Control thread only.
    void set_services(std::span<const std::string> names);

    /// Counts one request; requests for unknown services are ignored. Thread-safe.
    void add(const request_record& record);

    /// Returns the counts since the last call and resets them. Control thread only.
    [[nodiscard]] counts_by_service take();

private:
    struct cell
    {
        std::atomic<std::uint64_t> total{0};
        std::atomic<std::uint64_t> bad{0};
        std::atomic<std::uint64_t> not_run{0};
        std::atomic<std::uint64_t> may_have_run{0};
        std::atomic<std::uint64_t> late{0};
        std::atomic<std::uint64_t> busy_ms{0};
    };

    using cells = std::map<std::string, std::shared_ptr<cell>, std::less<>>;

    static void take_from(cell& source, service_counts& target);

    std::atomic<std::shared_ptr<const cells>> cells_;
    /// Cells of services removed by a configuration whose counts have not been taken yet.
    cells retired_;
};

} // namespace lacewingquay::report
