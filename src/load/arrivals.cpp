#include "load/arrivals.hpp"

#include <algorithm>

namespace lacewingquay::load
{

arrival_process::arrival_process(const load_settings& settings)
    : settings_(settings), random_(settings.seed), entry_random_(settings.seed + 1),
      all_usable_(settings.entries.size(), true)
{
    for (const service_rate& rate : settings_.rates)
    {
        double factor = 1.0;
        for (const burst& entry : settings_.bursts)
        {
            factor = entry.service == rate.service ? std::max(factor, entry.factor) : factor;
        }
        peak_rates_.push_back(rate.rate * factor);
        total_peak_ += rate.rate * factor;
    }
}

double arrival_process::rate_at(std::size_t service, std::chrono::nanoseconds time) const
{
    double rate = settings_.rates[service].rate;
    for (const burst& entry : settings_.bursts)
    {
        const bool active = entry.service == settings_.rates[service].service &&
                            time >= entry.start && time < entry.start + entry.length;
        rate *= active ? entry.factor : 1.0;
    }
    return rate;
}

std::optional<arrival> arrival_process::next()
{
    if (total_peak_ <= 0.0)
    {
        return std::nullopt;
    }
    std::exponential_distribution<double> gap(total_peak_);
    std::discrete_distribution<std::size_t> pick_service(peak_rates_.begin(), peak_rates_.end());
    std::uniform_real_distribution<double> uniform(0.0, 1.0);
    while (true)
    {
        now_ += std::chrono::duration_cast<std::chrono::nanoseconds>(
            std::chrono::duration<double>(gap(random_)));
        if (now_ >= settings_.duration)
        {
            return std::nullopt;
        }
        const std::size_t service = pick_service(random_);
        if (uniform(random_) * peak_rates_[service] <= rate_at(service, now_))
        {
            arrival result;
            result.at = now_;
            result.service = settings_.rates[service].service;
            result.entry = choose_entry(all_usable_);
            result.is_write = uniform(random_) < settings_.write_share;
            return result;
        }
    }
}

std::size_t arrival_process::choose_entry(const std::vector<bool>& usable)
{
    const bool any = std::find(usable.begin(), usable.end(), true) != usable.end();
    std::vector<double> weights;
    for (std::size_t i = 0; i < settings_.entries.size(); ++i)
    {
        weights.push_back(!any || usable[i] ? settings_.entries[i].weight : 0.0);
    }
    std::discrete_distribution<std::size_t> pick(weights.begin(), weights.end());
    return pick(entry_random_);
}

} // namespace lacewingquay::load
