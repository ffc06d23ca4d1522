#include "scheduler_simulation.hpp"

#include <algorithm>

namespace lacewingquay::test
{

namespace
{

constexpr milliseconds handover_wait{1'000};
constexpr milliseconds heartbeat_interval{1'500};
/// A registration outlives its server by three heartbeats.
constexpr milliseconds registration_time{4'500};
constexpr int max_return_steps = 40;
/// Longest time without a run for a task that a server has room for.
constexpr milliseconds max_wait{6'000};

std::string task_text(const worker::task_name& task)
{
    return task.job + " " + std::to_string(task.position.step) + "." +
           std::to_string(task.position.index);
}

} // namespace

void scheduler_simulation::cut_store(milliseconds time)
{
    store_returns_at_ = now_ + time;
    store_was_away_ = true;
}

void scheduler_simulation::cut_zone(std::size_t zone, milliseconds time)
{
    std::size_t number = 0;
    for (auto& entry : servers_)
    {
        if (number++ % 3 == zone % 3)
        {
            entry.second.partitioned_until = now_ + time;
        }
    }
}

void scheduler_simulation::hand_over()
{
    handing_over_ = true;
    hand_over_by_ = now_ + handover_wait;
}

void scheduler_simulation::end_server(const std::string& id, milliseconds return_time,
                                      bool is_unregistered)
{
    fake_server& server = servers_.at(id);
    count_crash(server);
    server.up = false;
    server.replaced = true;
    server.running.clear();
    server.ended.clear();
    server.restart_at = now_ + return_time;
    server.registered_until = is_unregistered ? now_ : now_ + registration_time;
    server.next_poll = now_;
}

void scheduler_simulation::restart_server(const std::string& id)
{
    fake_server& server = servers_.at(id);
    count_crash(server);
    server.up = false;
    server.running.clear();
    server.ended.clear();
    server.restart_at = now_;
}

void scheduler_simulation::cut_server(const std::string& id, milliseconds time)
{
    servers_.at(id).partitioned_until = now_ + time;
}

std::string scheduler_simulation::any_server()
{
    std::vector<std::string> ids;
    for (const auto& entry : servers_)
    {
        if (entry.second.up)
        {
            ids.push_back(entry.first);
        }
    }
    return ids.empty() ? servers_.begin()->first : ids[random_() % ids.size()];
}

bool scheduler_simulation::is_registered(const fake_server& server) const
{
    const bool lingers = server.replaced && now_ < server.registered_until;
    return !server.registration.id.empty() && !server.lapsed && (reachable(server) || lingers);
}

void scheduler_simulation::renew_registrations()
{
    if (is_store_away())
    {
        return;
    }
    for (auto& entry : servers_)
    {
        fake_server& server = entry.second;
        if (server.registration.id.empty())
        {
            continue;
        }
        if (store_was_away_ && random_() % 2 == 0)
        {
            server.registered_until = now_;
            server.next_heartbeat = now_ + milliseconds(50 * (random_() % max_return_steps));
        }
        if (reachable(server) && server.registration.born == server.info.born &&
            now_ >= server.next_heartbeat)
        {
            server.next_heartbeat = now_ + heartbeat_interval;
            server.registered_until = now_ + registration_time;
            server.lapsed = false;
            if (owner_)
            {
                owner_->update_server(server.registration, now_);
            }
        }
        if (!server.lapsed && server.registered_until <= now_)
        {
            server.lapsed = true;
            if (owner_)
            {
                owner_->remove_server(entry.first, now_);
            }
        }
    }
    store_was_away_ = false;
}

bool scheduler_simulation::is_calm() const
{
    const bool has_rates =
        rates_.lost_answer + rates_.delayed_order + rates_.task_fails + rates_.server_crash +
            rates_.server_partitioned + rates_.owner_killed + rates_.store_answer_lost +
            rates_.store_refuses + rates_.slow_commit + rates_.lost_stop + rates_.lost_stop_answer +
            rates_.delayed_stop + rates_.capacity_changes >
        0.0;
    if (has_rates || !owner_ || handing_over_ || is_store_away() || now_ < orders_held_until_ ||
        !delayed_starts_.empty() || !delayed_stops_.empty() || !waiting_orders_.empty() ||
        transaction_)
    {
        return false;
    }
    return std::all_of(servers_.begin(), servers_.end(),
                       [&](const auto& entry)
                       {
                           const fake_server& server = entry.second;
                           return server.is_replaced_now ||
                                  (is_registered(server) && reachable(server) &&
                                   server.registration.born == server.info.born);
                       });
}

job::resources scheduler_simulation::used_by(const fake_server& server) const
{
    job::resources used;
    for (const auto& entry : server.running)
    {
        used += jobs_.at(entry.first.job)
                    .work.steps[static_cast<std::size_t>(entry.first.position.step)]
                    .request;
    }
    return used;
}

bool scheduler_simulation::has_run_or_end(const worker::task_name& task) const
{
    return acknowledged_done_.contains(task) ||
           std::any_of(servers_.begin(), servers_.end(),
                       [&](const auto& entry)
                       {
                           const fake_server& server = entry.second;
                           const bool has_end =
                               std::any_of(server.ended.begin(), server.ended.end(),
                                           [&](const worker::ended_task& ended) {
                                               return ended.task == task &&
                                                      ended.kind == worker::end_kind::done;
                                           });
                           return server.up && (server.running.contains(task) || has_end);
                       });
}

const scheduler_simulation::fake_server*
scheduler_simulation::find_room(const job::step& step) const
{
    const auto found =
        std::find_if(servers_.begin(), servers_.end(),
                     [&](const auto& entry)
                     {
                         const fake_server& server = entry.second;
                         return reachable(server) &&
                                step.request.fits_into(server.info.capacity - used_by(server));
                     });
    return found == servers_.end() ? nullptr : &found->second;
}

bool scheduler_simulation::is_stored_as_done(const worker::task_name& task) const
{
    const std::optional<job::progress> stored = read_progress(task.job);
    return stored && std::any_of(stored->tasks.begin(), stored->tasks.end(),
                                 [&](const job::task_progress& saved)
                                 { return saved.done && saved.position == task.position; });
}

std::string scheduler_simulation::describe_run(const worker::task_name& task) const
{
    for (const auto& entry : owner_->servers())
    {
        for (const scheduler::task_ref& ref : entry.second->tasks)
        {
            if (ref.job->record.id == task.job && ref.position() == task.position)
            {
                return "phase " + std::to_string(static_cast<int>(ref.task().phase)) + " on " +
                       entry.first +
                       (entry.second->registered ? ", registered" : ", not registered");
            }
        }
    }
    return "no run";
}

void scheduler_simulation::check_task_runs(const worker::task_name& task, const job::step& step)
{
    const fake_server* server = find_room(step);
    if (server == nullptr || has_run_or_end(task))
    {
        waiting_since_.erase(task);
        return;
    }
    steady_time& since = waiting_since_.try_emplace(task, now_).first->second;
    if (now_ - since >= max_wait && !is_stored_as_done(task))
    {
        record_violation("no run of " + task_text(task) + " for 6 s while " + server->info.id +
                         " has room; the owner knows " + describe_run(task));
        since = now_;
    }
}

void scheduler_simulation::check_liveness()
{
    if (!is_calm())
    {
        waiting_since_.clear();
        return;
    }
    for (const auto& entry : jobs_)
    {
        const job::record& record = entry.second;
        if (cancelled_.contains(entry.first) || job::is_final(reported_state(entry.first)))
        {
            continue;
        }
        std::vector<bool> done;
        for (std::size_t number = 0; number < record.work.steps.size(); ++number)
        {
            const job::step& step = record.work.steps[number];
            const bool open = std::all_of(step.after.begin(), step.after.end(),
                                          [&](std::size_t earlier) { return done[earlier]; });
            bool all_done = true;
            for (int index = 0; index < step.count; ++index)
            {
                const worker::task_name task{entry.first, {0, static_cast<int>(number), index}};
                all_done = all_done && done_.contains(task);
                if (open)
                {
                    check_task_runs(task, step);
                }
            }
            done.push_back(all_done);
        }
    }
}

} // namespace lacewingquay::test
