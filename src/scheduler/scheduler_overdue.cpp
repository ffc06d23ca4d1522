#include "core/log.hpp"
#include "scheduler/scheduler.hpp"

#include <algorithm>
#include <map>
#include <string_view>

namespace lacewingquay::scheduler
{

namespace
{

/// Interval between checks for overdue tasks.
constexpr milliseconds overdue_check_interval{500};

std::string_view phase_name(task_phase phase)
{
    switch (phase)
    {
    case task_phase::waiting:
        return "waiting";
    case task_phase::assigned:
        return "assigned";
    case task_phase::starting:
        return "starting";
    case task_phase::running:
        return "running";
    case task_phase::unresolved:
        return "unresolved";
    case task_phase::done:
        return "done";
    }
    return "unknown";
}

std::int64_t milliseconds_between(steady_time from, steady_time to)
{
    return std::chrono::duration_cast<milliseconds>(to - from).count();
}

/// Name of the first condition for new runs that a registered server does not meet; empty if it
/// meets all.
std::string_view unmet_condition(const server_state& server)
{
    return server.closed          ? "closed"
           : server.info.draining ? "draining"
           : !server.clock_known  ? "clock_unknown"
           : server.unanswered    ? "unanswered"
                                  : "";
}

} // namespace

bool scheduler::accepts_runs(const server_state& server, steady_time now) const
{
    return server.registered && unmet_condition(server).empty() &&
           std::max(server.last_answer, server.last_registration) + settings_.silence_timeout >=
               now;
}

void scheduler::log_overdue_tasks(steady_time now)
{
    if (now < next_overdue_check_)
    {
        return;
    }
    next_overdue_check_ = now + overdue_check_interval;
    for (const auto& entry : jobs_)
    {
        job_state& job = *entry.second;
        if (!job.is_long_running || job::is_final(job.reported_state))
        {
            continue;
        }
        for (std::size_t occurrence = 0; occurrence < job.occurrences.size(); ++occurrence)
        {
            for (std::size_t step = 0; step < job.record.work.steps.size(); ++step)
            {
                const step_state& state = job.occurrences[occurrence].steps[step];
                const bool is_checked = state.open && job.record.work.steps[step].long_running;
                for (std::size_t index = 0; is_checked && index < state.tasks.size(); ++index)
                {
                    const task_ref ref{&job, occurrence, step, index};
                    task_state& task = ref.task();
                    if (task.phase != task_phase::done &&
                        now - task.last_at_work >= settings_.overdue_after &&
                        now - task.overdue_logged >= settings_.overdue_log_interval)
                    {
                        task.overdue_logged = now;
                        log_overdue_task(ref, now);
                    }
                }
            }
        }
    }
}

void scheduler::log_overdue_task(const task_ref& ref, steady_time now) const
{
    const task_state& task = ref.task();
    boost::json::object fields{{"job", ref.job->record.id},
                               {"step", ref.step},
                               {"index", ref.index},
                               {"pool", ref.job->queue.pool},
                               {"phase", phase_name(task.phase)},
                               {"run", task.run},
                               {"away_ms", milliseconds_between(task.last_at_work, now)}};
    if (task.server != nullptr)
    {
        const server_state& server = *task.server;
        fields["server"] = server.info.id;
        fields["registered"] = server.registered;
        fields["unanswered"] = server.unanswered;
        fields["stop_wanted"] = task.stop_wanted;
        fields["lease_left_ms"] = milliseconds_between(now, server.lease_end);
    }
    else
    {
        std::map<std::string_view, int> servers;
        for (const auto& entry : servers_)
        {
            const server_state& server = *entry.second;
            if (server.info.pool != ref.job->queue.pool)
            {
                continue;
            }
            const std::string_view unmet = unmet_condition(server);
            const job::resources free = server.info.capacity - server.used;
            ++servers[!server.registered                          ? "unregistered"
                      : !unmet.empty()                            ? unmet
                      : !accepts_runs(server, now)                ? "silent"
                      : !ref.definition().request.fits_into(free) ? "full"
                                                                  : "other"];
        }
        for (const std::pair<const std::string_view, int>& count : servers)
        {
            fields[count.first] = count.second;
        }
    }
    log_event(log_level::warning, "task_overdue", std::move(fields));
}

} // namespace lacewingquay::scheduler
