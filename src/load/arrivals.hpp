#pragma once

#include "load/settings.hpp"

#include <chrono>
#include <cstdint>
#include <optional>
#include <random>
#include <string>
#include <vector>

namespace lacewingquay::load
{

/// One request to be sent.
struct arrival
{
    /// Time since the start of the run.
    std::chrono::nanoseconds at{0};
    std::string service;
    /// Index into the entries of the settings.
    std::size_t entry = 0;
    bool is_write = false;
};

/// Poisson arrivals with bursts (thinning of a process at the peak rate). The same settings give
/// the same sequence.
class arrival_process
{
public:
    explicit arrival_process(const load_settings& settings);

    /// The next arrival, or nothing when the run is over.
    std::optional<arrival> next();

    /// Chooses an entry host by weight among those for which `usable[i]` is true; among all if none
    /// is.
    std::size_t choose_entry(const std::vector<bool>& usable);

private:
    [[nodiscard]] double rate_at(std::size_t service, std::chrono::nanoseconds time) const;

    load_settings settings_;
    std::mt19937_64 random_;
    /// Of its own, so that arrivals do not depend on the number of entry hosts.
    std::mt19937_64 entry_random_;
    std::vector<double> peak_rates_;
    double total_peak_ = 0.0;
    std::chrono::nanoseconds now_{0};
    std::vector<bool> all_usable_;
};

} // namespace lacewingquay::load
