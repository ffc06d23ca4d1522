#include "core/log.hpp"
#include "scheduler/scheduler.hpp"

#include <algorithm>
#include <utility>

namespace lacewingquay::scheduler
{

namespace
{

/// Returns the ticket of the task's step for a server; empty if there is none.
std::string ticket_for(const task_ref& ref, const std::string& server)
{
    const auto found = ref.parent_step().tickets.find(server);
    return found == ref.parent_step().tickets.end() ? std::string() : found->second.text;
}

} // namespace

void scheduler::advance(steady_time now, wall_time wall, milliseconds store_time)
{
    now_ = now;
    store_time_ = std::max(store_time_, store_time);
    for (auto entry = servers_.begin(); entry != servers_.end();)
    {
        server_state& server = *entry->second;
        const bool has_runs = std::any_of(server.tasks.begin(), server.tasks.end(),
                                          [](const task_ref& ref) { return has_run(ref.task()); });
        if (has_runs && now > server.lease_end)
        {
            lose_runs(server, "the lease has expired", now);
        }
        // An ended incarnation is remembered as long as its registration may still be read.
        const steady_time keep_until = server.incarnation_ended
                                           ? server.lease_end + settings_.max_registration_lag
                                           : server.lease_end;
        const bool forget = !server.registered && server.tasks.empty() && now > keep_until;
        if (forget)
        {
            std::erase_if(unexpected_runs_,
                          [&](const auto& run) { return run.first.first == server.info.id; });
        }
        entry = forget ? servers_.erase(entry) : std::next(entry);
    }
    log_overdue_tasks(now);
    const std::int64_t wall_now = unix_milliseconds(wall);
    for (const auto& entry : jobs_)
    {
        job_state& job = *entry.second;
        const job::schedule& times = job.record.work.times;
        while (!job::is_final(job.reported_state) && job.next_occurrence < times.occurrences &&
               times.first_due + job.next_occurrence * times.interval.count() <= wall_now)
        {
            add_occurrence(job, job.next_occurrence, now, now);
            ++job.next_occurrence;
        }
    }
}

job::progress scheduler::snapshot(const job_state& job) const
{
    job::progress result;
    result.reported_state = job.reported_state;
    result.ended = job.ended;
    result.begun = job.begun;
    const bool ended = job::is_final(job.reported_state);
    for (const occurrence_state& occurrence : job.occurrences)
    {
        for (std::size_t step = 0; step < occurrence.steps.size(); ++step)
        {
            const std::vector<task_state>& tasks = occurrence.steps[step].tasks;
            for (std::size_t index = 0; index < tasks.size(); ++index)
            {
                const task_state& task = tasks[index];
                const bool skip = task.run == 0 || (ended && task.server == nullptr);
                if (skip && !(task.phase == task_phase::done && !ended))
                {
                    continue;
                }
                job::task_progress saved;
                saved.position = {occurrence.number, static_cast<int>(step),
                                  static_cast<int>(index)};
                saved.done = task.phase == task_phase::done;
                saved.run = task.run;
                saved.failures = task.failures;
                saved.failed_run = task.failed_run;
                saved.checkpoint = task.checkpoint;
                saved.crashes = task.crashes;
                if (task.server != nullptr)
                {
                    saved.server = task.server->info.id;
                    saved.server_born = task.server->info.born;
                    saved.machine = task.server->info.machine;
                }
                result.tasks.push_back(std::move(saved));
            }
        }
    }
    return result;
}

std::unordered_set<const job_state*> scheduler::sort_dirty()
{
    std::unordered_set<const job_state*> starting;
    for (const task_ref& ref : assigned_)
    {
        starting.insert(ref.job);
    }
    std::stable_partition(dirty_.begin(), dirty_.end(),
                          [&](const job_state* job)
                          { return starting.contains(job) || job::is_final(job->reported_state); });
    return starting;
}

batch scheduler::prepare(steady_time now, std::size_t max_rows, std::size_t max_starts)
{
    now_ = now;
    if (plan_needed_ || now >= next_plan_)
    {
        plan_needed_ = false;
        next_plan_ = now + milliseconds(250);
        plan(now, max_starts);
    }
    batch result;
    const std::unordered_set<const job_state*> starting = sort_dirty();
    const std::size_t count = std::min(max_rows, dirty_.size());
    for (std::size_t index = 0; index < count; ++index)
    {
        job_state& job = *dirty_[index];
        if (starting.contains(&job) && job.reported_state == job::state::queued)
        {
            job.reported_state = job::state::running;
        }
        result.writes.push_back(
            {job.record.id, job::serialize_progress(snapshot(job)), job.reported_state});
        job.dirty = false;
    }
    std::vector<task_ref> deferred;
    for (const task_ref& ref : assigned_)
    {
        const task_state& task = ref.task();
        if (task.phase != task_phase::assigned)
        {
            continue;
        }
        if (ref.job->dirty)
        {
            deferred.push_back(ref);
            continue;
        }
        const worker::server& info = task.server->info;
        result.starts.push_back({info.id,
                                 info.born,
                                 info.endpoint,
                                 {ref.job->record.id, ref.position()},
                                 task.run,
                                 ref.job->record.work.payload,
                                 task.checkpoint,
                                 ticket_for(ref, info.id)});
    }
    assigned_ = std::move(deferred);
    dirty_.erase(dirty_.begin(), dirty_.begin() + static_cast<std::ptrdiff_t>(count));
    if (dirty_.empty())
    {
        for (const auto& entry : servers_)
        {
            if (entry.second->ends_read > entry.second->ends_stored)
            {
                result.acknowledgements.emplace_back(entry.first, entry.second->ends_read);
            }
        }
    }
    return result;
}

void scheduler::log_starts(const batch& work, steady_time now)
{
    std::map<std::pair<std::string, int>, std::vector<const worker::start_order*>> groups;
    for (const worker::start_order& order : work.starts)
    {
        groups[{order.task.job, order.task.position.step}].push_back(&order);
    }
    for (const auto& entry : groups)
    {
        const worker::start_order& first = *entry.second.front();
        task_ref ref;
        if (!find_task(first.task, ref))
        {
            continue;
        }
        const steady_time due = ref.job->occurrences[ref.occurrence].due;
        log_event(log_level::info, "tasks_started",
                  {{"job", first.task.job},
                   {"step", first.task.position.step},
                   {"tasks", entry.second.size()},
                   {"run", first.run},
                   {"server", first.server},
                   {"age_ms", std::chrono::duration_cast<milliseconds>(now - due).count()},
                   {"allowed_ms", ref.job->allowed.count()}});
    }
}

void scheduler::stored(const batch& work, steady_time now)
{
    log_starts(work, now);
    for (const worker::start_order& order : work.starts)
    {
        task_ref ref;
        if (find_task(order.task, ref) && ref.task().phase == task_phase::assigned &&
            ref.task().run == order.run)
        {
            ref.task().phase = task_phase::starting;
            ref.task().since = now;
            ref.task().started = now;
        }
    }
    for (const std::pair<std::string, std::int64_t>& entry : work.acknowledgements)
    {
        server_state* server = find_server(entry.first);
        if (server != nullptr)
        {
            server->ends_stored =
                std::min(std::max(server->ends_stored, entry.second), server->ends_read);
        }
    }
    for (const progress_write& write : work.writes)
    {
        const auto found = jobs_.find(write.job);
        if (found == jobs_.end())
        {
            continue;
        }
        const job_state& job = *found->second;
        if (job::is_final(job.reported_state) && job.runs == 0 && !job.dirty &&
            job.reported_state == write.reported_state)
        {
            add_ended(job.record.id, job.ended);
            ended_.push_back(job.record.id);
            std::erase_if(stops_, [&](const task_ref& ref) { return ref.job == &job; });
            std::erase_if(assigned_, [&](const task_ref& ref) { return ref.job == &job; });
            jobs_.erase(found);
        }
    }
}

void scheduler::not_stored(const batch& work)
{
    for (const progress_write& write : work.writes)
    {
        const auto found = jobs_.find(write.job);
        if (found != jobs_.end())
        {
            mark_dirty(*found->second);
        }
    }
    for (const worker::start_order& order : work.starts)
    {
        task_ref ref;
        if (find_task(order.task, ref) && ref.task().phase == task_phase::assigned &&
            ref.task().run == order.run)
        {
            assigned_.push_back(ref);
        }
    }
}

std::vector<std::string> scheduler::take_ended()
{
    return std::exchange(ended_, {});
}

std::vector<std::string> scheduler::take_expired(milliseconds store_time, milliseconds retention)
{
    constexpr std::size_t max_at_once = 40;
    std::vector<std::string> expired;
    while (!finished_.empty() && expired.size() < max_at_once &&
           finished_.begin()->first + retention < store_time)
    {
        finished_ids_.erase(finished_.begin()->second);
        expired.push_back(std::move(finished_.begin()->second));
        finished_.erase(finished_.begin());
    }
    return expired;
}

} // namespace lacewingquay::scheduler
