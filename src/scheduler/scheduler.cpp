#include "scheduler/scheduler.hpp"

#include "core/log.hpp"

#include <algorithm>
#include <utility>

namespace lacewingquay::scheduler
{

namespace
{

/// Sum of the estimates along the longest chain of steps.
milliseconds longest_chain(const job::definition& work)
{
    std::vector<milliseconds> until(work.steps.size());
    milliseconds longest{0};
    for (std::size_t index = 0; index < work.steps.size(); ++index)
    {
        milliseconds before{0};
        for (const std::size_t earlier : work.steps[index].after)
        {
            before = std::max(before, until[earlier]);
        }
        until[index] = before + work.steps[index].estimate;
        longest = std::max(longest, until[index]);
    }
    return longest;
}

/// The ticket of the task's step for a server; empty if none is needed.
std::string ticket_for(const task_ref& ref, const std::string& server)
{
    const auto found = ref.steps().tickets.find(server);
    return found == ref.steps().tickets.end() ? std::string() : found->second.text;
}

bool has_run(const task_state& task)
{
    return task.phase == task_phase::starting || task.phase == task_phase::running ||
           task.phase == task_phase::unresolved;
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
    const double chain = static_cast<double>(longest_chain(job.record.work).count());
    job.allowed =
        milliseconds(static_cast<std::int64_t>(chain * job.queue.stretch)) + job.queue.objective;
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
    if (stored != nullptr && job::is_final(stored->shown))
    {
        const bool has_runs =
            std::any_of(stored->tasks.begin(), stored->tasks.end(),
                        [](const job::task_progress& task) { return !task.server.empty(); });
        if (!has_runs)
        {
            finished_ids_.emplace(record.id, stored->ended);
            finished_.emplace(stored->ended, record.id);
            return;
        }
    }
    std::unique_ptr<job_state> owned = std::make_unique<job_state>();
    job_state& job = *owned;
    job.record = std::move(record);
    job.is_long_running = std::any_of(job.record.work.steps.begin(), job.record.work.steps.end(),
                                      [](const job::step& step) { return step.long_running; });
    apply_queue(job);
    jobs_.emplace(job.record.id, std::move(owned));
    if (job.record.work.times.occurrences == 0)
    {
        add_occurrence(job, 0, now - age);
        job.next_occurrence = 1;
    }
    if (stored != nullptr)
    {
        restore(job, *stored, now);
    }
    plan_needed_ = true;
}

void scheduler::add_occurrence(job_state& job, int number, steady_time due)
{
    occurrence_state occurrence;
    occurrence.number = number;
    occurrence.due = due;
    for (const job::step& step : job.record.work.steps)
    {
        step_state state;
        state.tasks.resize(static_cast<std::size_t>(step.count));
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
    job.shown = stored.shown;
    job.ended = stored.ended;
    for (const job::task_progress& saved : stored.tasks)
    {
        while (job.next_occurrence <= saved.position.occurrence &&
               job.next_occurrence < job.record.work.times.occurrences)
        {
            add_occurrence(job, job.next_occurrence++, now);
        }
        task_ref ref;
        if (!find_task({job.record.id, saved.position}, ref))
        {
            log_event(log_level::warning, "progress_unusable",
                      {{"job", job.record.id}, {"reason", "a task that the job does not have"}});
            continue;
        }
        task_state& task = ref.task();
        task.run = saved.run;
        task.failures = saved.failures;
        task.failed_run = saved.failed_run;
        task.checkpoint = saved.checkpoint;
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
        const steady_time safe =
            now + settings_.takeover_slack + settings_.lease_slack +
            milliseconds(static_cast<std::int64_t>(static_cast<double>(settings_.lease.count()) *
                                                   (1.0 + settings_.clock_drift)));
        server.lease_end = std::max(server.lease_end, safe);
        if (server.info.born != saved.server_born)
        {
            // Another life of the server has registered, so the run ended with the former one.
            continue;
        }
        --ref.steps().waiting;
        attach(ref, server);
        task.phase = task_phase::unresolved;
        task.resolve_after = now;
        if (job::is_final(job.shown))
        {
            task.stop_wanted = true;
            stops_.push_back(ref);
        }
    }
    job.dirty = false;
    std::erase(dirty_, &job);
    for (std::size_t index = 0; index < job.occurrences.size(); ++index)
    {
        open_steps(job, index);
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

void scheduler::mark_dirty(job_state& job)
{
    if (!job.dirty)
    {
        job.dirty = true;
        dirty_.push_back(&job);
    }
}

void scheduler::attach(const task_ref& ref, server_state& server)
{
    task_state& task = ref.task();
    const job::step& step = ref.definition();
    task.server = &server;
    task.at_work = false;
    job::resources booked = step.request;
    if (step.best_effort)
    {
        booked.cpu = 0;
        ++server.best_effort;
    }
    server.used += booked;
    server.tasks.push_back(ref);
    server.lasting += step.long_running ? 1 : 0;
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
    job::resources booked = step.request;
    if (step.best_effort)
    {
        booked.cpu = 0;
        --server.best_effort;
    }
    server.used -= booked;
    server.lasting -= step.long_running ? 1 : 0;
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
    task.at_work = false;
    task.stop_wanted = false;
    --ref.job->runs;
    plan_needed_ = true;
}

void scheduler::requeue(const task_ref& ref, steady_time not_before)
{
    detach(ref);
    task_state& task = ref.task();
    if (task.phase == task_phase::assigned)
    {
        std::erase(assigned_, ref);
    }
    task.phase = task_phase::waiting;
    task.not_before = not_before;
    ++ref.steps().waiting;
    mark_dirty(*ref.job);
    plan_needed_ = true;
}

void scheduler::finish_task(const task_ref& ref)
{
    task_state& task = ref.task();
    if (task.phase == task_phase::done)
    {
        return;
    }
    step_state& step = ref.steps();
    if (task.phase == task_phase::waiting)
    {
        --step.waiting;
    }
    detach(ref);
    task.phase = task_phase::done;
    task.checkpoint.clear();
    ++step.done;
    mark_dirty(*ref.job);
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
        !job::is_final(ref.job->shown))
    {
        finish_job(*ref.job, job::state::completed);
    }
}

void scheduler::finish_job(job_state& job, job::state shown)
{
    job.shown = shown;
    job.ended = store_time_;
    mark_dirty(job);
    log_event(log_level::info, "job_ended",
              {{"job", job.record.id},
               {"queue", job.record.queue.name},
               {"state", job::state_name(shown)},
               {"runs", job.runs}});
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
                    requeue(ref, {});
                }
                else if (has_run(task))
                {
                    task.stop_wanted = true;
                    stops_.push_back(ref);
                }
            }
        }
    }
}

void scheduler::cancel_job(std::string_view id, milliseconds store_time)
{
    store_time_ = std::max(store_time_, store_time);
    const auto found = jobs_.find(std::string(id));
    if (found != jobs_.end() && !job::is_final(found->second->shown))
    {
        finish_job(*found->second, job::state::cancelled);
    }
}

void scheduler::apply_end(server_state& server, const worker::ended_task& ended, steady_time now)
{
    task_ref ref;
    if (!find_task(ended.task, ref))
    {
        return;
    }
    task_state& task = ref.task();
    const job::step& step = ref.definition();
    const bool current = task.server == &server && task.run == ended.run && has_run(task);
    if (ended.kind == worker::end_kind::done && !step.long_running)
    {
        judge_server(server, false, now);
        if (step.gang)
        {
            end_of_gang(ref, ended.kind, now);
            return;
        }
        if (!current && has_run(task))
        {
            foreign_[{task.server->info.id, ended.task}] = {task.run, steady_time{}};
        }
        finish_task(ref);
        return;
    }
    if (ended.kind == worker::end_kind::failed && ended.run > task.failed_run &&
        ended.run <= task.run)
    {
        task.failed_run = ended.run;
        judge_server(server, true, now);
        mark_dirty(*ref.job);
        if (!step.long_running)
        {
            task_state& counted = step.gang ? ref.steps().tasks.front() : task;
            ++counted.failures;
            if (counted.failures >= ref.job->queue.max_attempts && !job::is_final(ref.job->shown))
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
        end_of_gang(ref, ended.kind, now);
        return;
    }
    requeue(ref, {});
}

void scheduler::end_of_gang(const task_ref& ref, worker::end_kind kind, steady_time)
{
    step_state& step = ref.steps();
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
    requeue(ref, {});
    for (std::size_t index = 0; index < step.tasks.size(); ++index)
    {
        const task_ref other{ref.job, ref.occurrence, ref.step, index};
        task_state& task = other.task();
        task.run = std::max(task.run, run);
        task.checkpoint = checkpoint;
        if (task.phase == task_phase::assigned)
        {
            requeue(other, {});
        }
        else if (has_run(task) && !task.stop_wanted)
        {
            task.stop_wanted = true;
            stops_.push_back(other);
        }
    }
}

job::progress scheduler::snapshot(const job_state& job) const
{
    job::progress result;
    result.shown = job.shown;
    result.ended = job.ended;
    const bool ended = job::is_final(job.shown);
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
                if (task.server != nullptr)
                {
                    saved.server = task.server->info.id;
                    saved.server_born = task.server->info.born;
                }
                result.tasks.push_back(std::move(saved));
            }
        }
    }
    return result;
}

batch scheduler::prepare(steady_time now, std::size_t max_rows)
{
    now_ = now;
    if (plan_needed_ || now >= next_plan_)
    {
        plan_needed_ = false;
        next_plan_ = now + milliseconds(250);
        plan(now);
    }
    batch result;
    const std::size_t count = std::min(max_rows, dirty_.size());
    for (std::size_t index = 0; index < count; ++index)
    {
        job_state& job = *dirty_[index];
        const bool begins = std::any_of(assigned_.begin(), assigned_.end(),
                                        [&](const task_ref& ref) { return ref.job == &job; });
        if (begins && job.shown == job::state::queued)
        {
            job.shown = job::state::running;
        }
        result.writes.push_back({job.record.id, job::serialize_progress(snapshot(job)), job.shown});
        job.dirty = false;
    }
    std::vector<task_ref> later;
    for (const task_ref& ref : assigned_)
    {
        const task_state& task = ref.task();
        if (task.phase != task_phase::assigned)
        {
            continue;
        }
        if (ref.job->dirty)
        {
            later.push_back(ref);
            continue;
        }
        const worker::server& info = task.server->info;
        result.starts.push_back({info.id,
                                 info.born,
                                 info.where,
                                 {ref.job->record.id, ref.position()},
                                 task.run,
                                 ref.job->record.work.payload,
                                 task.checkpoint,
                                 ticket_for(ref, info.id)});
    }
    assigned_ = std::move(later);
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
        if (job::is_final(job.shown) && job.runs == 0 && !job.dirty && job.shown == write.shown)
        {
            finished_ids_.emplace(job.record.id, job.ended);
            finished_.emplace(job.ended, job.record.id);
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
            lose_runs(server, "the lease has ended", now);
        }
        // An ended life is remembered as long as its registration may still be read.
        const steady_time keep_until =
            server.gone ? server.lease_end + settings_.registration_lag : server.lease_end;
        const bool forget = !server.registered && server.tasks.empty() && now > keep_until;
        entry = forget ? servers_.erase(entry) : std::next(entry);
    }
    const std::int64_t wall_now = unix_milliseconds(wall);
    for (const auto& entry : jobs_)
    {
        job_state& job = *entry.second;
        const job::schedule& times = job.record.work.times;
        while (!job::is_final(job.shown) && job.next_occurrence < times.occurrences &&
               times.first_due + job.next_occurrence * times.interval.count() <= wall_now)
        {
            add_occurrence(job, job.next_occurrence, now);
            ++job.next_occurrence;
        }
    }
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
