#include "entry/metrics.hpp"

#include <prometheus/text_serializer.h>

namespace lacewingquay::entry
{

namespace
{

const prometheus::Histogram::BucketBoundaries latency_buckets = {
    0.001, 0.0025, 0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1.0, 2.5, 5.0, 10.0, 30.0};

} // namespace

metrics::metrics()
    : requests_(prometheus::BuildCounter()
                    .Name("lacewingquay_requests_total")
                    .Help("Requests by service and verdict")
                    .Register(registry_)),
      bad_(prometheus::BuildCounter()
               .Name("lacewingquay_bad_requests_total")
               .Help("Requests that count against the availability budget")
               .Register(registry_)),
      latency_(prometheus::BuildHistogram()
                   .Name("lacewingquay_request_seconds")
                   .Help("Time from a request's arrival to its answer")
                   .Register(registry_)),
      wait_(prometheus::BuildHistogram()
                .Name("lacewingquay_slot_wait_seconds")
                .Help("Time that a request waited for a slot")
                .Register(registry_)
                .Add({}, latency_buckets)),
      series_(std::make_shared<const series_map>())
{
}

metrics::service_series metrics::make_series(const std::string& service)
{
    service_series series;
    for (std::size_t i = 0; i < verdict_count; ++i)
    {
        const std::string_view name = to_string(static_cast<verdict>(i));
        series.requests[i] = &requests_.Add({{"service", service}, {"verdict", std::string(name)}});
    }
    series.bad = &bad_.Add({{"service", service}});
    series.latency = &latency_.Add({{"service", service}}, latency_buckets);
    return series;
}

void metrics::set_services(std::span<const std::string> names)
{
    std::shared_ptr<series_map> next = std::make_shared<series_map>(*series_.load());
    for (const std::string& name : names)
    {
        if (next->count(name) == 0)
        {
            next->emplace(name, make_series(name));
        }
    }
    series_.store(std::move(next));
}

void metrics::observe(const report::request_record& record)
{
    const std::shared_ptr<const series_map> current = series_.load();
    const series_map::const_iterator found = current->find(record.service);
    if (found == current->end())
    {
        return;
    }
    found->second.requests[static_cast<std::size_t>(record.outcome)]->Increment();
    if (report::is_bad(record))
    {
        found->second.bad->Increment();
    }
    found->second.latency->Observe(std::chrono::duration<double>(record.latency).count());
}

void metrics::observe_wait(std::chrono::microseconds waited)
{
    wait_.Observe(std::chrono::duration<double>(waited).count());
}

void metrics::set_gauge(const std::string& name, const std::string& help, double value)
{
    prometheus::BuildGauge().Name(name).Help(help).Register(registry_).Add({}).Set(value);
}

std::string metrics::exposition() const
{
    return prometheus::TextSerializer().Serialize(registry_.Collect());
}

} // namespace lacewingquay::entry
