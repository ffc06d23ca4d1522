#pragma once

#include "core/clock.hpp"

#include <prometheus/counter.h>
#include <prometheus/family.h>
#include <prometheus/gauge.h>
#include <prometheus/histogram.h>
#include <prometheus/registry.h>

#include <cstdint>
#include <map>
#include <string>
#include <string_view>

namespace lacewingquay::manager
{

/// Metrics of the daemon in the Prometheus text format. All calls are made on the daemon's thread.
class metrics
{
public:
    metrics();

    /// Records a response to a caller and the time since its request was received in full.
    void observe_answer(std::string_view method, unsigned status, milliseconds time);

    /// Records the time from a job's acceptance until its final state was stored.
    void observe_job(std::string_view state, milliseconds time);

    /// Records the time from a caller's cancellation until the owner has read it.
    void observe_cancellation(milliseconds time);

    /// Records an attempt to bring the counts of waiting jobs up to date, and its outcome.
    void observe_count_refresh(std::string_view outcome);

    /// Sets a gauge; creates it on first use.
    void set(const std::string& name, const std::string& help, double value);

    /// Raises a counter to a total that is kept elsewhere; creates it on first use.
    void set_total(const std::string& name, const std::string& help, std::uint64_t total);

    /// All metrics in the text exposition format.
    [[nodiscard]] std::string text() const;

private:
    prometheus::Registry registry_;
    prometheus::Family<prometheus::Counter>& answers_;
    prometheus::Family<prometheus::Histogram>& answer_times_;
    prometheus::Family<prometheus::Histogram>& job_times_;
    prometheus::Family<prometheus::Histogram>& cancellation_times_;
    prometheus::Family<prometheus::Counter>& count_refreshes_;
    std::map<std::string, prometheus::Gauge*> gauges_;
    std::map<std::string, prometheus::Counter*> totals_;
};

} // namespace lacewingquay::manager
