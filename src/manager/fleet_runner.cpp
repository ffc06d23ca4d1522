#include "manager/fleet_runner.hpp"

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

constexpr milliseconds round_interval{100};
/// Interval between reads of the platform's machine list.
constexpr milliseconds list_interval{1'500};
constexpr milliseconds list_timeout{900};
/// Time after which an order counts as over if the list shows its machine as up.
constexpr milliseconds arrival_limit{6'000};
/// A list requested at least this long after a confirmed order reflects its effect.
constexpr milliseconds list_lag{600};
/// A machine that does not become idle within this time is no longer drained for a move.
constexpr milliseconds drain_limit{6'000};

} // namespace

fleet_runner::fleet_runner(context& shared, std::shared_ptr<session> owner)
    : shared_(shared), owner_(std::move(owner)), planner_(fleet::planner_settings{})
{
}

void fleet_runner::start()
{
    boost::asio::co_spawn(
        shared_.io, [self = shared_from_this()] { return self->run(); }, boost::asio::detached);
}

void fleet_runner::add_wave(const fleet::wave& wanted)
{
    if (waves_.contains(wanted.number))
    {
        return;
    }
    wave_entry entry;
    entry.wanted = wanted;
    entry.begun = shared_.now();
    log_event(log_level::info, "wave",
              {{"wave", wanted.number},
               {"machines", wanted.machines.size()},
               {"duration_ms", wanted.duration.count()},
               {"max_away", wanted.max_away}});
    waves_.emplace(wanted.number, std::move(entry));
}

boost::asio::awaitable<void> fleet_runner::run()
{
    const std::shared_ptr<fleet_runner> self = shared_from_this();
    if (shared_.config.machines.port == 0)
    {
        co_return;
    }
    while (!owner_->ended())
    {
        co_await pause(shared_, round_interval);
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
        note_arrivals();
        if (!orders_loaded_ && !co_await load_orders())
        {
            continue;
        }
        if (owner_->is_confirmed(confirmed_age) && !shared_.stopping)
        {
            plan_waves(shared_.now());
            plan_moves(shared_.now());
            co_await send_planned();
        }
    }
}

boost::asio::awaitable<bool> fleet_runner::refresh()
{
    const steady_time asked = shared_.now();
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
        entry.second.seen = false;
    }
    for (fleet::machine& machine : *listed)
    {
        machine_entry& entry = machines_[machine.name];
        entry.seen = true;
        entry.listed = std::move(machine);
        if (is_over(entry, asked))
        {
            cancel_order(entry.listed.name);
        }
    }
    std::erase_if(machines_, [](const auto& entry) { return !entry.second.seen; });
    co_return true;
}

bool fleet_runner::is_standby(const std::string& name) const
{
    return shared_.current &&
           std::any_of(shared_.current->pools.begin(), shared_.current->pools.end(),
                       [&](const pool& candidate)
                       { return candidate.standby && candidate.name == name; });
}

bool fleet_runner::is_over(const machine_entry& machine, steady_time asked) const
{
    if (!machine.ordered || machine.listed.state != fleet::machine_state::up)
    {
        return false;
    }
    // A powered-off machine registers no server, so only the list shows that it has arrived.
    const bool arrived_off =
        machine.confirmed && is_standby(machine.listed.pool) &&
        (machine.kind == order_kind::maintain || machine.listed.pool == machine.target_pool) &&
        asked - machine.ordered_at >= list_lag;
    return arrived_off || asked - machine.ordered_at >= arrival_limit;
}

scheduler::server_state* fleet_runner::server_of(const std::string& machine)
{
    const auto found = server_by_machine_.find(machine);
    return found == server_by_machine_.end() ? nullptr : owner_->plan().find_server(found->second);
}

bool fleet_runner::is_reserved(const std::string& machine) const
{
    const auto found = reserved_until_.find(machine);
    return found != reserved_until_.end() && shared_.now() < found->second;
}

void fleet_runner::note_arrivals()
{
    server_by_machine_.clear();
    for (const auto& entry : owner_->plan().servers())
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

std::vector<fleet::machine_view> fleet_runner::machine_views(steady_time now)
{
    std::vector<fleet::machine_view> views;
    for (const auto& entry : machines_)
    {
        const machine_entry& machine = entry.second;
        fleet::machine_view view;
        view.name = entry.first;
        view.pool = machine.listed.pool;
        view.cpu = machine.listed.capacity.cpu;
        scheduler::server_state* server = server_of(entry.first);
        view.available = !machine.ordered && machine.closing_for_wave == 0 &&
                         machine.listed.state == fleet::machine_state::up &&
                         !is_reserved(entry.first);
        if (server != nullptr)
        {
            view.idle = server->tasks.empty() && !server->info.draining && server->registered;
            view.idle_for = std::chrono::duration_cast<milliseconds>(now - server->idle_since);
            view.tasks = static_cast<int>(server->tasks.size());
            view.lasting = server->lasting;
        }
        else
        {
            view.idle = is_standby(view.pool);
        }
        view.drained_for = machine.drained_for;
        views.push_back(std::move(view));
    }
    return views;
}

void fleet_runner::note_spare(std::span<const fleet::machine_view> machines)
{
    std::int64_t cpu = 0;
    for (const fleet::machine_view& machine : machines)
    {
        const machine_entry& entry = machines_[machine.name];
        const bool arrives = entry.ordered && entry.kind == order_kind::move;
        const bool is_off = is_standby(machine.pool);
        cpu += arrives || (machine.available && machine.idle && is_off) ? machine.cpu : 0;
    }
    owner_->plan().set_spare_cpu(cpu);
}

std::vector<fleet::pool_view> fleet_runner::pool_views()
{
    const std::map<std::string, scheduler::pool_load> loads = owner_->plan().pool_loads();
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

void fleet_runner::drain(const std::string& name, const std::string& pool, steady_time now)
{
    scheduler::server_state* server = server_of(name);
    if (server != nullptr)
    {
        server->closed = true;
        machines_[name].drained_for = pool;
        machines_[name].drained_since = now;
    }
}

void fleet_runner::plan_moves(steady_time now)
{
    const std::vector<fleet::machine_view> machines = machine_views(now);
    note_spare(machines);
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
        if (!machine.drained_for.empty() && now - machine.drained_since >= drain_limit)
        {
            cancel_order(entry.first);
        }
    }
}

void fleet_runner::plan_waves(steady_time now)
{
    for (auto& entry : waves_)
    {
        wave_entry& wave = entry.second;
        if (!wave.loaded || wave.completed)
        {
            continue;
        }
        std::vector<fleet::wave_machine> views;
        int away = 0;
        for (const std::string& name : wave.wanted.machines)
        {
            const auto found = machines_.find(name);
            if (found != machines_.end() &&
                (found->second.listed.state == fleet::machine_state::maintenance ||
                 (found->second.ordered && found->second.kind == order_kind::maintain)))
            {
                ++away;
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
                view.closing = machine.closing_for_wave == wave.wanted.number;
                view.closing_for =
                    std::chrono::duration_cast<milliseconds>(now - machine.closed_at);
                view.idle = server == nullptr || server->tasks.empty();
                view.can_interrupt = server == nullptr || owner_->plan().can_interrupt(*server);
                view.tasks = server == nullptr ? 0 : static_cast<int>(server->tasks.size());
                view.lasting = server == nullptr ? 0 : server->lasting;
                if (view.closing && server != nullptr)
                {
                    server->closed = true;
                    owner_->plan().evacuate(*server);
                }
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
        const milliseconds left =
            wave.wanted.duration - std::chrono::duration_cast<milliseconds>(now - wave.begun);
        const fleet::wave_step step =
            fleet::plan_wave(wave.wanted, views, away, left, fleet::wave_settings{});
        for (const std::string& name : step.close)
        {
            machine_entry& machine = machines_[name];
            machine.closing_for_wave = wave.wanted.number;
            machine.closed_at = now;
            scheduler::server_state* server = server_of(name);
            if (server != nullptr)
            {
                server->closed = true;
            }
        }
        for (const std::string& name : step.maintain)
        {
            // Machines selected earlier in this round also use up disruption budgets.
            scheduler::server_state* server = server_of(name);
            if (server != nullptr && !owner_->plan().can_interrupt(*server))
            {
                continue;
            }
            log_event(log_level::info, "machine_maintenance",
                      {{"machine", name},
                       {"wave", wave.wanted.number},
                       {"away", away},
                       {"left_ms", left.count()},
                       {"term", owner_->term()}});
            prepare_order(order_kind::maintain, name, "", wave.wanted.number);
        }
    }
}

} // namespace lacewingquay::manager
