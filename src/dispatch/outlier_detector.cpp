#include "dispatch/outlier_detector.hpp"

#include <algorithm>
#include <bit>

namespace lacewingquay::dispatch
{

void outlier_detector::on_outcome(steady_time now, std::size_t server, bool failed)
{
    state& entry = servers_[server];
    const std::uint32_t mask =
        settings_.window >= 32 ? ~0U : (std::uint32_t{1} << settings_.window) - 1;
    entry.outcomes = ((entry.outcomes << 1U) | (failed ? 1U : 0U)) & mask;
    entry.outcome_count = std::min(entry.outcome_count + 1, settings_.window);
    entry.failure_streak = failed ? entry.failure_streak + 1 : 0;
    if (entry.ejected)
    {
        // Outcomes during the ejection belong to requests granted before it.
        if (now < entry.ejected_until)
        {
            return;
        }
        entry.probing = false;
        if (failed)
        {
            eject(now, entry);
            return;
        }
        entry = state{};
        entry.serving = true;
        return;
    }
    if (!failed && entry.outcome_count == settings_.window && !is_failing(entry))
    {
        entry.ejections = 0;
    }
    if (failed)
    {
        apply_limits(now);
    }
}

void outlier_detector::on_granted(steady_time now, std::size_t server)
{
    state& entry = servers_[server];
    if (entry.ejected)
    {
        entry.probing = true;
        entry.probe_until = now + settings_.probe_timeout;
    }
}

bool outlier_detector::is_available(steady_time now, std::size_t server) const
{
    const state& entry = servers_[server];
    return !entry.ejected ||
           (now >= entry.ejected_until && (!entry.probing || now >= entry.probe_until));
}

std::uint32_t outlier_detector::recent_failures(std::size_t server) const
{
    return static_cast<std::uint32_t>(std::popcount(servers_[server].outcomes));
}

bool outlier_detector::is_failing(const state& server) const
{
    return server.failure_streak >= settings_.consecutive_failures ||
           (server.outcome_count >= settings_.window &&
            static_cast<std::uint32_t>(std::popcount(server.outcomes)) * 2 > settings_.window);
}

void outlier_detector::eject(steady_time now, state& server)
{
    const std::uint32_t doublings = std::min(server.ejections, 16U);
    const milliseconds length = std::min(
        settings_.initial_ejection * (std::int64_t{1} << doublings), settings_.max_ejection);
    server.ejected = true;
    server.probing = false;
    server.ejected_until = now + length;
    ++server.ejections;
}

void outlier_detector::apply_limits(steady_time now)
{
    std::size_t serving = 0;
    std::size_t failing = 0;
    std::size_t ejected = 0;
    for (const state& server : servers_)
    {
        serving += server.serving ? 1 : 0;
        failing += server.serving && (server.ejected || is_failing(server)) ? 1 : 0;
        ejected += server.serving && server.ejected ? 1 : 0;
    }
    if (failing * 2 > serving)
    {
        for (state& server : servers_)
        {
            server.ejected = false;
            server.probing = false;
        }
        return;
    }
    std::size_t limit = serving * settings_.max_ejected_percent / 100;
    if (limit == 0 && serving >= 3)
    {
        limit = 1;
    }
    for (state& server : servers_)
    {
        if (server.serving && !server.ejected && ejected < limit && is_failing(server))
        {
            eject(now, server);
            ++ejected;
        }
    }
}

} // namespace lacewingquay::dispatch
