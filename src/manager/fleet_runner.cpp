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

constexpr std::string_view orders_key = "orders";
constexpr milliseconds round_interval{100};
/// The list is read this often, and sooner while an order's outcome is unknown.
constexpr milliseconds list_interval{1'500};
constexpr milliseconds list_timeout{900};
/// An order ends within some milliseconds; longer answers count as lost.
constexpr milliseconds order_timeout{900};
/// Orders are given only while the ownership was confirmed by the store this recently.
constexpr milliseconds confirmed_age{1'200};
/// Beyond the lease between two holders' orders.
constexpr milliseconds handover_slack{400};
/// An order whose machine does not come back is looked up in the list after this time.
constexpr milliseconds arrival_limit{6'000};
/// A list that was asked for this long after a confirmed order shows its effect.
constexpr milliseconds list_lag{600};
/// A machine that is drained for another pool and does not become idle is opened again.
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

boost::asio::awaitable<bool> fleet_runner::load_orders()
{
    const adapter::read_result row =
        co_await shared_.store.read_row(fleet_table, orders_key, read_timeout);
    if (!row.ok)
    {
        co_return false;
    }
    orders_loaded_ = true;
    if (row.rows.empty())
    {
        co_return true;
    }
    boost::leaf::try_handle_all(
        [&]() -> boost::leaf::result<void>
        {
            BOOST_LEAF_AUTO(body, parse_json_object(row.rows.front().value, "orders"));
            for (const boost::json::key_value_pair& entry : body)
            {
                boost::system::error_code error;
                const std::int64_t at = entry.value().to_number<std::int64_t>(error);
                const milliseconds age = shared_.store_time() - milliseconds(error ? 0 : at);
                reserved_until_[entry.key()] =
                    shared_.now() - age + shared_.config.machine_lease + handover_slack;
            }
            return {};
        },
        [&](const input_error& error) {
            log_event(log_level::error, "orders_unreadable", {{"reason", error.message()}});
        },
        [] {});
    co_return true;
}

boost::asio::awaitable<bool> fleet_runner::store_orders()
{
    boost::json::object body;
    for (const auto& entry : machines_)
    {
        const milliseconds age =
            std::chrono::duration_cast<milliseconds>(shared_.now() - entry.second.ordered_at);
        if (age < shared_.config.machine_lease + handover_slack)
        {
            body[entry.first] = (shared_.store_time() - age).count();
        }
    }
    adapter::transaction work;
    work.conditions.push_back(
        {std::string(jobs_table), std::string(owner_key), owner_->owner_version()});
    work.writes.push_back(
        {std::string(fleet_table), std::string(orders_key), boost::json::serialize(body)});
    const adapter::commit_result result = co_await shared_.store.commit(work, commit_timeout);
    co_return result.outcome == adapter::commit_outcome::done;
}

boost::asio::awaitable<void> fleet_runner::send_planned()
{
    if (planned_.empty())
    {
        co_return;
    }
    // The owner's row may be renewed while this transaction is under way; it is tried again then.
    constexpr int attempts = 3;
    bool stored = false;
    for (int attempt = 0; attempt < attempts && !stored && !owner_->ended(); ++attempt)
    {
        stored = co_await store_orders();
    }
    for (const std::string& name : std::exchange(planned_, {}))
    {
        const auto found = machines_.find(name);
        if (found == machines_.end())
        {
            continue;
        }
        const machine_entry& machine = found->second;
        if (!stored)
        {
            cancel_order(name);
            continue;
        }
        boost::asio::co_spawn(
            shared_.io,
            [self = shared_from_this(), kind = machine.kind, name, pool = machine.target_pool,
             wave = machine.wave] { return self->order(kind, name, pool, wave); },
            boost::asio::detached);
    }
}

void fleet_runner::cancel_order(const std::string& name)
{
    machine_entry& machine = machines_[name];
    machine.ordered = false;
    machine.drained_for.clear();
    scheduler::server_state* server = server_of(name);
    if (server != nullptr)
    {
        server->ending = false;
        server->closed = machine.closing_for_wave != 0;
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
            entry.ordered = false;
            scheduler::server_state* server = server_of(entry.listed.name);
            if (server != nullptr)
            {
                server->ending = false;
                server->closed = entry.closing_for_wave != 0;
            }
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
    // A machine that is off registers no server; the list alone tells that it has arrived.
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

std::vector<fleet::pool_view> fleet_runner::pool_views()
{
    const std::map<std::string, scheduler::pool_load> loads = owner_->plan().loads();
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
                    owner_->plan().evacuate(*server, now);
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
            // The machines chosen before this one in the same round use up budgets too.
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

void fleet_runner::prepare_order(order_kind kind, const std::string& name, const std::string& pool,
                                 std::int64_t wave)
{
    machine_entry& machine = machines_[name];
    machine.ordered = true;
    machine.confirmed = false;
    machine.drained_for.clear();
    machine.kind = kind;
    machine.target_pool = pool;
    machine.wave = wave;
    machine.ordered_at = shared_.now();
    machine.former_server.clear();
    machine.former_born = 0;
    scheduler::server_state* server = server_of(name);
    if (server != nullptr)
    {
        server->closed = true;
        server->ending = true;
        machine.former_server = server->info.id;
        machine.former_born = server->info.born;
    }
    planned_.push_back(name);
}

boost::asio::awaitable<void> fleet_runner::order(order_kind kind, std::string machine,
                                                 std::string pool, std::int64_t wave)
{
    const std::shared_ptr<fleet_runner> self = shared_from_this();
    adapter::machine_outcome outcome = adapter::machine_outcome::refused;
    if (owner_->is_confirmed(confirmed_age))
    {
        if (kind == order_kind::move)
        {
            outcome = co_await shared_.machines.move(machine, pool, owner_->term(), order_timeout);
        }
        else
        {
            outcome =
                co_await shared_.machines.maintain(machine, wave, owner_->term(), order_timeout);
        }
    }
    const auto found = machines_.find(machine);
    if (owner_->ended() || found == machines_.end())
    {
        co_return;
    }
    machine_entry& entry = found->second;
    if (outcome == adapter::machine_outcome::done)
    {
        entry.confirmed = true;
        if (!entry.former_server.empty())
        {
            owner_->plan().server_gone(entry.former_server, entry.former_born, shared_.now());
        }
        if (kind == order_kind::maintain)
        {
            entry.closing_for_wave = 0;
            waves_[wave].done.insert(machine);
            entry.listed.state = fleet::machine_state::maintenance;
            co_await store_wave(wave);
        }
        co_return;
    }
    log_event(log_level::info, "machine_order_failed",
              {{"machine", machine},
               {"pool", pool},
               {"wave", wave},
               {"outcome", static_cast<int>(outcome)}});
    if (outcome == adapter::machine_outcome::unknown)
    {
        // The list tells later whether it was carried out; until then it counts as under way.
        co_return;
    }
    if (outcome == adapter::machine_outcome::malformed && kind == order_kind::move)
    {
        planner_.forbid(machine, pool);
    }
    if (outcome == adapter::machine_outcome::not_in_wave ||
        (outcome == adapter::machine_outcome::malformed && kind == order_kind::maintain))
    {
        waves_[wave].done.insert(machine);
        entry.closing_for_wave = 0;
    }
    cancel_order(machine);
}

boost::asio::awaitable<void> fleet_runner::load_waves()
{
    for (auto& entry : waves_)
    {
        wave_entry& wave = entry.second;
        if (wave.loaded)
        {
            continue;
        }
        const adapter::read_result row = co_await shared_.store.read_row(
            fleet_table, "wave/" + std::to_string(entry.first), read_timeout);
        if (!row.ok)
        {
            continue;
        }
        wave.loaded = true;
        if (!row.rows.empty())
        {
            boost::leaf::try_handle_all(
                [&]() -> boost::leaf::result<void>
                {
                    BOOST_LEAF_AUTO(body, parse_json_object(row.rows.front().value, "wave"));
                    json_reader reader(body, "wave");
                    BOOST_LEAF_AUTO(done, reader.array("done"));
                    for (const boost::json::value& name : *done)
                    {
                        if (name.is_string())
                        {
                            wave.done.emplace(name.get_string());
                        }
                    }
                    BOOST_LEAF_AUTO(begun, reader.integer("begun_ms", 0, 1'000'000'000'000));
                    wave.begun = shared_.now() - (shared_.store_time() - milliseconds(begun));
                    return {};
                },
                [&](const input_error& error)
                {
                    log_event(log_level::error, "wave_unreadable",
                              {{"wave", entry.first}, {"reason", error.message()}});
                },
                [] {});
        }
        co_await store_wave(entry.first);
    }
}

boost::asio::awaitable<void> fleet_runner::store_wave(std::int64_t number)
{
    const std::shared_ptr<fleet_runner> self = shared_from_this();
    const std::string name = "wave/" + std::to_string(number);
    wave_entry& wave = waves_[number];
    boost::json::array done;
    for (const std::string& machine : wave.done)
    {
        done.emplace_back(machine);
    }
    const milliseconds begun =
        shared_.store_time() - std::chrono::duration_cast<milliseconds>(shared_.now() - wave.begun);
    const boost::json::object body{{"done", std::move(done)}, {"begun_ms", begun.count()}};
    adapter::transaction work;
    work.writes.push_back({std::string(fleet_table), name, boost::json::serialize(body)});
    // The record of done machines may be lost with this host: an order that is repeated for a
    // machine that is done changes nothing.
    co_await shared_.store.commit(work, commit_timeout);
    bool& reported = wave.completed ? wave.stored_completed : wave.stored_running;
    while (!reported && !owner_->ended())
    {
        adapter::transaction report;
        report.writes.push_back(
            {std::string(status_table), name,
             wave.completed ? R"({"state":"completed"})" : R"({"state":"running"})"});
        const adapter::commit_result result = co_await shared_.store.commit(report, commit_timeout);
        reported = result.outcome == adapter::commit_outcome::done;
        if (!reported)
        {
            co_await pause(shared_, milliseconds(300));
        }
    }
}

} // namespace lacewingquay::manager
