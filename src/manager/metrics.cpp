#include "manager/metrics.hpp"

#include <prometheus/text_serializer.h>

namespace lacewingquay::manager
{

namespace
{

/// Upper bounds in seconds, from responses out of memory to the default request timeout of 3 s.
const prometheus::Histogram::BucketBoundaries answer_buckets{0.002, 0.005, 0.01, 0.02, 0.05, 0.1,
                                                             0.2,   0.5,   1.0,  2.0,  3.0};
/// Upper bounds in seconds; target completion times are some seconds.
const prometheus::Histogram::BucketBoundaries job_buckets{0.5, 1.0, 1.5,  2.0,  3.0,  4.0,
                                                          6.0, 9.0, 15.0, 30.0, 60.0, 120.0};

/// Upper bounds in seconds.
const prometheus::Histogram::BucketBoundaries cancellation_buckets{0.05, 0.1, 0.2, 0.5,
                                                                   1.0,  2.0, 3.0, 4.0};

} // namespace

metrics::metrics()
    : answers_(prometheus::BuildCounter()
                   .Name("lacewingquay_answers_total")
                   .Help("Answers to callers.")
                   .Register(registry_)),
      answer_times_(prometheus::BuildHistogram()
                        .Name("lacewingquay_answer_seconds")
                        .Help("Time until a caller's request was answered.")
                        .Register(registry_)),
      job_times_(prometheus::BuildHistogram()
                     .Name("lacewingquay_job_seconds")
                     .Help("Time from a job's acceptance until its final state was stored.")
                     .Register(registry_)),
      cancellation_times_(prometheus::BuildHistogram()
                              .Name("lacewingquay_cancel_read_seconds")
                              .Help("Time from a cancellation until the owner has read it.")
                              .Register(registry_)),
      count_refreshes_(prometheus::BuildCounter()
                           .Name("lacewingquay_count_refreshes_total")
                           .Help("Attempts to bring the counts of waiting jobs up to date.")
                           .Register(registry_))
{
}

void metrics::observe_answer(std::string_view method, unsigned status, milliseconds time)
{
    const std::string name(method);
    answers_.Add({{"method", name}, {"status", std::to_string(status)}}).Increment();
    answer_times_.Add({{"method", name}}, answer_buckets)
        .Observe(std::chrono::duration<double>(time).count());
}

void metrics::observe_job(std::string_view state, milliseconds time)
{
    job_times_.Add({{"state", std::string(state)}}, job_buckets)
        .Observe(std::chrono::duration<double>(time).count());
}

void metrics::observe_cancellation(milliseconds time)
{
    cancellation_times_.Add({}, cancellation_buckets)
        .Observe(std::chrono::duration<double>(time).count());
}

void metrics::observe_count_refresh(std::string_view outcome)
{
    count_refreshes_.Add({{"outcome", std::string(outcome)}}).Increment();
}

void metrics::set(const std::string& name, const std::string& help, double value)
{
    prometheus::Gauge*& gauge = gauges_[name];
    if (gauge == nullptr)
    {
        gauge = &prometheus::BuildGauge().Name(name).Help(help).Register(registry_).Add({});
    }
    gauge->Set(value);
}

void metrics::set_total(const std::string& name, const std::string& help, std::uint64_t total)
{
    prometheus::Counter*& counter = totals_[name];
    if (counter == nullptr)
    {
        counter = &prometheus::BuildCounter().Name(name).Help(help).Register(registry_).Add({});
    }
    const double more = static_cast<double>(total) - counter->Value();
    if (more > 0.0)
    {
        counter->Increment(more);
    }
}

std::string metrics::text() const
{
    return prometheus::TextSerializer().Serialize(registry_.Collect());
}

} // namespace lacewingquay::manager
