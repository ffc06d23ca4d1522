#pragma once

#include "report/counters.hpp"

#include <prometheus/counter.h>
#include <prometheus/family.h>
#include <prometheus/gauge.h>
#include <prometheus/histogram.h>
#include <prometheus/registry.h>

#include <array>
#include <atomic>
#include <map>
#include <memory>
#include <span>
#include <string>
#include <string_view>

namespace lacewingquay::entry
{

/// Metrics in the Prometheus text format. Requests are counted without a lock for services that a
/// configuration has named.
class metrics
{
public:
    metrics();

    /// Creates the series of these services. Control thread only.
    void set_services(std::span<const std::string> names);

    /// Counts one request. Thread-safe.
    void observe(const report::request_record& record);

    /// Counts the time that a request waited for its slot. Thread-safe.
    void observe_wait(std::chrono::microseconds waited);

    /// Sets a gauge without labels, creating it when needed. Thread-safe.
    void set_gauge(const std::string& name, const std::string& help, double value);

    /// The text exposition of all series.
    [[nodiscard]] std::string exposition() const;

private:
    static constexpr std::size_t verdict_count = 3;

    struct service_series
    {
        std::array<prometheus::Counter*, verdict_count> requests{};
        prometheus::Counter* bad = nullptr;
        prometheus::Histogram* latency = nullptr;
    };

    using series_map = std::map<std::string, service_series, std::less<>>;

    service_series make_series(const std::string& service);

    prometheus::Registry registry_;
    prometheus::Family<prometheus::Counter>& requests_;
    prometheus::Family<prometheus::Counter>& bad_;
    prometheus::Family<prometheus::Histogram>& latency_;
    prometheus::Histogram& wait_;
    std::atomic<std::shared_ptr<const series_map>> series_;
};

} // namespace lacewingquay::entry
