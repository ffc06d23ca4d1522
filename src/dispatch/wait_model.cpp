#include "dispatch/wait_model.hpp"

#include "dispatch/dispatch_simulation.hpp"

#include <algorithm>
#include <functional>
#include <queue>
#include <random>

namespace lacewingquay::dispatch
{

namespace
{

/// Time allowed for the first terms to begin, in seconds.
constexpr double startup_time = 1.0;

/// Time before the first counted request, in seconds.
constexpr double warm_up_time = 3.0;

double quantile(std::vector<double>& values, double share)
{
    if (values.empty())
    {
        return 0.0;
    }
    const auto position =
        static_cast<std::ptrdiff_t>(share * static_cast<double>(values.size() - 1));
    std::nth_element(values.begin(), values.begin() + position, values.end());
    return values[static_cast<std::size_t>(position)];
}

using free_times = std::priority_queue<double, std::vector<double>, std::greater<>>;

/// First-come-first-served queue over a number of slots.
class fifo_queue
{
public:
    explicit fifo_queue(std::uint32_t slots)
    {
        for (std::uint32_t i = 0; i < slots; ++i)
        {
            free_.push(0.0);
        }
    }

    void serve(const wait_model_options& options, const model_arrival& arrival, result_tally& tally)
    {
        const double start = std::max(arrival.at, free_.top());
        if (start + options.admission_margin * options.mean_service > arrival.at + options.deadline)
        {
            tally.refuse(arrival, 0.0);
            return;
        }
        free_.pop();
        free_.push(start + arrival.service);
        tally.start(arrival, start - arrival.at);
        tally.complete(arrival, start + arrival.service - arrival.at <= options.deadline);
    }

private:
    free_times free_;
};

std::uint32_t total_slots(const wait_model_options& options)
{
    std::uint32_t servers = 0;
    for (const std::uint32_t count : options.backend_servers)
    {
        servers += count;
    }
    return servers * options.slots;
}

std::uint32_t total_entry_hosts(const wait_model_options& options)
{
    std::uint32_t total = 0;
    for (const std::uint32_t count : options.entry_hosts)
    {
        total += count;
    }
    return total;
}

} // namespace

void result_tally::start(const model_arrival& arrival, double wait)
{
    if (arrival.counted)
    {
        waits.push_back(wait);
    }
}

void result_tally::complete(const model_arrival& arrival, bool in_time)
{
    result.in_time += arrival.counted && in_time ? 1 : 0;
}

void result_tally::refuse(const model_arrival& arrival, double after)
{
    if (arrival.counted)
    {
        ++result.refused;
        result.slowest_refusal_ms = std::max(result.slowest_refusal_ms, after * 1e3);
    }
}

wait_model_result result_tally::finish(std::span<const model_arrival> arrivals)
{
    result.arrivals = static_cast<std::uint64_t>(std::count_if(arrivals.begin(), arrivals.end(),
                                                               [](const model_arrival& arrival)
                                                               { return arrival.counted; }));
    result.wait_p50_ms = quantile(waits, 0.5) * 1e3;
    result.wait_p99_ms = quantile(waits, 0.99) * 1e3;
    return result;
}

std::vector<model_arrival> make_arrivals(const wait_model_options& options)
{
    std::mt19937_64 random(options.seed);
    std::vector<double> weights(total_entry_hosts(options), 1.0);
    for (std::size_t i = 0; i < weights.size() && i < 2; ++i)
    {
        weights[i] = options.skew;
    }
    std::discrete_distribution<std::uint32_t> balance(weights.begin(), weights.end());
    std::exponential_distribution<double> service(1.0 / options.mean_service);
    const double base = options.load * total_slots(options) / options.mean_service;
    const double burst_end = options.burst_start + options.burst_length;
    const bool bursts = options.burst_factor > 1.0;
    std::vector<model_arrival> arrivals;
    double now = startup_time;
    while (now < options.length)
    {
        const bool in_burst = bursts && now >= options.burst_start && now < burst_end;
        const double rate = in_burst ? base * options.burst_factor : base;
        now += std::exponential_distribution<double>(rate)(random);
        model_arrival arrival;
        arrival.at = now;
        arrival.service = service(random);
        arrival.entry_host = balance(random);
        arrival.counted =
            bursts ? now >= options.burst_start && now < burst_end : now >= warm_up_time;
        arrivals.push_back(arrival);
    }
    return arrivals;
}

wait_model_result run_shared_queue(const wait_model_options& options,
                                   std::span<const model_arrival> arrivals)
{
    result_tally tally;
    fifo_queue queue(total_slots(options));
    for (const model_arrival& arrival : arrivals)
    {
        queue.serve(options, arrival, tally);
    }
    return tally.finish(arrivals);
}

wait_model_result run_static_shares(const wait_model_options& options,
                                    std::span<const model_arrival> arrivals)
{
    result_tally tally;
    const std::uint32_t hosts = total_entry_hosts(options);
    const std::uint32_t slots = total_slots(options);
    std::vector<fifo_queue> queues;
    for (std::uint32_t i = 0; i < hosts; ++i)
    {
        queues.emplace_back(slots / hosts + (i < slots % hosts ? 1 : 0));
    }
    for (const model_arrival& arrival : arrivals)
    {
        queues[arrival.entry_host].serve(options, arrival, tally);
    }
    return tally.finish(arrivals);
}

wait_model_result run_dispatch_cores(const wait_model_options& options,
                                     std::span<const model_arrival> arrivals)
{
    dispatch_simulation simulation(options, arrivals);
    return simulation.run();
}

} // namespace lacewingquay::dispatch
