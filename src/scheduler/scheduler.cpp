#include "scheduler/scheduler.hpp"

#include "core/log.hpp"
#include "scheduler/admission.hpp"

#include <algorithm>
#include <utility>

namespace lacewingquay::scheduler
{

namespace
{

/// Capacity that a task of the step reserves on its server.
job::resources booked_by(const job::step& step)
{
    job::resources booked = step.request;
    if (step.best_effort)
    {
        booked.cpu = 0;
    }
    return booked;
}

} // namespace

scheduler::scheduler(settings values) : settings_(values) {}

void scheduler::configure(const manager::configuration& values)
{
    queues_.clear();
    for (const job::queue& queue : values.queues)
    {
        queues_[queue.name] = queue;
    }
    for (const auto& entry : jobs_)
    {
        apply_queue(*entry.second);
    }
    plan_needed_ = true;
}

void scheduler::apply_queue(job_state& job)
{
    const auto found = queues_.find(job.record.queue.name);
    job.queue = found == queues_.end() ? job.record.queue : found->second;
    job.allowed = allowed_time(job.record.work, job.queue);
}

bool scheduler::knows_job(std::string_view id) const
{
    const std::string key(id);
    return jobs_.contains(key) || finished_ids_.contains(key);
}

void scheduler::add_job(job::record record, const job::progress* stored, milliseconds age,
                        steady_time now)
{
    if (knows_job(record.id))
    {
        return;
    }
    now_ = now;
    if (stored != nullptr && job::is_final(stored->reported_state))
    {
        const bool has_runs =
            std::any_of(stored->tasks.begin(), stored->tasks.end(),
                        [](const job::task_progress& task) { return !task.server.empty(); });
        if (!has_runs)
        {
            add_ended(record.id, stored->ended);
            ended_.push_back(std::move(record.id));
            return;
        }
    }
    std::unique_ptr<job_state> owned = std::make_unique<job_state>();
    job_state& job = *owned;
    job.record = std::move(record);
    job.is_long_running = std::any_of(job.record.work.steps.begin(), job.record.work.steps.end(),
                                      [](const job::step& step) { return step.long_running; });
    for (const job::step& step : job.record.work.steps)
    {
        job.tasks_per_occurrence += step.count;
    }
    apply_queue(job);
    jobs_.emplace(job.record.id, std::move(owned));
    if (job.record.work.times.occurrences == 0)
    {
        add_occurrence(job, 0, now - age, now);
        job.next_occurrence = 1;
    }
    if (stored != nullptr)
    {
        restore(job, *stored, now);
        restore_suspicions(job, now);
        end_restored_runs(*stored, now);
    }
    plan_needed_ = true;
}

void scheduler::add_ended(std::string_view id, milliseconds ended)
{
    const std::string key(id);
    if (finished_ids_.emplace(key, ended).second)
    {
        finished_.emplace(ended, key);
    }
}

void scheduler::add_occurrence(job_state& job, int number, steady_time due, steady_time now)
{
    occurrence_state occurrence;
    occurrence.number = number;
    occurrence.due = due;
    for (const job::step& step : job.record.work.steps)
    {
        step_state state;
        state.tasks.resize(static_cast<std::size_t>(step.count));
        for (task_state& task : state.tasks)
        {
            task.last_at_work = now;
        }
        state.waiting = step.count;
        occurrence.steps.push_back(std::move(state));
    }
    job.occurrences.push_back(std::move(occurrence));
    open_steps(job, job.occurrences.size() - 1);
    plan_needed_ = true;
}

void scheduler::open_steps(job_state& job, std::size_t occurrence)
{
    occurrence_state& state = job.occurrences[occurrence];
    for (std::size_t index = 0; index < state.steps.size(); ++index)
    {
        const std::vector<std::size_t>& after = job.record.work.steps[index].after;
        state.steps[index].open = std::all_of(
            after.begin(), after.end(),
            [&](std::size_t earlier)
            { return state.steps[earlier].done == job.record.work.steps[earlier].count; });
    }
    plan_needed_ = true;
}

void scheduler::restore(job_state& job, const job::progress& stored, steady_time now)
{
    job.reported_state = stored.reported_state;
    job.ended = stored.ended;
    job.begun = stored.begun;
    for (const job::task_progress& saved : stored.tasks)
    {
        while (job.next_occurrence <= saved.position.occurrence &&
               job.next_occurrence < job.record.work.times.occurrences)
        {
            add_occurrence(job, job.next_occurrence++, now, now);
        }
        task_ref ref;
        if (!find_task({job.record.id, saved.position}, ref))
        {
            log_event(log_level::warning, "progress_unusable",
                      {{"job", job.record.id},
                       {"reason", "progress of a task that the job does not have"}});
            continue;
        }
        task_state& task = ref.task();
        task.run = saved.run;
        task.failures = saved.failures;
        task.failed_run = saved.failed_run;
        task.checkpoint = saved.checkpoint;
        task.crashes = restored_crashes(saved);
        if (saved.done)
        {
            finish_task(ref);
            continue;
        }
        if (saved.server.empty())
        {
            continue;
        }
        server_state& server = server_entry(saved.server, saved.server_born);
        if (server.info.machine.empty())
        {
            server.info.machine = saved.machine;
        }
        const steady_time lease_end = now + settings_.takeover_slack + lease_bound(settings_.lease);
        server.lease_end = std::max(server.lease_end, lease_end);
        // If the server has restarted, the run ended with the earlier incarnation. But the former
        // owner's start order may still reach the new one until that has answered this owner.
        --ref.parent_step().waiting;
        attach(ref, server);
        task.phase = task_phase::unresolved;
        // How long the run has worked is not known. It is held responsible for crashes only if
        // earlier ones count, as these are forgotten once it has worked for long enough.
        task.started =
            has_crashes(counted_task(ref).task().crashes) ? now : now - settings_.crash_window;
        task.resolve_after = now;
        if (job::is_final(job.reported_state))
        {
            request_stop(ref);
        }
    }
    job.dirty_rows.clear();
    std::erase(dirty_, &job);
    restore_rows(job, stored);
    for (std::size_t index = 0; index < job.occurrences.size(); ++index)
    {
        open_steps(job, index);
    }
}

void scheduler::restore_rows(job_state& job, const job::progress& stored)
{
    job.begun_written = stored.begun;
    job.further_rows.insert(stored.further_rows.begin(), stored.further_rows.end());
    for (const job::task_progress& saved : stored.tasks)
    {
        task_ref ref;
        if (find_task({job.record.id, saved.position}, ref) && row_of(ref) > 0 &&
            !job.further_rows.contains(row_of(ref)))
        {
            // An earlier version stored all tasks in the first row.
            mark_dirty(ref);
        }
    }
}

void scheduler::end_restored_runs(const job::progress& stored, steady_time now)
{
    for (const job::task_progress& saved : stored.tasks)
    {
        const server_state* server = find_server(saved.server);
        if (server != nullptr && (server->incarnation_ended ||
                                  (!server->registered && has_later_incarnation(server->info))))
        {
            end_incarnation(saved.server, server->info.born, now);
        }
    }
}

bool scheduler::find_task(const worker::task_name& name, task_ref& ref)
{
    const auto found = jobs_.find(name.job);
    if (found == jobs_.end())
    {
        return false;
    }
    job_state& job = *found->second;
    for (std::size_t index = 0; index < job.occurrences.size(); ++index)
    {
        if (job.occurrences[index].number != name.position.occurrence)
        {
            continue;
        }
        const std::size_t step = static_cast<std::size_t>(name.position.step);
        const std::size_t task = static_cast<std::size_t>(name.position.index);
        if (step >= job.occurrences[index].steps.size() ||
            task >= job.occurrences[index].steps[step].tasks.size())
        {
            return false;
        }
        ref = {&job, index, step, task};
        return true;
    }
    return false;
}

void scheduler::mark_dirty(job_state& job, std::int64_t row)
{
    if (job.dirty_rows.empty())
    {
        dirty_.push_back(&job);
    }
    job.dirty_rows.insert(row);
}

std::int64_t scheduler::row_of(const task_ref& ref) const
{
    std::int64_t number =
        ref.job->occurrences[ref.occurrence].number * ref.job->tasks_per_occurrence +
        static_cast<std::int64_t>(ref.index);
    for (std::size_t step = 0; step < ref.step; ++step)
    {
        number += ref.job->record.work.steps[step].count;
    }
    return number / settings_.tasks_per_row;
}

void scheduler::attach(const task_ref& ref, server_state& server)
{
    task_state& task = ref.task();
    const job::step& step = ref.definition();
    task.server = &server;
    task.at_full_speed = false;
    task.percent = 0;
    server.best_effort += step.best_effort ? 1 : 0;
    server.used += booked_by(step);
    server.tasks.push_back(ref);
    server.long_running_tasks += step.long_running ? 1 : 0;
    ++ref.job->runs;
}

void scheduler::detach(const task_ref& ref)
{
    task_state& task = ref.task();
    if (task.server == nullptr)
    {
        return;
    }
    server_state& server = *task.server;
    const job::step& step = ref.definition();
    server.best_effort -= step.best_effort ? 1 : 0;
    server.used -= booked_by(step);
    server.long_running_tasks -= step.long_running ? 1 : 0;
    const auto found = std::find(server.tasks.begin(), server.tasks.end(), ref);
    if (found != server.tasks.end())
    {
        *found = server.tasks.back();
        server.tasks.pop_back();
    }
    if (server.tasks.empty())
    {
        server.idle_since = now_;
    }
    task.server = nullptr;
    task.at_full_speed = false;
    task.stop_wanted = false;
    --ref.job->runs;
    if (ref.job->runs == 0 && ref.job->reported_state == job::state::cancelled)
    {
        log_event(
            log_level::info, "job_stopped",
            {{"job", ref.job->record.id}, {"after_ms", (store_time_ - ref.job->ended).count()}});
    }
    plan_needed_ = true;
}

void scheduler::requeue(const task_ref& ref)
{
    detach(ref);
    task_state& task = ref.task();
    if (task.phase == task_phase::assigned)
    {
        std::erase(assigned_, ref);
    }
    else
    {
        counted_task(ref).task().isolated_since = now_;
    }
    task.phase = task_phase::waiting;
    ++ref.parent_step().waiting;
    mark_dirty(ref);
    plan_needed_ = true;
}

void scheduler::finish_task(const task_ref& ref)
{
    task_state& task = ref.task();
    if (task.phase == task_phase::done)
    {
        return;
    }
    step_state& step = ref.parent_step();
    if (task.phase == task_phase::waiting)
    {
        --step.waiting;
    }
    detach(ref);
    task.phase = task_phase::done;
    task.checkpoint.clear();
    ++step.done;
    mark_dirty(ref);
    if (step.done < ref.definition().count)
    {
        return;
    }
    occurrence_state& occurrence = ref.job->occurrences[ref.occurrence];
    ++occurrence.steps_done;
    if (occurrence.steps_done < static_cast<int>(occurrence.steps.size()))
    {
        open_steps(*ref.job, ref.occurrence);
        return;
    }
    ++ref.job->occurrences_done;
    if (ref.job->occurrences_done >= std::max(1, ref.job->record.work.times.occurrences) &&
        !job::is_final(ref.job->reported_state))
    {
        finish_job(*ref.job, job::state::completed);
    }
}

void scheduler::request_stop(const task_ref& ref, bool revocable)
{
    task_state& task = ref.task();
    if (!task.stop_wanted)
    {
        task.stop_wanted = true;
        task.stop_revocable = revocable;
        task.stop_due = now_;
        task.stop_sent = {};
        task.stop_attempts = 0;
    }
    task.stop_revocable = task.stop_revocable && revocable;
    if (!task.stop_listed)
    {
        task.stop_listed = true;
        stops_.push_back(ref);
    }
}

void scheduler::finish_job(job_state& job, job::state reported_state,
                           std::optional<milliseconds> cancel_age)
{
    job.reported_state = reported_state;
    job.ended = store_time_;
    mark_dirty(job);
    // The tasks without runs need not be stored any more.
    for (const std::int64_t row : job.further_rows)
    {
        mark_dirty(job, row);
    }
    boost::json::object fields{{"job", job.record.id},
                               {"queue", job.record.queue.name},
                               {"state", job::state_name(reported_state)},
                               {"runs", job.runs}};
    if (cancel_age)
    {
        fields["cancel_age_ms"] = cancel_age->count();
    }
    log_event(log_level::info, "job_ended", std::move(fields));
    for (std::size_t occurrence = 0; occurrence < job.occurrences.size(); ++occurrence)
    {
        std::vector<step_state>& steps = job.occurrences[occurrence].steps;
        for (std::size_t step = 0; step < steps.size(); ++step)
        {
            for (std::size_t index = 0; index < steps[step].tasks.size(); ++index)
            {
                const task_ref ref{&job, occurrence, step, index};
                task_state& task = ref.task();
                if (task.phase == task_phase::assigned)
                {
                    requeue(ref);
                }
                else if (has_run(task))
                {
                    request_stop(ref);
                }
            }
        }
    }
}

bool scheduler::cancel_job(std::string_view id, milliseconds store_time,
                           std::optional<milliseconds> age)
{
    store_time_ = std::max(store_time_, store_time);
    const auto found = jobs_.find(std::string(id));
    if (found == jobs_.end())
    {
        add_ended(id, store_time - age.value_or(milliseconds(0)));
        return false;
    }
    if (job::is_final(found->second->reported_state))
    {
        return false;
    }
    finish_job(*found->second, job::state::cancelled, age);
    return true;
}

void scheduler::apply_end(server_state& server, const worker::ended_task& ended, steady_time now)
{
    task_ref ref;
    if (!find_task(ended.task, ref))
    {
        return;
    }
    ref.job->begun = true;
    std::vector<const server_state*>& unstored = ref.job->unstored_ends;
    if (std::find(unstored.begin(), unstored.end(), &server) == unstored.end())
    {
        unstored.push_back(&server);
    }
    task_state& task = ref.task();
    const job::step& step = ref.definition();
    const bool current = task.server == &server && task.run == ended.run && has_run(task);
    if (ended.kind == worker::end_kind::done && !step.long_running)
    {
        record_run_result(server, false, now);
        if (step.gang && ended.run >= task.run)
        {
            end_gang_run(ref, ended.kind);
        }
        else if (step.gang)
        {
            for (std::size_t index = 0; index < ref.parent_step().tasks.size(); ++index)
            {
                finish_superseded({ref.job, ref.occurrence, ref.step, index});
            }
        }
        else if (!current)
        {
            finish_superseded(ref);
        }
        else
        {
            finish_task(ref);
        }
        return;
    }
    if (ended.kind == worker::end_kind::failed && ended.run > task.failed_run &&
        ended.run <= task.run)
    {
        task.failed_run = ended.run;
        record_run_result(server, true, now);
        mark_dirty(ref);
        if (!step.long_running)
        {
            task_state& counted = step.gang ? ref.parent_step().tasks.front() : task;
            ++counted.failures;
            mark_dirty(counted_task(ref));
            if (counted.failures >= ref.job->queue.max_attempts &&
                !job::is_final(ref.job->reported_state))
            {
                finish_job(*ref.job, job::state::failed);
            }
        }
    }
    if (!current)
    {
        return;
    }
    if (!ended.checkpoint.empty())
    {
        task.checkpoint = ended.checkpoint;
    }
    if (step.gang)
    {
        end_gang_run(ref, ended.kind);
        return;
    }
    requeue(ref);
}

void scheduler::finish_superseded(const task_ref& ref)
{
    const task_state& task = ref.task();
    server_state* server = has_run(task) ? task.server : nullptr;
    finish_task(ref);
    if (server != nullptr)
    {
        stop_unexpected(*server, {ref.job->record.id, ref.position()}, task.run);
    }
}

void scheduler::stop_unexpected(server_state& server, const worker::task_name& name, int run)
{
    const auto found = unexpected_runs_.try_emplace({server.info.id, name});
    server.unexpected_runs += found.second ? 1 : 0;
    unexpected_run& entry = found.first->second;
    if (run > entry.run)
    {
        entry.run = run;
        entry.noticed = now_;
        entry.stop_sent = {};
        entry.stop_attempts = 0;
        log_event(log_level::info, "run_unexpected",
                  {{"job", name.job},
                   {"step", name.position.step},
                   {"index", name.position.index},
                   {"run", run},
                   {"server", server.info.id}});
    }
    task_ref ref;
    if (find_task(name, ref) && ref.task().server != &server && entry.booked == job::resources{})
    {
        entry.booked = booked_by(ref.definition());
        server.used += entry.booked;
    }
}

void scheduler::end_gang_run(const task_ref& ref, worker::end_kind kind)
{
    step_state& step = ref.parent_step();
    const int run = ref.task().run;
    if (kind == worker::end_kind::done)
    {
        for (std::size_t index = 0; index < step.tasks.size(); ++index)
        {
            finish_task({ref.job, ref.occurrence, ref.step, index});
        }
        return;
    }
    const std::string checkpoint = ref.task().checkpoint;
    requeue(ref);
    for (std::size_t index = 0; index < step.tasks.size(); ++index)
    {
        const task_ref other{ref.job, ref.occurrence, ref.step, index};
        task_state& task = other.task();
        task.run = std::max(task.run, run);
        task.checkpoint = checkpoint;
        mark_dirty(other);
        if (task.phase == task_phase::assigned)
        {
            requeue(other);
        }
        else if (has_run(task))
        {
            request_stop(other);
        }
    }
}

} // namespace lacewingquay::scheduler
