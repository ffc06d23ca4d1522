#include "planner/trace_generator.hpp"

#include <algorithm>
#include <cmath>
#include <numbers>
#include <random>

namespace lacewingquay::planner
{

namespace
{

constexpr std::int64_t step_seconds = 5;
constexpr std::int64_t steps_per_day = 86'400 / step_seconds;
constexpr std::int64_t steps_per_minute = 60 / step_seconds;
constexpr std::int64_t hosts_per_rack = 4;
constexpr double burst_factor = 5.0;
constexpr double trough_factor = 0.05;

/// Random numbers that are the same on all platforms, unlike those of the distributions of
/// `<random>`.
class random_source
{
public:
    explicit random_source(std::uint64_t seed) : engine_(seed) {}

    double uniform(double low, double high)
    {
        /// 2^-53: `engine_() >> 11` has 53 bits.
        constexpr double scale = 1.0 / 9007199254740992.0;
        return low + (high - low) * static_cast<double>(engine_() >> 11U) * scale;
    }

    /// An integer from `low` up to and including `high`.
    std::int64_t integer(std::int64_t low, std::int64_t high)
    {
        const std::uint64_t span = static_cast<std::uint64_t>(high - low) + 1;
        return low + static_cast<std::int64_t>(engine_() % span);
    }

private:
    std::mt19937_64 engine_;
};

struct service_shape
{
    double mean_slots = 0.0;
    double swing = 0.0;
    double phase = 0.0;
    std::int64_t change_step = 0;
    double change_factor = 1.0;
    /// Step until which the service has no bursts.
    std::int64_t quiet_until = 0;
};

double mean_at(const service_shape& shape, std::int64_t step)
{
    const double day = static_cast<double>(step) / static_cast<double>(steps_per_day);
    const double wave = 1.0 + shape.swing * std::sin(2.0 * std::numbers::pi * (day - shape.phase));
    return shape.mean_slots * wave * (step >= shape.change_step ? shape.change_factor : 1.0);
}

std::vector<trace_host> make_hosts(const generator_settings& settings)
{
    std::vector<trace_host> hosts;
    std::vector<std::int64_t> in_zone(static_cast<std::size_t>(settings.zones), 0);
    for (const generated_service& service : settings.services)
    {
        for (std::int64_t index = 0; index < service.hosts; ++index)
        {
            const std::size_t zone = hosts.size() % in_zone.size();
            const std::string zone_name = "z" + std::to_string(zone + 1);
            const std::int64_t rack = in_zone[zone]++ / hosts_per_rack;
            trace_host host;
            host.name = "h" + std::to_string(hosts.size() + 101);
            host.availability_zone = zone_name;
            host.rack = zone_name + "r" + std::to_string(rack + 1);
            host.pool = service.name;
            hosts.push_back(std::move(host));
        }
    }
    return hosts;
}

std::vector<service_shape> make_shapes(const generator_settings& settings, random_source& random)
{
    constexpr double slots_per_host = 8.0;
    std::vector<service_shape> shapes;
    for (const generated_service& service : settings.services)
    {
        service_shape shape;
        shape.mean_slots = slots_per_host * static_cast<double>(service.hosts) *
                           service.mean_utilization * random.uniform(0.9, 1.1);
        shape.swing = service.daily_swing * random.uniform(0.8, 1.2);
        shape.phase = random.uniform(0.25, 0.45);
        shapes.push_back(shape);
    }
    const std::int64_t steps = settings.days * steps_per_day;
    const std::int64_t count = static_cast<std::int64_t>(shapes.size());
    const std::int64_t growing_service = random.integer(0, count - 1);
    const std::int64_t shrinking_service =
        (growing_service + random.integer(1, std::max<std::int64_t>(1, count - 1))) % count;
    shapes[static_cast<std::size_t>(growing_service)].change_step =
        random.integer(steps / 4, steps * 6 / 10);
    shapes[static_cast<std::size_t>(growing_service)].change_factor = settings.step_up;
    if (shrinking_service != growing_service)
    {
        shapes[static_cast<std::size_t>(shrinking_service)].change_step =
            random.integer(steps / 3, steps * 3 / 4);
        shapes[static_cast<std::size_t>(shrinking_service)].change_factor = settings.step_down;
    }
    return shapes;
}

/// Generates the samples: services burst one after the other, except in their quiet periods.
void make_samples(const generator_settings& settings, std::vector<service_shape>& shapes,
                  random_source& random, demand_trace& trace)
{
    const std::int64_t steps = settings.days * steps_per_day;
    std::size_t bursting_service = 0;
    std::int64_t burst_end = 0;
    double burst = burst_factor;
    for (std::int64_t step = 0; step < steps; ++step)
    {
        for (service_shape& shape : shapes)
        {
            const double chance =
                settings.quiet_periods_per_day / static_cast<double>(steps_per_day);
            if (random.uniform(0.0, 1.0) < chance)
            {
                shape.quiet_until =
                    step + random.integer(5 * steps_per_minute, 20 * steps_per_minute);
            }
        }
        if (step >= burst_end)
        {
            bursting_service = (bursting_service + 1) % shapes.size();
            burst_end = step + random.integer(1, 3);
            burst = burst_factor * random.uniform(0.9, 1.1);
        }
        std::vector<std::int64_t> sample;
        for (std::size_t index = 0; index < shapes.size(); ++index)
        {
            const bool bursts = index == bursting_service && step >= shapes[index].quiet_until;
            const double factor = bursts ? burst : trough_factor;
            sample.push_back(std::llround(mean_at(shapes[index], step) * factor * 1'000.0));
        }
        trace.samples.push_back(std::move(sample));
    }
}

void make_events(const generator_settings& settings, random_source& random, demand_trace& trace)
{
    constexpr std::int64_t steps_per_hour = steps_per_day / 24;
    const double loss_count = settings.hosts_lost_per_day * static_cast<double>(settings.days);
    std::vector<std::int64_t> unavailable_until(trace.hosts.size(), -1);
    std::vector<std::int64_t> times;
    for (std::int64_t index = 0; index < std::llround(loss_count); ++index)
    {
        times.push_back(random.integer(0, settings.days * steps_per_day - 1));
    }
    std::sort(times.begin(), times.end());
    for (const std::int64_t step : times)
    {
        const std::size_t host = static_cast<std::size_t>(
            random.integer(0, static_cast<std::int64_t>(trace.hosts.size()) - 1));
        const std::int64_t return_step =
            step + random.integer(steps_per_hour / 2, settings.max_absence_hours * steps_per_hour);
        if (unavailable_until[host] < step)
        {
            unavailable_until[host] = return_step;
            trace.events.push_back({step, trace.hosts[host].name, true});
            trace.events.push_back({return_step, trace.hosts[host].name, false});
        }
    }
    std::stable_sort(trace.events.begin(), trace.events.end(),
                     [](const host_event& left, const host_event& right)
                     { return left.step < right.step; });
}

} // namespace

demand_trace generate_trace(const generator_settings& settings)
{
    // Monday 2026-01-05 00:00 UTC.
    constexpr std::int64_t first_minute = 29'459'520;
    random_source random(settings.seed);
    demand_trace trace;
    trace.start_minute = first_minute;
    trace.step_seconds = step_seconds;
    trace.hosts = make_hosts(settings);
    for (const generated_service& service : settings.services)
    {
        trace.services.push_back({service.name, service.name});
    }
    std::vector<service_shape> shapes = make_shapes(settings, random);
    make_samples(settings, shapes, random, trace);
    make_events(settings, random, trace);
    return trace;
}

} // namespace lacewingquay::planner
