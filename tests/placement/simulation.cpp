#include "placement/simulation.hpp"

#include "placement/row.hpp"

#include <boost/json.hpp>

#include <algorithm>
#include <utility>

namespace lacewingquay::placement
{

namespace
{

constexpr milliseconds tick_length{100};
constexpr std::size_t pool_count = 3;

std::string host_name(std::size_t index)
{
    return "h" + std::to_string(index);
}

std::string pool_name(std::size_t index)
{
    return "p" + std::to_string(index % pool_count);
}

routing::member member_of(const std::string& id, std::int64_t started_at)
{
    return {id,
            id + "#" + std::to_string(started_at),
            simulation::zone,
            {"127.0.0.1", 7001},
            {"127.0.0.1", 7002}};
}

} // namespace

simulation::node::node(const std::string& id, std::int64_t started_at, std::size_t)
    : self(member_of(id, started_at)), members(self), lease(zone, self.incarnation),
      moves(zone, self.incarnation), peers(id, zone)
{
    members.enroll();
    placements.on_zones({zone});
}

simulation::simulation(driver_variant chosen) : variant_(chosen)
{
    for (std::size_t index = 0; index < pool_count; ++index)
    {
        configuration_.pools[pool_name(index)].name = pool_name(index);
    }
    for (std::size_t index = 0; index < host_count; ++index)
    {
        config::host& host = configuration_.hosts[host_name(index)];
        host.name = host_name(index);
        host.availability_zone = zone;
        host.initial_pool = pool_name(index);
    }
    table_.transact({{}, {{"config/head", "{}"}}});
    nodes_.resize(node_count);
    for (std::size_t index = 0; index < node_count; ++index)
    {
        restart(index);
    }
}

simulation::node& simulation::restart(std::size_t index)
{
    nodes_[index] = std::make_unique<node>("e" + std::to_string(index + 1), ++started_, index);
    nodes_[index]->moves.on_configuration(configuration_, 1);
    return *nodes_[index];
}

void simulation::fail(const std::string& what)
{
    if (violation_.empty())
    {
        violation_ = what;
    }
}

void simulation::run(const step& next)
{
    apply(next);
    for (std::size_t count = 0; count < next.ticks; ++count)
    {
        tick();
    }
}

void simulation::apply(const step& next)
{
    node& target = *nodes_[index_of(next)];
    const std::size_t host = next.argument % host_count;
    switch (next.kind)
    {
    case step_kind::pause:
        target.paused = true;
        break;
    case step_kind::pause_before_write:
        target.pause_before_write = true;
        break;
    case step_kind::resume:
        target.paused = false;
        break;
    case step_kind::cut_peers:
        target.peers_cut = true;
        break;
    case step_kind::heal_peers:
        target.peers_cut = false;
        break;
    case step_kind::cut_platform:
        target.platform_cut = true;
        break;
    case step_kind::heal_platform:
        target.platform_cut = false;
        break;
    case step_kind::platform_down:
        platform_down_ = true;
        break;
    case step_kind::platform_up:
        platform_down_ = false;
        break;
    case step_kind::lose_answers:
    case step_kind::drop_writes:
    case step_kind::delay_writes:
        write_fault_ = next.kind;
        faulty_writes_ = 1 + next.argument % 4;
        all_writes_faulty_ = next.argument < 4;
        break;
    case step_kind::replace:
        restart(index_of(next));
        break;
    case step_kind::kill:
        target.dead = true;
        target.grants.clear();
        break;
    case step_kind::operator_move:
        write_request(request_kind::move, host, next.argument / 2);
        break;
    case step_kind::operator_leave:
        write_request(request_kind::leave, host, 0);
        break;
    case step_kind::operator_return:
        write_request(request_kind::return_to_service, host, 0);
        break;
    case step_kind::operator_drain:
        write_request(request_kind::drain, host, 0);
        break;
    case step_kind::planner_move:
        target.moves.request({host_name(host), request_kind::move, pool_name(next.argument / 2)});
        break;
    case step_kind::list_leaving:
    case step_kind::list_live:
        listed_leaving_[host] = next.kind == step_kind::list_leaving;
        break;
    case step_kind::grant:
        if (!target.dead && !target.paused && target.registered_at && !target.refresh &&
            target.placements.is_read_since(*target.registered_at) &&
            target.placements.zones().contains(zone))
        {
            const zone_placement& row = target.placements.zones().at(zone);
            const host_placement& entry = row.hosts.at(host_name(host));
            if (entry.state == host_state::serving)
            {
                target.grants.push_back({host_name(host), entry.pool, row.epoch});
            }
        }
        break;
    case step_kind::release:
        target.grants.clear();
        break;
    case step_kind::nothing:
    case step_kind::count:
        break;
    }
}

std::size_t simulation::index_of(const step& next) const
{
    for (std::size_t index = 0; index < node_count && next.node == node_count; ++index)
    {
        if (nodes_[index]->lease.fence(now_) && !nodes_[index]->dead)
        {
            return index;
        }
    }
    return next.node % node_count;
}

void simulation::write_request(request_kind kind, std::size_t host, std::size_t pool)
{
    const std::string key = request_key(host_name(host));
    const std::string to = kind == request_kind::move ? pool_name(pool) : std::string();
    const request_row row{{host_name(host), kind, to}, "test", {}};
    const std::string write_id = "operator/" + std::to_string(++operator_writes_);
    // Overwrites a pending request as well, which the host commands never do.
    table_.transact({{{key, table_.version(key)}}, {{key, request_value(row, write_id)}}});
}

void simulation::tick()
{
    now_ += tick_length;
    std::vector<delayed_write> waiting = std::exchange(delayed_writes_, {});
    for (delayed_write& write : waiting)
    {
        if (write.due <= now_)
        {
            commit(write.changes, write.writer);
        }
        else
        {
            delayed_writes_.push_back(std::move(write));
        }
    }
    for (const std::unique_ptr<node>& current : nodes_)
    {
        if (!current->paused && !current->dead)
        {
            tick_node(*current);
        }
    }
}

void simulation::tick_node(node& current)
{
    // Responses and heartbeats received during a pause are handled after the tick of `peers`, which
    // detects the pause.
    std::deque<incoming> answers = std::exchange(current.inbox, {});
    std::deque<outgoing> requests = std::exchange(current.outbox, {});
    for (const outgoing& message : requests)
    {
        execute(current, message);
    }
    const membership::liveness_actions liveness = current.peers.on_tick(now_);
    if (liveness.refresh)
    {
        current.refresh = {*liveness.refresh, now_};
    }
    for (const membership::heartbeat& message : std::exchange(current.heartbeats, {}))
    {
        current.peers.on_heartbeat(now_, message);
        current.reports.on_heartbeat(now_, message);
    }
    for (const incoming& message : answers)
    {
        deliver(current, message);
    }
    if (current.refresh && current.placements.is_read_since(current.refresh->second))
    {
        current.peers.on_refreshed(current.refresh->first);
        current.refresh.reset();
    }
    platform::hosts_result host_list{platform::read_status::found, {}};
    for (std::size_t index = 0; index < host_count; ++index)
    {
        host_list.hosts.push_back({host_name(index), listed_leaving_[index]});
    }
    for (std::size_t index = 0; index < node_count; ++index)
    {
        host_list.hosts.push_back({"e" + std::to_string(index + 1), false});
    }
    current.moves.on_host_list(now_, host_list);
    current.members.on_host_list(now_, host_list);
    const std::vector<routing::member> members = current.members.members();
    current.peers.on_members(members);
    const std::optional<platform::row_check> fence = current.lease.fence(now_);
    send(current, core::lease, current.lease.on_tick(now_, current.peers.own_rank()));
    send(current, core::registry,
         current.members
             .on_tick(now_, fence, [&](std::string_view id) { return current.peers.is_live(id); })
             .table);
    if (current.members.status() == membership::registration::registered)
    {
        current.registered_at = current.registered_at.value_or(now_);
        send(current, core::follower, current.placements.on_tick(now_));
    }
    const membership::heartbeat own = heartbeat_of(current);
    current.reports.on_heartbeat(now_, own);
    for (const std::unique_ptr<node>& other : nodes_)
    {
        if (other.get() != &current && !other->dead && !other->peers_cut && !current.peers_cut &&
            other->heartbeats.size() < 1'000)
        {
            other->heartbeats.push_back(own);
        }
    }
    const membership::epoch_reports assumed = assumed_reports();
    const mover_inputs inputs{fence,
                              members,
                              current.members.members_epoch(),
                              variant_ == driver_variant::fixed_delay ? assumed : current.reports,
                              0,
                              0};
    send(current, core::mover, current.moves.on_tick(now_, inputs));
    if (current.pause_before_write &&
        std::any_of(current.outbox.begin(), current.outbox.end(),
                    [](const outgoing& message)
                    {
                        return message.owner == core::mover &&
                               std::holds_alternative<membership::table_write>(message.action);
                    }))
    {
        current.pause_before_write = false;
        current.paused = true;
    }
}

void simulation::deliver(node& current, const incoming& message)
{
    if (const auto* written = std::get_if<membership::write_result>(&message.result))
    {
        std::vector<membership::table_action> actions;
        switch (message.owner)
        {
        case core::registry:
            current.members.on_write_result(now_, *written, actions);
            break;
        case core::lease:
            actions = current.lease.on_write_result(now_, *written);
            break;
        case core::mover:
            actions = current.moves.on_write_result(now_, *written);
            break;
        case core::follower:
            break;
        }
        send(current, message.owner, std::move(actions));
    }
    else if (const auto* read = std::get_if<membership::read_result>(&message.result))
    {
        switch (message.owner)
        {
        case core::registry:
            current.members.on_read_result(now_, *read);
            break;
        case core::lease:
            send(current, core::lease, current.lease.on_read_result(now_, *read));
            break;
        case core::mover:
            current.moves.on_read_result(now_, *read);
            break;
        case core::follower:
            current.placements.on_read_result(*read);
            break;
        }
    }
    else if (const auto* list = std::get_if<membership::list_result>(&message.result))
    {
        current.moves.on_list_result(*list);
    }
}

void simulation::send(node& current, core owner, std::vector<membership::table_action> actions)
{
    for (membership::table_action& action : actions)
    {
        current.outbox.push_back({owner, std::move(action)});
    }
}

void simulation::execute(node& current, const outgoing& message)
{
    const bool reachable = !platform_down_ && !current.platform_cut;
    if (const auto* read = std::get_if<membership::table_read>(&message.action))
    {
        membership::read_result answer{read->action_id, {}};
        if (reachable)
        {
            answer.result = table_.read(read->key, read->not_version);
        }
        current.inbox.push_back({message.owner, answer});
    }
    else if (const auto* list = std::get_if<membership::table_list>(&message.action))
    {
        membership::list_result answer{list->action_id, {}};
        if (reachable)
        {
            answer.result = table_.list(list->prefix);
        }
        current.inbox.push_back({message.owner, answer});
    }
    else if (const auto* changes = std::get_if<membership::table_write>(&message.action))
    {
        if (reachable)
        {
            write(current, message.owner, *changes);
            return;
        }
        current.inbox.push_back(
            {message.owner,
             membership::write_result{changes->action_id,
                                      {platform::transact_status::not_written, {}, {}}}});
    }
}

void simulation::write(node& current, core owner, const membership::table_write& action)
{
    platform::transaction changes = action.changes;
    if (variant_ == driver_variant::no_fence && owner == core::mover)
    {
        std::erase_if(changes.checks, [](const platform::row_check& check)
                      { return check.key.starts_with("lease/"); });
    }
    const std::string& writer = current.self.incarnation;
    platform::transact_result result;
    const bool is_faulty = faulty_writes_ > 0 && (all_writes_faulty_ || owner == core::mover);
    const step_kind fault = is_faulty ? write_fault_ : step_kind::nothing;
    faulty_writes_ -= is_faulty ? 1 : 0;
    if (fault == step_kind::delay_writes)
    {
        delayed_writes_.push_back(
            {now_ + milliseconds{4'000} * static_cast<int>(1 + faulty_writes_), changes, writer});
    }
    else if (fault != step_kind::drop_writes)
    {
        result = commit(changes, writer);
    }
    if (fault != step_kind::nothing)
    {
        result = {};
    }
    if (fault != step_kind::nothing && owner == core::mover &&
        variant_ == driver_variant::blind_retry)
    {
        for (platform::row_check& check : changes.checks)
        {
            // The lease check is kept, so that this variant differs from `no_fence`.
            check.version =
                check.key.starts_with("lease/") ? check.version : table_.version(check.key);
        }
        result = commit(changes, writer);
    }
    current.inbox.push_back({owner, membership::write_result{action.action_id, result}});
}

membership::heartbeat simulation::heartbeat_of(const node& current) const
{
    membership::heartbeat message;
    message.id = current.self.id;
    message.incarnation = current.self.incarnation;
    message.availability_zone = zone;
    message.members_epoch = current.members.members_epoch();
    const std::map<std::string, zone_placement, std::less<>>::const_iterator row =
        current.placements.zones().find(zone);
    if (row != current.placements.zones().end())
    {
        membership::placement_use& use = message.placement[zone];
        use = {row->second.epoch, row->second.epoch};
        for (const grant& held : current.grants)
        {
            // A grant on a host that still serves the same pool in the newest row does not block
            // a drain.
            const host_placement& entry = row->second.hosts.at(held.host);
            if (entry.state != host_state::serving || entry.pool != held.pool)
            {
                message.busy_draining_hosts.insert(held.host);
            }
        }
    }
    return message;
}

membership::epoch_reports simulation::assumed_reports() const
{
    membership::epoch_reports reports;
    std::uint64_t epoch = 0;
    for (const std::pair<steady_time, std::uint64_t>& item : epochs_)
    {
        epoch = now_ - item.first >= milliseconds{3'000} ? item.second : epoch;
    }
    for (const std::unique_ptr<node>& other : nodes_)
    {
        membership::heartbeat message = heartbeat_of(*other);
        message.placement[zone] = {epoch, epoch};
        message.busy_draining_hosts.clear();
        reports.on_heartbeat(now_ - milliseconds{2'000}, message);
        reports.on_heartbeat(now_, message);
    }
    return reports;
}

} // namespace lacewingquay::placement
