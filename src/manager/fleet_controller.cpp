#include "manager/fleet_controller.hpp"

#include "core/json.hpp"
#include "core/log.hpp"
#include "manager/feed.hpp"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

#include <algorithm>
#include <utility>

namespace lacewingquay::manager
{

namespace
{

/// Interval of the control loop.
constexpr milliseconds round_interval{100};
/// Interval between reads of the platform's machine list.
constexpr milliseconds list_interval{1'500};
constexpr milliseconds list_timeout{900};
/// A machine that does not become idle within this time is no longer drained for a move.
constexpr milliseconds drain_limit{6'000};

} // namespace

fleet_controller::fleet_controller(context& shared, std::shared_ptr<owner_session> owner)
    : shared_(shared), owner_(std::move(owner)), planner_(fleet::planner_settings{})
{
}

void fleet_controller::start()
{
    boost::asio::co_spawn(
        shared_.io, [self = shared_from_this()] { return self->run(); }, boost::asio::detached);
}

void fleet_controller::add_wave(const fleet::wave& definition)
{
    if (waves_.contains(definition.number))
    {
        return;
    }
    wave_entry entry;
    entry.definition = definition;
    entry.started_at = shared_.now();
    log_event(log_level::info, "wave",
              {{"wave", definition.number},
               {"machines", definition.machines.size()},
               {"duration_ms", definition.duration.count()},
               {"max_away", definition.max_away}});
    waves_.emplace(definition.number, std::move(entry));
}

boost::asio::awaitable<void> fleet_controller::run()
{
    const std::shared_ptr<fleet_controller> self = shared_from_this();
    if (shared_.config.machines.port == 0)
    {
        co_return;
    }
    while (!owner_->ended())
    {
        co_await sleep_for(shared_, round_interval);
        const steady_time now = shared_.now();
        if (!owner_->is_loaded())
        {
            continue;
        }
        if (!listed_ || now - refreshed_ >= list_interval)
        {
            co_await refresh();
            co_await load_waves();
        }
        if (owner_->ended() || !listed_ || !shared_.current)
        {
            continue;
        }
        detect_arrivals();
        mark_servers();
        if (!orders_loaded_ && !co_await load_orders())
        {
            continue;
        }
        if (owner_->may_order_machines() && !shared_.stopping)
        {
            plan_waves(shared_.now());
            plan_moves(shared_.now());
            co_await send_planned_orders();
        }
    }
}

boost::asio::awaitable<bool> fleet_controller::refresh()
{
    const steady_time requested_at = shared_.now();
    std::optional<std::vector<fleet::machine>> listed =
        co_await shared_.machines.list(list_timeout);
    refreshed_ = shared_.now();
    if (!listed)
    {
        log_event(log_level::info, "machines_unavailable", {});
        co_return false;
    }
    listed_ = true;
    for (auto& entry : machines_)
    {
        entry.second.in_latest_list = false;
    }
    for (fleet::machine& machine : *listed)
    {
        machine_entry& entry = machines_[machine.name];
        entry.in_latest_list = true;
        entry.listed = std::move(machine);
        const fleet::order_progress progress = progress_of(entry, requested_at);
        if (entry.ordered && fleet::has_ended_server(progress))
        {
            owner_->job_scheduler().end_incarnation(entry.former_server, entry.former_born,
                                                    shared_.now());
        }
        if (entry.ordered && fleet::is_order_over(progress))
        {
            cancel_order(entry.listed.name);
        }
    }
    std::erase_if(machines_, [](const auto& entry) { return !entry.second.in_latest_list; });
    co_return true;
}

bool fleet_controller::is_standby(const std::string& name) const
{
    return shared_.current &&
           std::any_of(shared_.current->pools.begin(), shared_.current->pools.end(),
                       [&](const pool& candidate)
                       { return candidate.standby && candidate.name == name; });
}

fleet::order_progress fleet_controller::progress_of(const machine_entry& machine,
                                                    steady_time requested_at) const
{
    const bool is_target =
        machine.kind == order_kind::maintain || machine.listed.pool == machine.target_pool;
    return {machine.listed.state, machine.confirmed, is_target && is_standby(machine.listed.pool),
            std::chrono::duration_cast<milliseconds>(requested_at - machine.ordered_at)};
}

scheduler::server_state* fleet_controller::server_of(const std::string& name)
{
    scheduler::scheduler& jobs = owner_->job_scheduler();
    const auto found = server_by_machine_.find(name);
    if (found != server_by_machine_.end())
    {
        return jobs.find_server(found->second);
    }
    // Its registration may have lapsed while its runs go on.
    const auto machine = machines_.find(name);
    scheduler::server_state* server =
        machine == machines_.end() ? nullptr : jobs.find_server(machine->second.listed.server);
    return server == nullptr || server->tasks.empty() ? nullptr : server;
}

bool fleet_controller::is_reserved(const std::string& machine) const
{
    const auto found = reserved_until_.find(machine);
    return found != reserved_until_.end() && shared_.now() < found->second;
}

void fleet_controller::mark(scheduler::server_state& server) const
{
    fleet::machine_plans plans;
    const auto found = machines_.find(server.info.machine);
    if (found != machines_.end())
    {
        const machine_entry& machine = found->second;
        plans.ordered = machine.ordered;
        plans.former_server = machine.former_server;
        plans.former_born = machine.former_born;
        plans.draining = !machine.drain_target_pool.empty() || machine.draining_for_wave != 0;
    }
    const fleet::server_marks marks = fleet::marks_of(plans, server.info.id, server.info.born);
    server.closed = marks.closed;
    server.ending = marks.ending;
}

void fleet_controller::mark_servers() const
{
    for (const auto& entry : owner_->job_scheduler().servers())
    {
        mark(*entry.second);
    }
}

void fleet_controller::detect_arrivals()
{
    server_by_machine_.clear();
    for (const auto& entry : owner_->job_scheduler().servers())
    {
        const scheduler::server_state& server = *entry.second;
        if (!server.registered || server.info.machine.empty())
        {
            continue;
        }
        server_by_machine_[server.info.machine] = entry.first;
        const auto found = machines_.find(server.info.machine);
        if (found == machines_.end())
        {
            continue;
        }
        machine_entry& machine = found->second;
        const bool is_new =
            server.info.id != machine.former_server || server.info.born != machine.former_born;
        if (machine.ordered && is_new)
        {
            machine.ordered = false;
            machine.listed.state = fleet::machine_state::up;
            machine.listed.pool = server.info.pool;
        }
        else if (!machine.ordered && machine.listed.pool != server.info.pool)
        {
            machine.listed.pool = server.info.pool;
        }
    }
}

std::vector<fleet::machine_view> fleet_controller::machine_views(steady_time now)
{
    std::vector<fleet::machine_view> views;
    for (const auto& entry : machines_)
    {
        const machine_entry& machine = entry.second;
        fleet::machine_view view;
        view.name = entry.first;
        view.pool = machine.listed.pool;
        view.cpu = machine.listed.capacity.cpu;
        view.memory = machine.listed.capacity.memory;
        scheduler::server_state* server = server_of(entry.first);
        view.available = !machine.ordered && machine.draining_for_wave == 0 &&
                         machine.listed.state == fleet::machine_state::up &&
                         !is_reserved(entry.first);
        if (server != nullptr && server->registered)
        {
            view.idle = server->tasks.empty() && !server->info.draining;
            view.idle_for = std::chrono::duration_cast<milliseconds>(now - server->idle_since);
            view.tasks = static_cast<int>(server->tasks.size());
            view.long_running_tasks = server->long_running_tasks;
        }
        else
        {
            view.idle = is_standby(view.pool);
        }
        view.drain_target_pool = machine.drain_target_pool;
        views.push_back(std::move(view));
    }
    return views;
}

void fleet_controller::update_spare_cpu(std::span<const fleet::machine_view> machines)
{
    std::int64_t cpu = 0;
    for (const fleet::machine_view& machine : machines)
    {
        const machine_entry& entry = machines_[machine.name];
        const bool arrives = entry.ordered && entry.kind == order_kind::move;
        const bool is_off = is_standby(machine.pool);
        cpu += arrives || (machine.available && machine.idle && is_off) ? machine.cpu : 0;
    }
    owner_->job_scheduler().set_spare_cpu(cpu);
}

std::vector<fleet::pool_view> fleet_controller::pool_views()
{
    const std::map<std::string, scheduler::pool_load> loads = owner_->job_scheduler().pool_loads();
    std::vector<fleet::pool_view> views;
    for (const pool& configured : shared_.current->pools)
    {
        fleet::pool_view view;
        view.name = configured.name;
        view.standby = configured.standby;
        const auto found = loads.find(configured.name);
        if (found != loads.end())
        {
            view.running_cpu = found->second.running.cpu;
            view.waiting_cpu = found->second.waiting.cpu;
            view.demand_memory = found->second.running.memory + found->second.waiting.memory;
            view.capacity_cpu = found->second.capacity.cpu;
            view.needs_other_machine = found->second.unplaceable > 0;
        }
        for (const auto& entry : machines_)
        {
            const machine_entry& machine = entry.second;
            const bool arrives = machine.ordered && machine.kind == order_kind::move &&
                                 machine.target_pool == configured.name;
            const bool returns = machine.ordered && machine.kind == order_kind::maintain &&
                                 machine.listed.pool == configured.name;
            if (arrives || returns)
            {
                view.incoming_cpu += machine.listed.capacity.cpu;
            }
        }
        views.push_back(std::move(view));
    }
    return views;
}

void fleet_controller::drain(const std::string& name, const std::string& pool, steady_time now)
{
    scheduler::server_state* server = server_of(name);
    if (server != nullptr)
    {
        machines_[name].drain_target_pool = pool;
        machines_[name].drain_started = now;
        mark(*server);
    }
}

void fleet_controller::plan_moves(steady_time now)
{
    const std::vector<fleet::machine_view> machines = machine_views(now);
    update_spare_cpu(machines);
    const std::vector<fleet::pool_view> pools = pool_views();
    for (const fleet::move_order& move : planner_.decide(machines, pools, now))
    {
        log_event(log_level::info, move.drain_first ? "machine_drain" : "machine_move",
                  {{"machine", move.machine},
                   {"from", move.from},
                   {"to", move.to},
                   {"reason", move.reason},
                   {"term", owner_->term()}});
        if (move.drain_first)
        {
            drain(move.machine, move.to, now);
        }
        else
        {
            prepare_order(order_kind::move, move.machine, move.to, 0);
        }
    }
    for (auto& entry : machines_)
    {
        machine_entry& machine = entry.second;
        if (!machine.drain_target_pool.empty() && now - machine.drain_started >= drain_limit)
        {
            cancel_order(entry.first);
        }
    }
}

void fleet_controller::plan_waves(steady_time now)
{
    for (const auto& entry : owner_->job_scheduler().servers())
    {
        entry.second->maintenance_due = false;
    }
    for (auto& entry : waves_)
    {
        wave_entry& wave = entry.second;
        if (!wave.loaded || wave.completed)
        {
            continue;
        }
        std::vector<fleet::wave_machine> views;
        int in_maintenance = 0;
        for (const std::string& name : wave.definition.machines)
        {
            const auto found = machines_.find(name);
            if (found != machines_.end() &&
                (found->second.listed.state == fleet::machine_state::maintenance ||
                 (found->second.ordered && found->second.kind == order_kind::maintain)))
            {
                ++in_maintenance;
            }
            if (wave.done.contains(name))
            {
                continue;
            }
            fleet::wave_machine view;
            view.name = name;
            view.missing = found == machines_.end();
            if (!view.missing)
            {
                machine_entry& machine = found->second;
                scheduler::server_state* server = server_of(name);
                view.available =
                    !machine.ordered && machine.listed.state == fleet::machine_state::up &&
                    !is_reserved(name) && (server == nullptr || !server->info.draining);
                view.draining = machine.draining_for_wave == wave.definition.number;
                view.draining_for =
                    std::chrono::duration_cast<milliseconds>(now - machine.draining_since);
                view.idle = server == nullptr || server->tasks.empty();
                if (server != nullptr)
                {
                    // Long-running tasks leave all machines of the wave from its beginning, as far
                    // as their disruption budgets allow. Until a machine is drained, other tasks
                    // use it.
                    server->maintenance_due = true;
                    // Before the check below, so that no order overtakes a stop of this round.
                    owner_->job_scheduler().evacuate(*server);
                }
                view.can_interrupt =
                    server == nullptr || (owner_->job_scheduler().can_interrupt(*server) &&
                                          !scheduler::scheduler::has_task_stopping(*server));
                view.tasks = server == nullptr ? 0 : static_cast<int>(server->tasks.size());
                view.long_running_tasks = server == nullptr ? 0 : server->long_running_tasks;
            }
            views.push_back(std::move(view));
        }
        const bool all_done =
            std::all_of(views.begin(), views.end(),
                        [](const fleet::wave_machine& machine) { return machine.missing; });
        if (all_done)
        {
            wave.completed = true;
            boost::asio::co_spawn(
                shared_.io,
                [self = shared_from_this(), number = entry.first]
                { return self->store_wave(number); },
                boost::asio::detached);
            continue;
        }
        const milliseconds time_left =
            wave.definition.duration -
            std::chrono::duration_cast<milliseconds>(now - wave.started_at);
        const fleet::wave_step step = fleet::plan_wave(wave.definition, views, in_maintenance,
                                                       time_left, fleet::wave_settings{});
        for (const std::string& name : step.drain)
        {
            machine_entry& machine = machines_[name];
            machine.draining_for_wave = wave.definition.number;
            machine.draining_since = now;
            scheduler::server_state* server = server_of(name);
            if (server != nullptr)
            {
                mark(*server);
            }
        }
        for (const std::string& name : step.maintain)
        {
            // Machines selected earlier in this round also use up disruption budgets.
            scheduler::server_state* server = server_of(name);
            if (server != nullptr && !owner_->job_scheduler().can_interrupt(*server))
            {
                continue;
            }
            log_event(log_level::info, "machine_maintenance",
                      {{"machine", name},
                       {"wave", wave.definition.number},
                       {"away", in_maintenance},
                       {"left_ms", time_left.count()},
                       {"term", owner_->term()}});
            prepare_order(order_kind::maintain, name, "", wave.definition.number);
        }
    }
}

} // namespace lacewingquay::manager
