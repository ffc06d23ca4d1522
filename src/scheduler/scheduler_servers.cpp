#include "core/log.hpp"
#include "scheduler/scheduler.hpp"

#include <algorithm>
#include <set>
#include <utility>

namespace lacewingquay::scheduler
{

namespace
{

/// A list with this many ends may be cut, and the rest comes with the next call.
constexpr std::size_t full_list = 500;

} // namespace

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

void scheduler::update_server(const worker::server& info, steady_time now)
{
    server_state& server = server_entry(info.id, info.born);
    if (info.born < server.info.born || (server.gone && info.born == server.info.born))
    {
        return;
    }
    if (info.born > server.info.born)
    {
        server.gone = false;
        lose_runs(server, "the server has started again", now);
        server.ends_read = 0;
        server.ends_stored = 0;
        server.fenced = false;
        server.clock_known = false;
        server.closed = false;
        server.ending = false;
    }
    if (!server.registered && has_later_life(info))
    {
        server_gone(info.id, info.born, now);
        return;
    }
    if (!server.registered)
    {
        end_former_lives(info, now);
        server.joined = now;
        server.idle_since = now;
        server.answered = now;
        log_event(log_level::info, "server_joined",
                  {{"server", info.id},
                   {"pool", info.pool},
                   {"machine", info.machine},
                   {"address", info.where.text()},
                   {"born", info.born}});
    }
    if (info.draining && !server.info.draining)
    {
        log_event(log_level::info, "server_drains",
                  {{"server", info.id}, {"left_ms", info.drain_remaining.count()}});
    }
    plan_needed_ = plan_needed_ || !server.registered;
    server.registered = true;
    server.info = info;
    server.heard = now;
    if (!server.clock_known)
    {
        server.clock_known = true;
        server.clock_offset =
            info.clock - std::chrono::duration_cast<milliseconds>(now.time_since_epoch());
    }
    if (info.draining)
    {
        evacuate(server, now);
    }
}

void scheduler::end_former_lives(const worker::server& info, steady_time now)
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
            // A machine has one life at a time; the registration of an ended one stays for seconds.
            server_gone(other.id, other.born, now);
        }
    }
}

bool scheduler::has_later_life(const worker::server& info) const
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

void scheduler::server_gone(std::string_view id, std::int64_t born, steady_time now)
{
    server_state* server = find_server(id);
    if (server == nullptr || server->info.born != born)
    {
        return;
    }
    lose_runs(*server, "this life of the server is over", now);
    server->gone = true;
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
                std::chrono::duration_cast<milliseconds>(now - server.answered).count()}});
    const std::vector<task_ref> tasks = server.tasks;
    for (const task_ref& ref : tasks)
    {
        if (ref.definition().gang)
        {
            end_of_gang(ref, worker::end_kind::broken, now);
        }
        else
        {
            requeue(ref, {});
        }
    }
}

milliseconds scheduler::grant_lease(server_state& server, steady_time now)
{
    // A server that does not answer gets no further lease, so that its runs can be repeated
    // elsewhere once the latest one has ended.
    if (!server.clock_known || server.unanswered > 0)
    {
        return milliseconds(0);
    }
    const milliseconds longest(static_cast<std::int64_t>(
        static_cast<double>(settings_.lease.count()) * (1.0 + settings_.clock_drift)));
    server.lease_end = std::max(server.lease_end, now + longest + settings_.lease_slack);
    return std::chrono::duration_cast<milliseconds>(now.time_since_epoch()) + server.clock_offset +
           settings_.lease;
}

void scheduler::call_unanswered(std::string_view id, std::int64_t born)
{
    server_state* server = find_server(id);
    if (server != nullptr && server->info.born == born)
    {
        ++server->unanswered;
    }
}

void scheduler::judge_server(server_state& server, bool failed, steady_time now)
{
    if (!failed)
    {
        server.failures_in_row = 0;
        return;
    }
    ++server.failures_in_row;
    if (server.failures_in_row >= settings_.failures_to_avoid)
    {
        server.avoid_until = now + settings_.failure_pause;
        log_event(log_level::warning, "server_avoided",
                  {{"server", server.info.id}, {"failures", server.failures_in_row}});
    }
}

void scheduler::apply_report(std::string_view id, const worker::report& lists, steady_time asked,
                             steady_time now)
{
    server_state* found = find_server(id);
    if (found == nullptr || lists.born < found->info.born)
    {
        return;
    }
    server_state& server = *found;
    if (lists.born > server.info.born)
    {
        lose_runs(server, "the server has started again", now);
        server.info.born = lists.born;
        server.ends_read = 0;
        server.ends_stored = 0;
    }
    now_ = now;
    server.answered = now;
    server.unanswered = 0;
    server.fenced = true;
    server.clock_known = true;
    server.clock_offset =
        lists.clock - std::chrono::duration_cast<milliseconds>(now.time_since_epoch());
    for (const worker::ended_task& ended : lists.ended)
    {
        if (ended.number > server.ends_read)
        {
            apply_end(server, ended, now);
            server.ends_read = ended.number;
        }
    }
    std::set<task_state*> listed;
    std::set<worker::task_name> unknown;
    for (const worker::running_task& entry : lists.running)
    {
        task_ref ref;
        const bool known = find_task(entry.task, ref);
        task_state* task = known ? &ref.task() : nullptr;
        if (task == nullptr || task->server != &server || task->run != entry.run ||
            task->phase == task_phase::assigned)
        {
            unknown.insert(entry.task);
            foreign_.try_emplace({server.info.id, entry.task}, entry.run, steady_time{});
            continue;
        }
        listed.insert(task);
        if (task->phase != task_phase::running)
        {
            task->phase = task_phase::running;
            task->since = now;
            if (!job::is_final(ref.job->shown))
            {
                task->stop_wanted = false;
            }
        }
        if (!entry.checkpoint.empty())
        {
            task->checkpoint = entry.checkpoint;
        }
        task->at_work = ref.definition().long_running && entry.percent >= 100;
    }
    for (auto entry = foreign_.begin(); entry != foreign_.end();)
    {
        const bool over =
            entry->first.first == server.info.id && !unknown.contains(entry->first.second);
        entry = over ? foreign_.erase(entry) : std::next(entry);
    }
    if (lists.ended.size() >= full_list)
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
        const bool unresolved = task.phase == task_phase::unresolved && task.resolve_after <= asked;
        const bool vanished = task.phase == task_phase::running && task.since < asked;
        if (unresolved || vanished)
        {
            log_event(log_level::info, "run_not_there",
                      {{"job", ref.job->record.id},
                       {"server", server.info.id},
                       {"run", task.run},
                       {"vanished", vanished}});
            if (ref.definition().gang)
            {
                end_of_gang(ref, worker::end_kind::broken, now);
            }
            else
            {
                requeue(ref, {});
            }
        }
    }
}

void scheduler::start_answered(const worker::start_order& order, worker::order_outcome outcome,
                               steady_time now)
{
    using worker::order_outcome;
    task_ref ref;
    server_state* server = find_server(order.server);
    if (!find_task(order.task, ref) || server == nullptr)
    {
        return;
    }
    task_state& task = ref.task();
    const bool current =
        task.server == server && task.run == order.run && server->info.born == order.server_born;
    if (outcome == order_outcome::accepted)
    {
        server->answered = now;
        server->unanswered = 0;
        if (current && task.phase == task_phase::starting)
        {
            task.phase = task_phase::running;
            task.since = now;
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
        outcome != order_outcome::bad_ticket)
    {
        server->avoid_until = std::max(server->avoid_until, now + settings_.refusal_pause);
    }
    if (outcome == order_outcome::other_server)
    {
        server_gone(order.server, order.server_born, now);
        return;
    }
    if (!current || task.phase != task_phase::starting)
    {
        return;
    }
    if (outcome == order_outcome::bad_ticket)
    {
        // The ticket is asked for again.
        ref.steps().tickets.erase(order.server);
        ref.steps().advised.erase(order.server);
    }
    if (outcome == order_outcome::stale_run || outcome == order_outcome::fenced)
    {
        task.phase = task_phase::unresolved;
        task.resolve_after = now;
        return;
    }
    if (outcome == order_outcome::unknown)
    {
        task.stop_wanted = true;
        stops_.push_back(ref);
        return;
    }
    if (ref.definition().gang)
    {
        end_of_gang(ref, worker::end_kind::broken, now);
        return;
    }
    requeue(ref, now);
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
        server_gone(order.server, order.server_born, now);
        return;
    }
    if (outcome != worker::order_outcome::accepted || !find_task(order.task, ref))
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
        if (!task.stop_wanted || task.server == nullptr)
        {
            continue;
        }
        const bool listed_twice = std::find(open.begin(), open.end(), ref) != open.end();
        if (listed_twice)
        {
            continue;
        }
        open.push_back(ref);
        if (now - task.stop_sent < settings_.stop_repeat)
        {
            continue;
        }
        task.stop_sent = now;
        const worker::server& info = task.server->info;
        orders.push_back(
            {info.id, info.born, info.where, {ref.job->record.id, ref.position()}, task.run});
    }
    stops_ = std::move(open);
    for (auto entry = foreign_.begin(); entry != foreign_.end();)
    {
        const server_state* server = find_server(entry->first.first);
        if (server == nullptr)
        {
            entry = foreign_.erase(entry);
            continue;
        }
        if (now - entry->second.second >= settings_.stop_repeat)
        {
            entry->second.second = now;
            orders.push_back({server->info.id, server->info.born, server->info.where,
                              entry->first.second, entry->second.first});
        }
        ++entry;
    }
    return orders;
}

std::vector<advice_request> scheduler::take_advice_requests()
{
    return std::exchange(questions_, {});
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
    step_state& step = ref.steps();
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

void scheduler::evacuate(server_state& server, steady_time)
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

std::map<std::string, pool_load> scheduler::loads() const
{
    std::map<std::string, pool_load> result;
    for (const auto& entry : servers_)
    {
        const server_state& server = *entry.second;
        if (server.registered && !server.info.draining)
        {
            pool_load& load = result[server.info.pool];
            load.capacity += server.info.capacity;
            load.running += server.used;
        }
    }
    for (const auto& entry : jobs_)
    {
        const job_state& job = *entry.second;
        if (job::is_final(job.shown))
        {
            continue;
        }
        pool_load& load = result[job.queue.pool];
        bool waits = false;
        for (const occurrence_state& occurrence : job.occurrences)
        {
            for (std::size_t index = 0; index < occurrence.steps.size(); ++index)
            {
                const step_state& step = occurrence.steps[index];
                const job::step& definition = job.record.work.steps[index];
                const std::int64_t left = definition.count - step.done;
                if (definition.long_running)
                {
                    load.lasting_cpu += definition.best_effort ? 0 : left * definition.request.cpu;
                }
                else
                {
                    load.backlog += static_cast<double>(left * definition.request.cpu) *
                                    static_cast<double>(definition.estimate.count()) / 1000.0;
                }
                if (step.open && step.waiting > 0)
                {
                    waits = true;
                    load.waiting.cpu += step.waiting * definition.request.cpu;
                    load.waiting.memory += step.waiting * definition.request.memory;
                    load.waiting.accelerators += step.waiting * definition.request.accelerators;
                }
            }
        }
        load.waiting_jobs += waits ? 1 : 0;
    }
    for (const auto& entry : unplaceable_)
    {
        result[entry.first].unplaceable = entry.second;
    }
    return result;
}

} // namespace lacewingquay::scheduler
