#include "core/json.hpp"
#include "core/log.hpp"
#include "core/parse_or_log.hpp"
#include "manager/fleet_controller.hpp"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

#include <algorithm>
#include <utility>

namespace lacewingquay::manager
{

namespace
{

constexpr std::string_view orders_key = "orders";
/// Orders are answered within milliseconds; a later answer counts as lost.
constexpr milliseconds order_timeout{900};
/// Timeout of the call that checks whether a server has ended after an order.
constexpr milliseconds check_timeout{400};
/// Safety margin on the machine lease between the orders of two owners.
constexpr milliseconds takeover_margin{400};
/// Pause between attempts to store the state of a wave.
constexpr milliseconds wave_retry_pause{300};
/// An order is sent within this time of the time that its record names, or not at all.
constexpr milliseconds send_limit{1'000};

/// Stored progress of a wave.
struct wave_progress
{
    std::set<std::string> done;
    /// Start of the wave on the store's steady clock.
    milliseconds started_at{0};
};

boost::leaf::result<wave_progress> parse_wave_progress(std::string_view text)
{
    BOOST_LEAF_AUTO(body, parse_json_object(text, "wave"));
    json_reader reader(body, "wave");
    wave_progress result;
    BOOST_LEAF_AUTO(done, reader.array("done"));
    for (const boost::json::value& name : *done)
    {
        if (name.is_string())
        {
            result.done.emplace(name.get_string());
        }
    }
    BOOST_LEAF_AUTO(started_at, reader.integer("begun_ms", 0, 1'000'000'000'000));
    result.started_at = milliseconds(started_at);
    return result;
}

} // namespace

boost::asio::awaitable<bool> fleet_controller::load_orders()
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
    const adapter::row& stored = row.rows.front();
    const std::optional<boost::json::object> body =
        parse_or_log("orders_unreadable", stored.key, stored.version,
                     [&] { return parse_json_object(stored.value, "orders"); });
    for (const boost::json::key_value_pair& entry : body.value_or(boost::json::object()))
    {
        // An invalid time counts as now, which reserves the machine for the longest possible time.
        constexpr std::int64_t max_time_ms = 1'000'000'000'000;
        boost::system::error_code error;
        const std::int64_t at = entry.value().to_number<std::int64_t>(error);
        const bool is_valid = !error && at >= 0 && at <= max_time_ms;
        const milliseconds age =
            is_valid ? std::max(milliseconds(0), shared_.store_time() - milliseconds(at))
                     : milliseconds(0);
        reserved_until_[entry.key()] = shared_.now() - age + order_memory();
    }
    co_return true;
}

std::map<std::string, steady_time> fleet_controller::recent_orders() const
{
    std::map<std::string, steady_time> result;
    const steady_time oldest = shared_.now() - order_memory();
    for (const auto& entry : machines_)
    {
        if (entry.second.ordered_at > oldest)
        {
            result[entry.first] = entry.second.ordered_at;
        }
    }
    for (const auto& entry : reserved_until_)
    {
        const steady_time ordered_at = entry.second - order_memory();
        if (ordered_at > oldest)
        {
            steady_time& latest = result.try_emplace(entry.first, ordered_at).first->second;
            latest = std::max(latest, ordered_at);
        }
    }
    return result;
}

boost::asio::awaitable<bool> fleet_controller::store_orders()
{
    // A transaction that is repeated takes long, so the record names the latest attempt.
    for (const std::string& name : planned_orders_)
    {
        const auto found = machines_.find(name);
        if (found != machines_.end())
        {
            found->second.ordered_at = shared_.now();
        }
    }
    boost::json::object body;
    for (const auto& entry : recent_orders())
    {
        const milliseconds age =
            std::chrono::duration_cast<milliseconds>(shared_.now() - entry.second);
        body[entry.first] = (shared_.store_time() - age).count();
    }
    adapter::transaction work;
    work.conditions.push_back(
        {std::string(owner_table), std::string(owner_key), owner_->owner_version()});
    work.writes.push_back(
        {std::string(fleet_table), std::string(orders_key), boost::json::serialize(body)});
    const adapter::commit_result result = co_await shared_.store.commit(work, commit_timeout);
    co_return result.outcome == adapter::commit_outcome::done;
}

void fleet_controller::limit_planned_orders()
{
    // Punctuation and the time.
    constexpr std::size_t entry_overhead = 24;
    std::size_t bytes = entry_overhead;
    for (const auto& entry : recent_orders())
    {
        bytes += entry.first.size() + entry_overhead;
    }
    while (bytes > shared_.config.max_row_bytes && !planned_orders_.empty())
    {
        bytes -= planned_orders_.back().size() + entry_overhead;
        const std::string name = planned_orders_.back();
        planned_orders_.pop_back();
        cancel_order(name);
        machines_[name].ordered_at = {};
    }
}

milliseconds fleet_controller::order_memory() const
{
    return send_limit + shared_.config.machine_lease + takeover_margin;
}

boost::asio::awaitable<void> fleet_controller::send_planned_orders()
{
    if (planned_orders_.empty())
    {
        co_return;
    }
    limit_planned_orders();
    // A concurrent renewal of the owner's row makes this transaction conflict, hence the retries.
    constexpr int attempts = 3;
    bool stored = false;
    for (int attempt = 0; attempt < attempts && !stored && !owner_->ended(); ++attempt)
    {
        stored = co_await store_orders();
    }
    for (const std::string& name : std::exchange(planned_orders_, {}))
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

void fleet_controller::cancel_order(const std::string& name)
{
    machine_entry& machine = machines_[name];
    machine.ordered = false;
    machine.drain_target_pool.clear();
    scheduler::server_state* server = server_of(name);
    if (server != nullptr)
    {
        mark(*server);
    }
}

void fleet_controller::prepare_order(order_kind kind, const std::string& name,
                                     const std::string& pool, std::int64_t wave)
{
    machine_entry& machine = machines_[name];
    machine.ordered = true;
    machine.confirmed = false;
    machine.drain_target_pool.clear();
    machine.kind = kind;
    machine.target_pool = pool;
    machine.wave = wave;
    machine.ordered_at = shared_.now();
    machine.former_server.clear();
    machine.former_born = 0;
    scheduler::server_state* server = server_of(name);
    if (server != nullptr)
    {
        machine.former_server = server->info.id;
        machine.former_born = server->info.born;
        mark(*server);
    }
    planned_orders_.push_back(name);
}

boost::asio::awaitable<fleet::order_effect> fleet_controller::check_former_server(std::string id,
                                                                                  std::int64_t born)
{
    const std::shared_ptr<fleet_controller> self = shared_from_this();
    scheduler::server_state* server = owner_->job_scheduler().find_server(id);
    if (server == nullptr || server->info.endpoint.port == 0)
    {
        co_return fleet::order_effect::unknown;
    }
    adapter::hold_call call;
    call.server = id;
    call.where = server->info.endpoint;
    call.fencing_token = owner_->term();
    call.acknowledged_ends = server->ends_stored;
    const adapter::hold_result result = co_await shared_.workers.hold(call, check_timeout);
    std::optional<std::int64_t> reported_born;
    if (result.outcome == worker::order_outcome::accepted)
    {
        reported_born = result.report->born;
    }
    co_return fleet::effect_of_order(born, reported_born,
                                     result.outcome == worker::order_outcome::other_server);
}

boost::asio::awaitable<void> fleet_controller::apply_confirmed_order(order_kind kind,
                                                                     std::string machine)
{
    const std::shared_ptr<fleet_controller> self = shared_from_this();
    scheduler::scheduler& jobs = owner_->job_scheduler();
    const std::string id = machines_[machine].former_server;
    const std::int64_t born = machines_[machine].former_born;
    const auto has_runs = [&]
    {
        const scheduler::server_state* server = jobs.find_server(id);
        return server != nullptr && !server->tasks.empty();
    };
    fleet::order_effect effect = fleet::order_effect::unknown;
    // An idle machine that moves is not worth a call: it is in another pool now, so the server in
    // its former pool has ended.
    if (kind == order_kind::maintain || has_runs())
    {
        effect = co_await check_former_server(id, born);
    }
    if (owner_->ended())
    {
        co_return;
    }
    if (effect == fleet::order_effect::already_done)
    {
        log_event(log_level::info, "machine_order_done_before", {{"machine", machine}});
        const auto found = machines_.find(machine);
        if (found != machines_.end())
        {
            found->second.listed.state = fleet::machine_state::up;
            cancel_order(machine);
        }
    }
    else if (effect == fleet::order_effect::ended || (kind == order_kind::move && !has_runs()))
    {
        jobs.end_incarnation(id, born, shared_.now());
    }
    else
    {
        // The server may live, as after a maintenance that was done before, and its runs may go on
        // until their lease has expired. If it lives, it registers again.
        jobs.remove_server(id, shared_.now());
    }
}

bool fleet_controller::is_order_due(order_kind kind, const std::string& name)
{
    const auto found = machines_.find(name);
    if (found == machines_.end() || !found->second.ordered ||
        shared_.now() - found->second.ordered_at >= send_limit)
    {
        return false;
    }
    const scheduler::server_state* server = server_of(name);
    return server == nullptr ||
           (kind == order_kind::move ? server->tasks.empty()
                                     : owner_->job_scheduler().can_interrupt(*server));
}

boost::asio::awaitable<void> fleet_controller::order(order_kind kind, std::string machine,
                                                     std::string pool, std::int64_t wave)
{
    const std::shared_ptr<fleet_controller> self = shared_from_this();
    adapter::machine_outcome outcome = adapter::machine_outcome::refused;
    const auto may_send = [self, kind, machine]
    {
        return self->owner_->may_order_machines() && self->is_order_due(kind, machine);
    };
    if (may_send())
    {
        if (kind == order_kind::move)
        {
            outcome = co_await shared_.machines.move(machine, pool, owner_->term(), order_timeout,
                                                     may_send);
        }
        else
        {
            outcome = co_await shared_.machines.maintain(machine, wave, owner_->term(),
                                                         order_timeout, may_send);
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
        if (kind == order_kind::maintain)
        {
            entry.draining_for_wave = 0;
            waves_[wave].done.insert(machine);
            entry.listed.state = fleet::machine_state::maintenance;
        }
        co_await apply_confirmed_order(kind, machine);
        if (kind == order_kind::maintain && !owner_->ended())
        {
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
        // A later list shows whether the order was carried out; until then it counts as in flight.
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
        entry.draining_for_wave = 0;
    }
    cancel_order(machine);
}

boost::asio::awaitable<void> fleet_controller::load_waves()
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
            const adapter::row& stored = row.rows.front();
            const std::optional<wave_progress> known =
                parse_or_log("wave_unreadable", stored.key, stored.version,
                             [&] { return parse_wave_progress(stored.value); });
            if (known)
            {
                wave.done = known->done;
                wave.started_at = shared_.now() - (shared_.store_time() - known->started_at);
            }
        }
        // Not awaited: it is repeated for as long as the store refuses it.
        boost::asio::co_spawn(
            shared_.io,
            [self = shared_from_this(), number = entry.first] { return self->store_wave(number); },
            boost::asio::detached);
    }
}

boost::asio::awaitable<void> fleet_controller::store_wave(std::int64_t number)
{
    const std::shared_ptr<fleet_controller> self = shared_from_this();
    const std::string name = "wave/" + std::to_string(number);
    wave_entry& wave = waves_[number];
    // Another owner may have stored more since this one was last confirmed.
    while (!owner_->may_order_machines() && !owner_->ended())
    {
        co_await sleep_for(shared_, wave_retry_pause);
    }
    if (owner_->ended())
    {
        co_return;
    }
    boost::json::array done;
    // The state besides the names. Repeating the order for a machine that is left out has no
    // effect.
    constexpr std::size_t reserved = 64;
    std::size_t bytes = reserved;
    for (const std::string& machine : wave.done)
    {
        bytes += boost::json::serialize(boost::json::string(machine)).size() + 1;
        if (bytes > shared_.config.max_row_bytes)
        {
            break;
        }
        done.emplace_back(machine);
    }
    const milliseconds started_at = shared_.store_time() - std::chrono::duration_cast<milliseconds>(
                                                               shared_.now() - wave.started_at);
    const boost::json::object body{{"done", std::move(done)}, {"begun_ms", started_at.count()}};
    adapter::transaction work;
    work.writes.push_back({std::string(fleet_table), name, boost::json::serialize(body)});
    // A failed commit is not retried: maintenance orders are idempotent, so repeating one for a
    // finished machine has no effect.
    co_await shared_.store.commit(work, commit_timeout);
    bool& reported = wave.completed ? wave.stored_completed : wave.stored_running;
    while (!reported && !owner_->ended())
    {
        adapter::transaction report;
        report.writes.push_back(
            {std::string(status_table), name,
             wave.completed ? R"({"state":"completed"})" : R"({"state":"running"})"});
        if (owner_->may_order_machines())
        {
            const adapter::commit_result result =
                co_await shared_.store.commit(report, commit_timeout);
            reported = result.outcome == adapter::commit_outcome::done;
        }
        if (!reported)
        {
            co_await sleep_for(shared_, wave_retry_pause);
        }
    }
}

} // namespace lacewingquay::manager
