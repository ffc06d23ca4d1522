#include "maintenance/wave_core.hpp"

#include "maintenance/batch_plan.hpp"

#include <algorithm>

namespace lacewingquay::maintenance
{

namespace
{

bool in_scope(const wave& value, const wave_candidate& host)
{
    switch (value.scope)
    {
    case scope_kind::pool:
        return host.pool == value.scope_name;
    case scope_kind::zone:
        return host.availability_zone == value.scope_name;
    case scope_kind::all:
        return true;
    }
    return false;
}

bool is_terminal(host_phase phase)
{
    return phase == host_phase::done || phase == host_phase::failed;
}

} // namespace

wave_step wave_core::begin(const std::vector<wave_candidate>& candidates, std::int64_t now_ms)
{
    wave_step step;
    if (wave_.state != wave_state::requested)
    {
        return step;
    }
    for (const wave_candidate& candidate : candidates)
    {
        if (in_scope(wave_, candidate))
        {
            wave_host host;
            host.pool = candidate.pool;
            host.availability_zone = candidate.availability_zone;
            host.rack = candidate.rack;
            host.since_ms = now_ms;
            wave_.hosts.insert_or_assign(candidate.name, std::move(host));
        }
    }
    step.changed = true;
    wave_.state = wave_state::running;
    if (wave_.hosts.empty())
    {
        wave_.state = wave_state::stopped;
        wave_.reason =
            "no host in scope " + std::string(to_string(wave_.scope)) + " " + wave_.scope_name;
        step.notices.push_back(wave_notice::stopped);
    }
    return step;
}

wave_step wave_core::handle(const wave_event& event, std::int64_t now_ms,
                            const pool_statuses& pools)
{
    wave_step step;
    changed_ = false;
    if (wave_.state == wave_state::requested || wave_.state == wave_state::finished)
    {
        return step;
    }
    if (event.kind == wave_event_kind::pause || event.kind == wave_event_kind::resume)
    {
        const bool pause = event.kind == wave_event_kind::pause;
        changed_ = wave_.paused != pause;
        wave_.paused = pause;
        wave_.reason = wave_.state == wave_state::stopped ? wave_.reason : event.reason;
    }
    handle_host(event, now_ms);
    check_timeouts(now_ms);
    check_failures(step, now_ms);
    advance(now_ms, pools, step);
    step.changed = changed_;
    return step;
}

void wave_core::set_phase(wave_host& host, host_phase phase, std::int64_t now_ms)
{
    host.phase = phase;
    host.since_ms = now_ms;
    changed_ = true;
}

void wave_core::handle_host(const wave_event& event, std::int64_t now_ms)
{
    const auto found = wave_.hosts.find(event.host);
    if (found == wave_.hosts.end())
    {
        return;
    }
    wave_host& host = found->second;
    if (event.kind == wave_event_kind::host_drained && host.phase == host_phase::draining)
    {
        set_phase(host, host_phase::rebooting, now_ms);
    }
    else if (event.kind == wave_event_kind::host_back && host.phase == host_phase::rebooting)
    {
        set_phase(host, host_phase::returning, now_ms);
    }
    else if (event.kind == wave_event_kind::host_returned && host.phase == host_phase::returning)
    {
        set_phase(host, host.failure.empty() ? host_phase::done : host_phase::failed, now_ms);
    }
    else if (event.kind == wave_event_kind::host_failed && !is_terminal(host.phase))
    {
        // A host lost while waiting belongs to no batch, so that it does not count as a failure
        // that stops the wave.
        host.failure = host.phase == host_phase::waiting ? "lost before its turn" : "lost";
        set_phase(host, host_phase::failed, now_ms);
    }
}

void wave_core::check_timeouts(std::int64_t now_ms)
{
    for (auto& [name, host] : wave_.hosts)
    {
        const std::int64_t in_phase = now_ms - host.since_ms;
        if (host.phase == host_phase::draining && in_phase >= settings_.drain_timeout_ms)
        {
            host.failure = "did not drain in time";
            set_phase(host, host_phase::returning, now_ms);
        }
        else if (host.phase == host_phase::rebooting && in_phase >= settings_.reboot_timeout_ms)
        {
            host.failure = "did not come back in time";
            set_phase(host, host_phase::failed, now_ms);
        }
    }
}

std::int64_t wave_core::batch_failures() const
{
    return std::count_if(wave_.hosts.begin(), wave_.hosts.end(),
                         [this](const auto& entry) {
                             return wave_.batch > 0 && entry.second.batch == wave_.batch &&
                                    !entry.second.failure.empty();
                         });
}

void wave_core::check_failures(wave_step& step, std::int64_t now_ms)
{
    const std::int64_t failures = batch_failures();
    const bool is_canary = wave_.batch == 1;
    if (wave_.state != wave_state::running || failures == 0)
    {
        return;
    }
    if (is_canary)
    {
        stop("the canary has failed", step, now_ms);
    }
    else if (failures >= settings_.stop_after_failures)
    {
        stop(std::to_string(failures) + " hosts of batch " + std::to_string(wave_.batch) +
                 " have failed",
             step, now_ms);
    }
}

void wave_core::stop(const std::string& reason, wave_step& step, std::int64_t now_ms)
{
    wave_.state = wave_state::stopped;
    wave_.reason = reason;
    changed_ = true;
    step.notices.push_back(wave_notice::stopped);
    for (auto& [name, host] : wave_.hosts)
    {
        if (host.phase == host_phase::draining)
        {
            host.failure = "wave stopped before its reboot";
            set_phase(host, host_phase::returning, now_ms);
        }
    }
}

void wave_core::advance(std::int64_t now_ms, const pool_statuses& pools, wave_step& step)
{
    if (wave_.state != wave_state::running)
    {
        return;
    }
    bool any_out_of_service = false;
    bool all_terminal = true;
    for (const auto& [name, host] : wave_.hosts)
    {
        any_out_of_service = any_out_of_service || is_out_of_service(host.phase);
        all_terminal = all_terminal && is_terminal(host.phase);
    }
    if (all_terminal)
    {
        wave_.state = wave_state::finished;
        changed_ = true;
        step.notices.push_back(wave_notice::finished);
        return;
    }
    if (!any_out_of_service && wave_.batch_started_ms > 0)
    {
        wave_.longest_batch_ms = std::max(wave_.longest_batch_ms, now_ms - wave_.batch_started_ms);
        wave_.batch_started_ms = 0;
        changed_ = true;
    }
    check_deadline(now_ms, pools, step);
    if (any_out_of_service || wave_.paused)
    {
        return;
    }
    const std::vector<std::string> batch = plan_batch(wave_, now_ms, pools, settings_);
    if (batch.empty())
    {
        return;
    }
    ++wave_.batch;
    wave_.batch_started_ms = now_ms;
    for (const std::string& name : batch)
    {
        wave_host& host = wave_.hosts.find(name)->second;
        host.batch = wave_.batch;
        set_phase(host, host_phase::draining, now_ms);
    }
}

void wave_core::check_deadline(std::int64_t now_ms, const pool_statuses& pools, wave_step& step)
{
    const bool at_risk =
        now_ms + batches_needed(wave_, pools, settings_) * batch_time_ms(wave_, settings_) >
        wave_.deadline_ms;
    if (at_risk && !wave_.deadline_at_risk)
    {
        step.notices.push_back(wave_notice::deadline_at_risk);
    }
    changed_ = changed_ || at_risk != wave_.deadline_at_risk;
    wave_.deadline_at_risk = at_risk;
}

std::vector<wave_action> wave_core::pending_actions() const
{
    std::vector<wave_action> actions;
    for (const auto& [name, host] : wave_.hosts)
    {
        if (host.phase == host_phase::draining)
        {
            actions.push_back({wave_action_kind::drain_host, name, ""});
        }
        else if (host.phase == host_phase::rebooting)
        {
            actions.push_back({wave_action_kind::reboot_host, name, wave_.id + "/" + name});
        }
        else if (host.phase == host_phase::returning)
        {
            actions.push_back({wave_action_kind::return_host, name, ""});
        }
    }
    return actions;
}

} // namespace lacewingquay::maintenance
