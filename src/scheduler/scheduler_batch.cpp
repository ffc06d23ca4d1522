#include "core/log.hpp"
#include "scheduler/scheduler.hpp"

#include <algorithm>
#include <set>
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

std::vector<job::task_progress> scheduler::snapshot(const job_state& job, std::int64_t row) const
{
    std::vector<job::task_progress> result;
    const bool ended = job::is_final(job.reported_state);
    const std::int64_t first = row * settings_.tasks_per_row;
    const std::int64_t last = first + settings_.tasks_per_row;
    for (const occurrence_state& occurrence : job.occurrences)
    {
        std::int64_t number = occurrence.number * job.tasks_per_occurrence;
        if (number >= last || number + job.tasks_per_occurrence <= first)
        {
            continue;
        }
        for (std::size_t step = 0; step < occurrence.steps.size(); ++step)
        {
            const std::vector<task_state>& tasks = occurrence.steps[step].tasks;
            const std::int64_t count = static_cast<std::int64_t>(tasks.size());
            const std::int64_t begin = std::clamp<std::int64_t>(first - number, 0, count);
            const std::int64_t end = std::clamp<std::int64_t>(last - number, 0, count);
            for (std::int64_t index = begin; index < end; ++index)
            {
                const task_state& task = tasks[static_cast<std::size_t>(index)];
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
                result.push_back(std::move(saved));
            }
            number += count;
        }
    }
    return result;
}

std::string scheduler::row_text(job_state& job, std::int64_t row) const
{
    // Room for the line of the job and for line ends.
    constexpr std::size_t reserved = 128;
    const std::size_t rows = static_cast<std::size_t>(settings_.tasks_per_row);
    const std::size_t line_limit = (settings_.max_row_bytes - reserved) / rows;
    std::vector<job::task_progress> tasks = snapshot(job, row);
    for (job::task_progress& task : tasks)
    {
        if (!job::fit_line(task, line_limit))
        {
            log_event(log_level::warning, "progress_shortened",
                      {{"job", job.record.id},
                       {"step", task.position.step},
                       {"index", task.position.index},
                       {"max_bytes", line_limit}});
        }
    }
    if (row > 0)
    {
        return job::serialize_tasks(tasks);
    }
    job.begun_written = job.begun;
    return job::serialize_progress({job.reported_state, job.ended, job.begun, std::move(tasks)});
}

bool scheduler::add_rows(job_state& job, std::size_t max_rows, std::size_t& bytes, batch& result)
{
    const bool ended = job::is_final(job.reported_state);
    if (!job.begun_written && job.begun)
    {
        job.dirty_rows.insert(0);
    }
    while (!job.dirty_rows.empty())
    {
        if (result.writes.size() >= max_rows)
        {
            return false;
        }
        // A job is stored as ended before its runs are forgotten. Before that, the first row comes
        // last, as an earlier version stored all tasks in it.
        const std::int64_t row = ended ? *job.dirty_rows.begin() : *job.dirty_rows.rbegin();
        std::string text = row_text(job, row);
        if (!result.writes.empty() && bytes + text.size() > settings_.max_batch_bytes)
        {
            return false;
        }
        bytes += text.size();
        job.dirty_rows.erase(row);
        const bool is_needless = text.empty() && !job.further_rows.contains(row);
        if (row > 0 && !text.empty())
        {
            job.further_rows.insert(row);
        }
        if (!is_needless)
        {
            result.writes.push_back(
                {job.record.id, std::move(text), job.reported_state, false, milliseconds(0), row});
        }
    }
    return true;
}

bool scheduler::is_unstored(const task_ref& ref) const
{
    const std::set<std::int64_t>& dirty = ref.job->dirty_rows;
    if (!ref.definition().gang)
    {
        return dirty.contains(row_of(ref));
    }
    task_ref first = ref;
    first.index = 0;
    task_ref last = ref;
    last.index = ref.parent_step().tasks.size() - 1;
    const auto found = dirty.lower_bound(row_of(first));
    return found != dirty.end() && *found <= row_of(last);
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
    std::vector<job_state*> remaining;
    std::size_t bytes = 0;
    bool is_full = false;
    for (job_state* job : dirty_)
    {
        if (is_full || is_held_back(*job))
        {
            remaining.push_back(job);
            continue;
        }
        if (starting.contains(job) && job->reported_state == job::state::queued)
        {
            job->reported_state = job::state::running;
            job->dirty_rows.insert(0);
        }
        is_full = !add_rows(*job, max_rows, bytes, result);
        if (is_full)
        {
            remaining.push_back(job);
        }
    }
    dirty_ = std::move(remaining);
    std::vector<task_ref> deferred;
    for (const task_ref& ref : assigned_)
    {
        const task_state& task = ref.task();
        if (task.phase != task_phase::assigned)
        {
            continue;
        }
        if (is_unstored(ref))
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
    add_acknowledgements(result);
    return result;
}

void scheduler::add_acknowledgements(batch& result) const
{
    // Only jobs that are held back may be left: the ends of their runs are not stored.
    std::set<const server_state*> unstored;
    for (const job_state* job : dirty_)
    {
        if (!is_held_back(*job))
        {
            return;
        }
        unstored.insert(job->unstored_ends.begin(), job->unstored_ends.end());
    }
    for (const auto& entry : servers_)
    {
        const server_state& server = *entry.second;
        if (server.ends_read > server.ends_stored && !unstored.contains(&server))
        {
            result.acknowledgements.emplace_back(entry.first, server.ends_read);
        }
    }
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
        job_state& job = *found->second;
        if (write.row > 0 && write.text.empty())
        {
            job.further_rows.erase(write.row);
        }
        if (job.dirty_rows.empty())
        {
            job.unstored_ends.clear();
        }
        if (job::is_final(job.reported_state) && job.runs == 0 && job.dirty_rows.empty() &&
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
            mark_dirty(*found->second, write.row);
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

void scheduler::rejected(const batch& work, steady_time now)
{
    not_stored(work);
    if (work.writes.size() != 1)
    {
        return;
    }
    const auto found = jobs_.find(work.writes.front().job);
    if (found == jobs_.end())
    {
        return;
    }
    job_state& job = *found->second;
    job.held_until = now + settings_.rejection_pause;
    log_event(log_level::error, "progress_rejected",
              {{"job", job.record.id},
               {"row", work.writes.front().row},
               {"bytes", work.writes.front().text.size()}});
    // Others may use the capacity meanwhile.
    const std::vector<task_ref> assigned = assigned_;
    for (const task_ref& ref : assigned)
    {
        if (ref.job == &job)
        {
            requeue(ref);
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
