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
                                  task.phase == task_phase::running && !task.at_work;
                       });
}

bool scheduler::is_answering(const server_state& server) const
{
    return server.registered && !server.ending && server.unanswered == 0 &&
           now_ - server.answered <= settings_.silence_limit;
}

bool scheduler::is_working(const task_state& task) const
{
    // A server that does not answer may have crashed, with all that ran there.
    return task.phase == task_phase::running && task.at_work && !task.stop_wanted &&
           is_answering(*task.server);
}

int scheduler::away(const task_ref& ref) const
{
    int count = 0;
    for (const task_state& task : ref.steps().tasks)
    {
        count += is_working(task) ? 0 : 1;
    }
    return count;
}

bool scheduler::can_interrupt(const server_state& server) const
{
    std::map<std::pair<const job_state*, std::size_t>, int> ending;
    for (const task_ref& ref : server.tasks)
    {
        if (!ref.definition().long_running || job::is_final(ref.job->shown))
        {
            continue;
        }
        int& more = ending[{ref.job, ref.step}];
        more += is_working(ref.task()) ? 1 : 0;
        if (away(ref) + more > ref.definition().disruption_budget)
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
        task_state& task = ref.task();
        if (!ref.definition().long_running || task.stop_wanted ||
            task.phase != task_phase::running || job::is_final(ref.job->shown))
        {
            continue;
        }
        // A task that seems to start up may be at work by now, so it needs the budget too. On a
        // server that drains, a run that is stopped early loses less than one that ends with it.
        const int away_then = away(ref) + (is_working(task) ? 1 : 0);
        const bool within_budget = away_then <= ref.definition().disruption_budget;
        if (within_budget || server.info.draining)
        {
            log_event(log_level::info, "task_evacuated",
                      {{"job", ref.job->record.id},
                       {"index", ref.index},
                       {"run", task.run},
                       {"server", server.info.id},
                       {"away", away_then},
                       {"budget", ref.definition().disruption_budget},
                       {"draining", server.info.draining}});
            task.stop_wanted = true;
            task.stop_sent = {};
            stops_.push_back(ref);
        }
    }
}

} // namespace lacewingquay::scheduler
