#include "core/log.hpp"
#include "scheduler/scheduler.hpp"

#include <algorithm>
#include <set>
#include <utility>

namespace lacewingquay::scheduler
{

namespace
{

/// A report with this many ended runs may be truncated; the rest comes with the next call.
constexpr std::size_t max_listed_ends = 500;

} // namespace

void scheduler::apply_report(std::string_view id, const worker::report& report,
                             steady_time requested_at, steady_time now)
{
    server_state* found = find_server(id);
    if (found == nullptr || report.born < found->info.born)
    {
        return;
    }
    server_state& server = *found;
    if (report.born > server.info.born)
    {
        begin_incarnation(server, report.born, now);
    }
    now_ = now;
    record_answer(server, now);
    server.fencing_confirmed = true;
    server.clock_known = true;
    server.clock_offset =
        report.clock - std::chrono::duration_cast<milliseconds>(now.time_since_epoch());
    server.clock_read = now;
    for (const worker::ended_task& ended : report.ended)
    {
        if (ended.number > server.ends_read)
        {
            apply_end(server, ended, now);
            server.ends_read = ended.number;
        }
    }
    std::set<task_state*> listed;
    std::set<worker::task_name> unknown;
    for (const worker::running_task& entry : report.running)
    {
        task_ref ref;
        const bool known = find_task(entry.task, ref);
        if (known)
        {
            ref.job->begun = true;
        }
        task_state* task = known ? &ref.task() : nullptr;
        if (task == nullptr || task->server != &server || task->run != entry.run ||
            task->phase == task_phase::assigned)
        {
            unknown.insert(entry.task);
            stop_unexpected(server, entry.task, entry.run);
            continue;
        }
        listed.insert(task);
        task->last_at_work = now;
        if (task->phase != task_phase::running)
        {
            task->phase = task_phase::running;
            task->since = now;
            task->advanced = now;
            if (task->stop_revocable)
            {
                task->stop_wanted = false;
            }
        }
        if (!entry.checkpoint.empty())
        {
            task->checkpoint = entry.checkpoint;
        }
        task->at_full_speed = ref.definition().long_running && entry.percent >= 100;
        check_run_progress(ref, entry.percent, now);
        clear_proved(ref, now);
    }
    for (auto entry = unexpected_runs_.begin(); entry != unexpected_runs_.end();)
    {
        const bool over = entry->first.first == server.info.id &&
                          !unknown.contains(entry->first.second) &&
                          entry->second.noticed <= requested_at;
        if (over)
        {
            server.used -= entry->second.booked;
            --server.unexpected_runs;
            plan_needed_ = true;
        }
        entry = over ? unexpected_runs_.erase(entry) : std::next(entry);
    }
    if (report.ended.size() >= max_listed_ends)
    {
        return;
    }
    const std::vector<task_ref> tasks = server.tasks;
    for (const task_ref& ref : tasks)
    {
        const task_state& task = ref.task();
        if (task.server != &server || listed.contains(&ref.task()))
        {
            continue;
        }
        const bool unresolved =
            task.phase == task_phase::unresolved && task.resolve_after <= requested_at;
        const bool vanished = task.phase == task_phase::running && task.since < requested_at;
        if (unresolved || vanished)
        {
            log_event(log_level::info, "run_not_there",
                      {{"job", ref.job->record.id},
                       {"server", server.info.id},
                       {"run", task.run},
                       {"vanished", vanished}});
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
}

bool scheduler::has_room(const worker::start_order& order) const
{
    const auto found = servers_.find(order.server);
    return found != servers_.end() && found->second->used.fits_into(found->second->info.capacity);
}

bool scheduler::is_start_due(const worker::start_order& order)
{
    task_ref ref;
    if (!find_task(order.task, ref))
    {
        return false;
    }
    const task_state& task = ref.task();
    // A run may be reported before its start is answered.
    const bool is_wanted =
        (task.phase == task_phase::starting || task.phase == task_phase::running) &&
        task.run == order.run && !task.stop_wanted && !job::is_final(ref.job->reported_state);
    if (!is_wanted || task.server->info.id != order.server)
    {
        return false;
    }
    const server_state& server = *task.server;
    return server.info.born == order.server_born && !server.info.draining && !server.closed;
}

bool scheduler::is_stop_due(const worker::stop_order& order)
{
    task_ref ref;
    if (find_task(order.task, ref))
    {
        const task_state& task = ref.task();
        if (task.server != nullptr && task.server->info.id == order.server && task.run == order.run)
        {
            return task.stop_wanted;
        }
    }
    const auto found = unexpected_runs_.find({order.server, order.task});
    return found != unexpected_runs_.end() && found->second.run == order.run;
}

void scheduler::start_answered(const worker::start_order& order, worker::order_outcome outcome,
                               steady_time now)
{
    using worker::order_outcome;
    task_ref ref;
    server_state* server = find_server(order.server);
    if (!find_task(order.task, ref))
    {
        return;
    }
    ref.job->begun = ref.job->begun || outcome == order_outcome::accepted;
    if (server == nullptr)
    {
        return;
    }
    task_state& task = ref.task();
    const bool current =
        task.server == server && task.run == order.run && server->info.born == order.server_born;
    if (outcome == order_outcome::accepted)
    {
        record_answer(*server, now);
        if (current && task.phase == task_phase::starting)
        {
            task.phase = task_phase::running;
            task.since = now;
            task.advanced = now;
        }
        return;
    }
    log_event(log_level::info, "start_failed",
              {{"job", order.task.job},
               {"step", order.task.position.step},
               {"index", order.task.position.index},
               {"run", order.run},
               {"server", order.server},
               {"outcome", worker::outcome_name(outcome)}});
    if (outcome != order_outcome::stale_run && outcome != order_outcome::fenced &&
        outcome != order_outcome::bad_ticket && outcome != order_outcome::withdrawn)
    {
        server->avoid_until = std::max(server->avoid_until, now + settings_.refusal_backoff);
    }
    if (outcome == order_outcome::other_server)
    {
        end_incarnation(order.server, order.server_born, now);
        return;
    }
    if (!current || task.phase != task_phase::starting)
    {
        return;
    }
    if (outcome == order_outcome::bad_ticket)
    {
        // Advice on this server is requested again.
        ref.parent_step().tickets.erase(order.server);
        ref.parent_step().advised.erase(order.server);
    }
    if (outcome == order_outcome::stale_run || outcome == order_outcome::fenced)
    {
        task.phase = task_phase::unresolved;
        task.resolve_after = now;
        return;
    }
    if (outcome == order_outcome::unknown)
    {
        request_stop(ref, true);
        return;
    }
    if (ref.definition().gang)
    {
        end_gang_run(ref, worker::end_kind::broken);
        return;
    }
    requeue(ref);
}

void scheduler::stop_answered(const worker::stop_order& order, worker::order_outcome outcome,
                              steady_time now)
{
    task_ref ref;
    server_state* server = find_server(order.server);
    if (server == nullptr)
    {
        return;
    }
    if (outcome == worker::order_outcome::other_server)
    {
        end_incarnation(order.server, order.server_born, now);
        return;
    }
    const bool was_needless = outcome == worker::order_outcome::not_sent && !is_stop_due(order);
    if (was_needless)
    {
        return;
    }
    if (outcome != worker::order_outcome::accepted)
    {
        log_event(log_level::info, "stop_failed",
                  {{"job", order.task.job},
                   {"step", order.task.position.step},
                   {"index", order.task.position.index},
                   {"run", order.run},
                   {"server", order.server},
                   {"outcome", worker::outcome_name(outcome)},
                   {"attempt", order.attempt},
                   {"due_for_ms", order.due_for.count()}});
        return;
    }
    if (!find_task(order.task, ref))
    {
        return;
    }
    task_state& task = ref.task();
    if (task.server == server && task.run == order.run && task.phase == task_phase::starting)
    {
        task.phase = task_phase::unresolved;
        task.resolve_after = now;
    }
}

std::vector<worker::stop_order> scheduler::take_stops(steady_time now)
{
    std::vector<worker::stop_order> orders;
    std::vector<task_ref> open;
    for (const task_ref& ref : stops_)
    {
        task_state& task = ref.task();
        task.stop_listed = false;
        if (!task.stop_wanted || task.server == nullptr)
        {
            continue;
        }
        if (task.stop_sent == steady_time{} && is_evacuation(ref) &&
            unavailable_tasks(ref) > ref.definition().disruption_budget)
        {
            // Other tasks of the step have become unavailable since the stop was decided.
            task.stop_wanted = false;
            continue;
        }
        task.stop_listed = true;
        open.push_back(ref);
        if (now - task.stop_sent < settings_.stop_retry_interval)
        {
            continue;
        }
        task.stop_sent = now;
        ++task.stop_attempts;
        const worker::server& info = task.server->info;
        orders.push_back({info.id,
                          info.born,
                          info.endpoint,
                          {ref.job->record.id, ref.position()},
                          task.run,
                          task.stop_attempts,
                          std::chrono::duration_cast<milliseconds>(now - task.stop_due)});
    }
    stops_ = std::move(open);
    for (auto entry = unexpected_runs_.begin(); entry != unexpected_runs_.end();)
    {
        const server_state* server = find_server(entry->first.first);
        if (server == nullptr)
        {
            entry = unexpected_runs_.erase(entry);
            continue;
        }
        if (now - entry->second.stop_sent >= settings_.stop_retry_interval)
        {
            entry->second.stop_sent = now;
            ++entry->second.stop_attempts;
            orders.push_back(
                {server->info.id, server->info.born, server->info.endpoint, entry->first.second,
                 entry->second.run, entry->second.stop_attempts,
                 std::chrono::duration_cast<milliseconds>(now - entry->second.noticed)});
        }
        ++entry;
    }
    return orders;
}

std::vector<advice_request> scheduler::take_advice_requests()
{
    return std::exchange(advice_requests_, {});
}

void scheduler::advice_answered(const advice_request& request, bool answered,
                                const std::vector<std::pair<std::string, std::string>>& tickets,
                                milliseconds validity, steady_time now)
{
    task_ref ref;
    if (!find_task(request.task, ref))
    {
        return;
    }
    step_state& step = ref.parent_step();
    step.asking_advice = false;
    plan_needed_ = true;
    if (!answered)
    {
        return;
    }
    step.advised.insert(request.servers.begin(), request.servers.end());
    for (const std::pair<std::string, std::string>& entry : tickets)
    {
        const server_state* server = find_server(entry.first);
        if (server != nullptr)
        {
            step.tickets[entry.first] = {server->info.born, entry.second, now + validity};
        }
    }
}

} // namespace lacewingquay::scheduler
