#pragma once

#include "core/clock.hpp"

#include <cstdint>
#include <vector>

namespace lacewingquay::dispatch
{

/// Settings of backend server ejection.
struct outlier_settings
{
    /// Consecutive failures that eject a backend server.
    std::uint32_t consecutive_failures = 5;
    /// Number of latest outcomes for the failure ratio; at most 32.
    std::uint32_t window = 20;
    /// Duration of the first ejection; doubles with each further one until the server recovers.
    milliseconds initial_ejection{5'000};
    milliseconds max_ejection{60'000};
    /// Maximum share of a domain's backend servers that are ejected at once, in percent; at least
    /// one if the domain has three or more.
    std::uint32_t max_ejected_percent = 30;
    /// Time after which a probe without an outcome is abandoned and another one is allowed.
    milliseconds probe_timeout{30'000};
};

/// Ejects failing backend servers of one domain and readmits them after a successful probe. Servers
/// are identified by their index in the domain's slot table.
class outlier_detector
{
public:
    explicit outlier_detector(outlier_settings initial = {}) : settings_(initial) {}

    /// Sets the number of servers.
    void resize(std::size_t count) { servers_.resize(count); }
    /// Sets whether a server counts towards the limits on ejections.
    void set_serving(std::size_t server, bool serving) { servers_[server].serving = serving; }

    /// Records the outcome of a request that reached the server.
    void on_outcome(steady_time now, std::size_t server, bool failed);
    /// Records a granted slot; for a server past its ejection, this grant is the probe.
    void on_granted(steady_time now, std::size_t server);
    /// Records a grant that ended without an outcome; another probe is allowed.
    void on_unused(std::size_t server) { servers_[server].probing = false; }

    /// True if the server may be granted now.
    [[nodiscard]] bool is_available(steady_time now, std::size_t server) const;

    /// Failures among the latest outcomes; a penalty in the selection of a server.
    [[nodiscard]] std::uint32_t recent_failures(std::size_t server) const;

private:
    struct state
    {
        /// One bit for each of the latest outcomes, newest in the lowest bit; 1 is a failure.
        std::uint32_t outcomes = 0;
        std::uint32_t outcome_count = 0;
        std::uint32_t failure_streak = 0;
        std::uint32_t ejections = 0;
        bool serving = false;
        bool ejected = false;
        bool probing = false;
        steady_time ejected_until;
        steady_time probe_until;
    };

    [[nodiscard]] bool is_failing(const state& server) const;
    void eject(steady_time now, state& server);
    /// Ejects failing servers within the limits, or readmits all if more than half are failing.
    void apply_limits(steady_time now);

    outlier_settings settings_;
    std::vector<state> servers_;
};

} // namespace lacewingquay::dispatch
