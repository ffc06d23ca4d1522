#include "core/log.hpp"
#include "scheduler/scheduler.hpp"

#include <algorithm>
#include <utility>

namespace lacewingquay::scheduler
{

server_state* scheduler::find_server(std::string_view id)
{
    const auto found = servers_.find(id);
    return found == servers_.end() ? nullptr : found->second.get();
}

server_state& scheduler::server_entry(const std::string& id, std::int64_t born)
{
    std::unique_ptr<server_state>& entry = servers_[id];
    if (entry == nullptr)
    {
        entry = std::make_unique<server_state>();
        entry->info.id = id;
        entry->info.born = born;
    }
    return *entry;
}

void scheduler::begin_incarnation(server_state& server, std::int64_t born, steady_time now)
{
    confirm_crashes(server.info);
    fence_runs(server, now);
    if (server.lease_end > now)
    {
        // A call that was meant for the former incarnation may have reached this one.
        assume_longest_lease(server, now);
    }
    server.info.born = born;
    server.incarnation_ended = false;
    server.ends_read = 0;
    server.ends_stored = 0;
    server.fencing_confirmed = false;
    server.clock_known = false;
    server.closed = false;
    server.ending = false;
}

void scheduler::update_server(const worker::server& info, steady_time now)
{
    server_state& server = server_entry(info.id, info.born);
    if (info.born < server.info.born || (server.incarnation_ended && info.born == server.info.born))
    {
        return;
    }
    if (info.born > server.info.born)
    {
        begin_incarnation(server, info.born, now);
    }
    if (!server.registered && has_later_incarnation(info))
    {
        end_incarnation(info.id, info.born, now);
        return;
    }
    if (!server.registered)
    {
        end_earlier_incarnations(info, now);
        server.joined = now;
        server.idle_since = now;
        server.last_answer = now;
        log_event(log_level::info, "server_joined",
                  {{"server", info.id},
                   {"pool", info.pool},
                   {"machine", info.machine},
                   {"address", info.endpoint.text()},
                   {"born", info.born}});
    }
    if (info.draining && !server.info.draining)
    {
        log_event(log_level::info, "server_drains",
                  {{"server", info.id}, {"left_ms", info.drain_remaining.count()}});
    }
    // Jobs may have been read after the server joined.
    confirm_crashes_before(info);
    plan_needed_ = plan_needed_ || !server.registered;
    check_registration(server, info);
    server.registered = true;
    server.info = info;
    server.last_registration = now;
    if (!server.clock_known)
    {
        server.clock_known = true;
        server.clock_offset =
            info.clock - std::chrono::duration_cast<milliseconds>(now.time_since_epoch());
        server.clock_read = now;
    }
    if (info.draining)
    {
        evacuate(server);
    }
}

void scheduler::end_earlier_incarnations(const worker::server& info, steady_time now)
{
    if (info.machine.empty())
    {
        return;
    }
    for (const auto& entry : servers_)
    {
        const worker::server& other = entry.second->info;
        if (other.machine == info.machine && other.id != info.id && other.born < info.born)
        {
            // A machine runs one server at a time, but the registration of an ended one remains
            // for some seconds.
            end_incarnation(other.id, other.born, now);
        }
    }
}

bool scheduler::has_later_incarnation(const worker::server& info) const
{
    return !info.machine.empty() &&
           std::any_of(servers_.begin(), servers_.end(),
                       [&](const auto& entry)
                       {
                           const worker::server& other = entry.second->info;
                           return other.machine == info.machine && other.id != info.id &&
                                  other.born > info.born;
                       });
}

void scheduler::remove_server(std::string_view id, steady_time now)
{
    server_state* server = find_server(id);
    if (server == nullptr || !server->registered)
    {
        return;
    }
    server->registered = false;
    log_event(log_level::info, "server_unregistered",
              {{"server", id},
               {"runs", server->tasks.size()},
               {"lease_left_ms",
                std::chrono::duration_cast<milliseconds>(server->lease_end - now).count()}});
}

void scheduler::end_incarnation(std::string_view id, std::int64_t born, steady_time now)
{
    server_state* server = find_server(id);
    if (server == nullptr || server->info.born != born)
    {
        return;
    }
    confirm_crashes(server->info);
    // A takeover may have restored runs there after the end was first known.
    lose_runs(*server, "this server incarnation has ended", now);
    if (server->incarnation_ended)
    {
        return;
    }
    server->incarnation_ended = true;
    server->registered = false;
    server->lease_end = now;
}

void scheduler::lose_runs(server_state& server, std::string_view reason, steady_time now)
{
    if (server.tasks.empty())
    {
        return;
    }
    log_event(log_level::warning, "runs_lost",
              {{"server", server.info.id},
               {"runs", server.tasks.size()},
               {"reason", reason},
               {"answer_age_ms",
                std::chrono::duration_cast<milliseconds>(now - server.last_answer).count()}});
    const std::vector<task_ref> tasks = server.tasks;
    for (const task_ref& ref : tasks)
    {
        if (ref.definition().gang)
        {
            end_gang_run(ref, worker::end_kind::broken);
        }
        else
        {
            requeue(ref);
        }
    }
}

void scheduler::fence_runs(server_state& server, steady_time now)
{
    if (server.tasks.empty())
    {
        return;
    }
    log_event(log_level::warning, "server_restarted",
              {{"server", server.info.id},
               {"runs", server.tasks.size()},
               {"answer_age_ms",
                std::chrono::duration_cast<milliseconds>(now - server.last_answer).count()}});
    const std::vector<task_ref> tasks = server.tasks;
    for (const task_ref& ref : tasks)
    {
        task_state& task = ref.task();
        if (ref.definition().gang)
        {
            end_gang_run(ref, worker::end_kind::broken);
        }
        else if (has_run(task))
        {
            task.phase = task_phase::starting;
            task.stop_sent = {};
            request_stop(ref, true);
        }
        else
        {
            requeue(ref);
        }
    }
}

milliseconds scheduler::grant_lease(server_state& server, steady_time now)
{
    // A server that does not answer gets no further lease, so that its runs can be repeated
    // elsewhere once the latest lease has expired.
    if (!server.clock_known || server.unanswered > 0)
    {
        return milliseconds(0);
    }
    server.lease_end = std::max(server.lease_end, now + lease_bound(settings_.lease));
    return std::chrono::duration_cast<milliseconds>(now.time_since_epoch()) + server.clock_offset -
           max_clock_lag(server, now) + settings_.lease;
}

milliseconds scheduler::lease_bound(milliseconds lease) const
{
    const milliseconds on_slow_clock(static_cast<std::int64_t>(static_cast<double>(lease.count()) *
                                                               (1.0 + settings_.clock_drift)));
    return on_slow_clock + settings_.lease_slack;
}

milliseconds scheduler::max_clock_lag(const server_state& server, steady_time now) const
{
    return milliseconds(static_cast<std::int64_t>(
        std::chrono::duration<double, std::milli>(now - server.clock_read).count() *
        settings_.clock_drift));
}

void scheduler::assume_longest_lease(server_state& server, steady_time now)
{
    server.lease_end = std::max(server.lease_end, now + lease_bound(settings_.max_lease));
}

void scheduler::observe_clock(std::string_view id, std::int64_t born, milliseconds clock,
                              steady_time sent_at, steady_time now)
{
    server_state* server = find_server(id);
    if (server == nullptr || server->info.born != born || !server->clock_known ||
        clock.count() == 0)
    {
        return;
    }
    const milliseconds earliest =
        std::chrono::duration_cast<milliseconds>(sent_at.time_since_epoch()) +
        server->clock_offset - max_clock_lag(*server, now) - settings_.clock_margin;
    if (clock < earliest)
    {
        log_event(log_level::warning, "server_clock_behind",
                  {{"server", id},
                   {"clock_ms", clock.count()},
                   {"expected_ms", earliest.count()},
                   {"lease_left_ms",
                    std::chrono::duration_cast<milliseconds>(server->lease_end - now).count()}});
        assume_longest_lease(*server, now);
    }
}

void scheduler::check_run_progress(const task_ref& ref, int percent, steady_time now)
{
    task_state& task = ref.task();
    const job::step& step = ref.definition();
    if (step.long_running || step.gang || step.best_effort || task.stop_wanted)
    {
        return;
    }
    if (percent > task.percent)
    {
        task.percent = percent;
        task.advanced = now;
    }
    server_state& server = *task.server;
    const milliseconds running = std::chrono::duration_cast<milliseconds>(now - task.since);
    const bool is_stalled = now - task.advanced >= settings_.stall_timeout;
    // Tasks placed away from their data or their peers are slow on a healthy server too.
    const bool is_slow = step.data_rack.empty() && !step.same_rack &&
                         running >= settings_.slow_check_delay &&
                         running * 100 > step.estimate * settings_.slow_factor * percent;
    if (!is_stalled && !is_slow)
    {
        return;
    }
    if (server.avoid_until <= now || is_stalled)
    {
        log_event(log_level::warning, is_stalled ? "run_stands_still" : "server_slow",
                  {{"job", ref.job->record.id},
                   {"server", server.info.id},
                   {"run", task.run},
                   {"percent", percent},
                   {"running_ms", running.count()},
                   {"estimate_ms", step.estimate.count()}});
    }
    server.avoid_until = std::max(server.avoid_until, now + settings_.failure_backoff);
    if (is_stalled)
    {
        // The run is repeated once the server has reported its end.
        request_stop(ref);
    }
}

void scheduler::record_run_result(server_state& server, bool failed, steady_time now)
{
    if (!failed)
    {
        server.consecutive_failures = 0;
        return;
    }
    ++server.consecutive_failures;
    if (server.consecutive_failures >= settings_.failures_to_avoid)
    {
        server.avoid_until = now + settings_.failure_backoff;
        log_event(log_level::warning, "server_avoided",
                  {{"server", server.info.id}, {"failures", server.consecutive_failures}});
    }
}

} // namespace lacewingquay::scheduler
