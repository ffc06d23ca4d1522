#include "core/log.hpp"
#include "scheduler/scheduler.hpp"

#include <algorithm>
#include <utility>

namespace lacewingquay::scheduler
{

bool scheduler::has_task_starting_up(const server_state& server)
{
    return std::any_of(server.tasks.begin(), server.tasks.end(),
                       [](const task_ref& ref)
                       {
                           const task_state& task = ref.task();
                           return ref.definition().long_running &&
                                  task.phase == task_phase::running && !task.at_full_speed;
                       });
}

bool scheduler::has_task_stopping(const server_state& server)
{
    return std::any_of(server.tasks.begin(), server.tasks.end(),
                       [](const task_ref& ref) { return ref.task().stop_wanted; });
}

bool scheduler::is_answering(const server_state& server) const
{
    return server.registered && !server.ending && server.unanswered == 0 &&
           now_ - server.last_answer <= settings_.silence_timeout;
}

bool scheduler::is_available(const task_state& task) const
{
    // A server that does not answer may have crashed together with its runs.
    return task.phase == task_phase::running && task.at_full_speed && !task.stop_wanted &&
           is_answering(*task.server);
}

int scheduler::unavailable_tasks(const task_ref& ref) const
{
    int count = 0;
    for (const task_state& task : ref.parent_step().tasks)
    {
        count += is_available(task) ? 0 : 1;
    }
    return count;
}

bool scheduler::is_evacuation(const task_ref& ref)
{
    const task_state& task = ref.task();
    return ref.definition().long_running && !ref.definition().gang &&
           task.phase == task_phase::running && !task.server->info.draining &&
           !job::is_final(ref.job->reported_state);
}

bool scheduler::can_interrupt(const server_state& server) const
{
    std::map<std::pair<const job_state*, std::size_t>, int> ending;
    for (const task_ref& ref : server.tasks)
    {
        if (!ref.definition().long_running || job::is_final(ref.job->reported_state))
        {
            continue;
        }
        int& more = ending[{ref.job, ref.step}];
        more += is_available(ref.task()) ? 1 : 0;
        if (unavailable_tasks(ref) + more > ref.definition().disruption_budget)
        {
            return false;
        }
    }
    return true;
}

void scheduler::evacuate(server_state& server)
{
    for (const task_ref& ref : server.tasks)
    {
        const task_state& task = ref.task();
        if (!ref.definition().long_running || task.stop_wanted ||
            task.phase != task_phase::running || job::is_final(ref.job->reported_state))
        {
            continue;
        }
        // A task reported as starting up may be at full speed by now, so the budget applies to it
        // too. On a draining server, a run that is stopped early loses less work than one that ends
        // with the server.
        const int unavailable_after = unavailable_tasks(ref) + (is_available(task) ? 1 : 0);
        const bool within_budget = unavailable_after <= ref.definition().disruption_budget;
        if (within_budget || server.info.draining)
        {
            log_event(log_level::info, "task_evacuated",
                      {{"job", ref.job->record.id},
                       {"index", ref.index},
                       {"run", task.run},
                       {"server", server.info.id},
                       {"away", unavailable_after},
                       {"budget", ref.definition().disruption_budget},
                       {"draining", server.info.draining}});
            request_stop(ref);
        }
    }
}

} // namespace lacewingquay::scheduler
