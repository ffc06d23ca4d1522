#include "core/log.hpp"
#include "scheduler/crash_blame.hpp"
#include "scheduler/scheduler.hpp"

#include <algorithm>
#include <utility>

namespace lacewingquay::scheduler
{

namespace
{

/// True if `started` is a later incarnation of the server of a suspected crash.
bool is_followed_by(const job::suspected_crash& crash, const worker::server& started)
{
    return crash.born < started.born &&
           (crash.server == started.id ||
            (!crash.machine.empty() && crash.machine == started.machine));
}

} // namespace

task_ref scheduler::counted_task(const task_ref& ref)
{
    return ref.definition().gang ? task_ref{ref.job, ref.occurrence, ref.step, 0} : ref;
}

void scheduler::call_unanswered(std::string_view id, std::int64_t born,
                                worker::call_failure failure, steady_time now)
{
    server_state* server = find_server(id);
    if (server == nullptr || server->info.born != born)
    {
        return;
    }
    ++server->unanswered;
    if (failure == worker::call_failure::disconnected && !server->disconnected)
    {
        server->disconnected = true;
        server->disconnected_at = now;
        suspect_runs(*server, now);
    }
}

void scheduler::record_answer(server_state& server, steady_time now)
{
    server.last_answer = now;
    clear_suspects(server);
    server.disconnected = false;
    server.unanswered = 0;
}

void scheduler::suspect_runs(const server_state& server, steady_time now)
{
    if (server.info.draining || server.ending)
    {
        return;
    }
    std::erase_if(exposed_runs_,
                  [&](const exposed_run& entry) { return !jobs_.contains(entry.task.job); });
    for (const task_ref& ref : server.tasks)
    {
        const task_state& task = ref.task();
        // An order whose answer is overdue may never have arrived.
        const bool is_doubtful = task.phase != task_phase::running && task.stop_wanted;
        if (!has_run(task) || is_doubtful || job::is_final(ref.job->reported_state))
        {
            continue;
        }
        const bool alone = std::all_of(server.tasks.begin(), server.tasks.end(),
                                       [&](const task_ref& other)
                                       { return other.job == ref.job || !has_run(other.task()); });
        const milliseconds age = std::chrono::duration_cast<milliseconds>(now - task.started);
        const task_ref counted = counted_task(ref);
        job::crash_history& history = counted.task().crashes;
        if (suspect_crash(
                history,
                {task.run, false, alone, server.info.machine, server.info.id, server.info.born},
                age, settings_))
        {
            exposed_runs_.push_back(
                {{ref.job->record.id, counted.position()}, history.suspicions.back(), now});
            mark_dirty(counted);
        }
    }
}

void scheduler::clear_suspects(const server_state& server)
{
    std::erase_if(
        exposed_runs_,
        [&](const exposed_run& entry)
        {
            if (entry.crash.server != server.info.id || entry.crash.born != server.info.born)
            {
                return false;
            }
            task_ref ref;
            if (find_task(entry.task, ref) && clear_suspicion(ref.task().crashes, entry.crash))
            {
                mark_dirty(ref);
            }
            return true;
        });
}

void scheduler::check_registration(server_state& server, const worker::server& info)
{
    if (!server.disconnected || info.born != server.info.born)
    {
        return;
    }
    const milliseconds disconnected_at =
        std::chrono::duration_cast<milliseconds>(server.disconnected_at.time_since_epoch()) +
        server.clock_offset;
    if (info.clock > disconnected_at + settings_.clock_margin)
    {
        clear_suspects(server);
        server.disconnected = false;
    }
}

void scheduler::clear_proved(const task_ref& ref, steady_time now)
{
    job::crash_history& history = counted_task(ref).task().crashes;
    const bool may_be_proved =
        is_suspected(history, ref.task().run) && pending_proofs(ref, now) > 0;
    if (has_crashes(history) && now - ref.task().started >= settings_.crash_window &&
        !may_be_proved)
    {
        forget_crashes(history);
        mark_dirty(counted_task(ref));
    }
}

int scheduler::pending_proofs(const task_ref& ref, steady_time now) const
{
    const task_ref counted = counted_task(ref);
    if (counted.task().crashes.suspicions.empty())
    {
        return 0;
    }
    const worker::task_name name{counted.job->record.id, counted.position()};
    return static_cast<int>(std::count_if(
        exposed_runs_.begin(), exposed_runs_.end(),
        [&](const exposed_run& entry)
        { return entry.task == name && now - entry.noticed < settings_.crash_proof_wait; }));
}

bool scheduler::awaits_proof(const task_ref& ref, steady_time now) const
{
    const int pending = pending_proofs(ref, now);
    return pending > 0 &&
           counted_task(ref).task().crashes.crashes + pending >= settings_.crashes_to_give_up;
}

void scheduler::confirm_crashes(const worker::server& ended)
{
    const server_state* server = find_server(ended.id);
    if (server != nullptr && server->info.born == ended.born &&
        (server->ending || server->info.draining))
    {
        clear_suspects(*server);
        return;
    }
    blame_runs([&](const exposed_run& entry)
               { return entry.crash.server == ended.id && entry.crash.born == ended.born; });
}

void scheduler::confirm_crashes_before(const worker::server& started)
{
    blame_runs([&](const exposed_run& entry) { return is_followed_by(entry.crash, started); });
}

void scheduler::restore_suspicions(job_state& job, steady_time now)
{
    for (std::size_t occurrence = 0; occurrence < job.occurrences.size(); ++occurrence)
    {
        for (std::size_t step = 0; step < job.occurrences[occurrence].steps.size(); ++step)
        {
            for (std::size_t index = 0;
                 index < job.occurrences[occurrence].steps[step].tasks.size(); ++index)
            {
                const task_ref ref{&job, occurrence, step, index};
                for (const job::suspected_crash& crash : ref.task().crashes.suspicions)
                {
                    exposed_runs_.push_back({{job.record.id, ref.position()}, crash, now});
                }
            }
        }
    }
}

template <typename Predicate>
void scheduler::blame_runs(Predicate has_ended)
{
    std::vector<exposed_run> crashed;
    std::erase_if(exposed_runs_,
                  [&](const exposed_run& entry)
                  {
                      const bool ended = has_ended(entry);
                      if (ended)
                      {
                          crashed.push_back(entry);
                      }
                      return ended;
                  });
    for (const exposed_run& entry : crashed)
    {
        task_ref ref;
        if (!find_task(entry.task, ref) || ref.task().phase == task_phase::done ||
            job::is_final(ref.job->reported_state) ||
            !is_suspected(ref.task().crashes, entry.crash.run))
        {
            continue;
        }
        job::crash_history& history = ref.task().crashes;
        const crash_verdict verdict = confirm_crash(history, entry.crash, settings_);
        mark_dirty(ref);
        log_event(log_level::warning,
                  verdict == crash_verdict::give_up ? "task_given_up" : "task_crash_counted",
                  {{"job", entry.task.job},
                   {"step", entry.task.position.step},
                   {"index", entry.task.position.index},
                   {"run", entry.crash.run},
                   {"server", entry.crash.server},
                   {"machine", entry.crash.machine},
                   {"crashes", history.crashes},
                   {"at_start", entry.crash.at_start},
                   {"alone", entry.crash.alone}});
        if (verdict == crash_verdict::give_up)
        {
            finish_job(*ref.job, job::state::failed);
        }
    }
}

} // namespace lacewingquay::scheduler
