#include "dispatch/driver.hpp"

#include <algorithm>

namespace lacewingquay::dispatch
{

namespace
{

constexpr milliseconds run_limit{800};
constexpr milliseconds tick_interval{10};
constexpr milliseconds in_zone_failure_timeout{600};
constexpr milliseconds cross_zone_failure_timeout{3'000};

} // namespace

struct driver::timed_event
{
    steady_time time;
    std::uint64_t sequence = 0;
    std::shared_ptr<std::function<void()>> action;

    friend bool operator>(const timed_event& left, const timed_event& right)
    {
        return left.time != right.time ? left.time > right.time : left.sequence > right.sequence;
    }
};

struct driver::entry_host
{
    std::string id;
    std::string zone;
    std::string incarnation;
    std::unique_ptr<node> core;
    std::uint64_t restart_count = 0;
    bool alive = false;
    steady_time paused_until;
    std::vector<std::function<void()>> backlog;
    /// Incarnation and time of the last heartbeat of each entry host.
    std::map<std::string, std::pair<std::string, steady_time>> last_heartbeat;
    std::vector<name_id> live_before;
    std::shared_ptr<const routing::snapshot> snapshot;
    std::shared_ptr<const routing::snapshot> applied;
    /// Deadline of each open request.
    std::map<std::uint64_t, steady_time> open_requests;
    std::map<std::uint64_t, std::pair<name_id, std::uint64_t>> jobs;
    std::map<std::pair<name_id, name_id>, term_id> accepted_term;
    /// Drain state in its latest heartbeat.
    std::uint64_t lowest_version = 0;
    std::vector<std::string> busy;
};

struct driver::job
{
    steady_time until;
    std::uint64_t restart_count = 0;
    std::string holder;
    bool hangs = false;
    steady_time run_until;
};

struct driver::backend
{
    std::uint32_t slots = 0;
    std::string zone;
    std::optional<steady_time> leaves_at;
    std::map<std::uint64_t, job> jobs;
};

std::ostream& operator<<(std::ostream& out, const fault& shown)
{
    return out << "{kind " << static_cast<int>(shown.kind) << " at " << shown.at.count()
               << " ms for " << shown.length.count() << " ms, target " << shown.target << "}";
}

settings short_settings()
{
    settings core_settings;
    core_settings.max_run_limit = run_limit;
    core_settings.abandon_hold = milliseconds{1'000};
    return core_settings;
}

driver::driver(driver_options options) : options_(std::move(options)), random_(options_.seed)
{
    snapshot_ = std::make_shared<routing::snapshot>();
    snapshot_->spare_pool = "spare";
    for (const std::string name : {"a", "b"})
    {
        snapshot_->services[name].name = name;
        snapshot_->services[name].pool = name;
    }
    for (std::size_t z = 0; z < options_.zones.size(); ++z)
    {
        const std::string zone = "z" + std::to_string(z);
        snapshot_->placement_epochs[zone] = 1;
        for (std::uint32_t i = 0; i < options_.zones[z]; ++i)
        {
            hosts_.push_back(std::make_unique<entry_host>());
            hosts_.back()->id = "e" + std::to_string(z) + std::to_string(i);
            hosts_.back()->zone = zone;
        }
        for (const std::string pool : {"a", "b", "spare"})
        {
            for (std::uint32_t i = 0; i < options_.hosts_per_zone; ++i)
            {
                routing::backend_server server;
                server.name = pool + std::to_string(z) + std::to_string(i);
                server.availability_zone = zone;
                server.pool = pool;
                server.slots = options_.slots;
                backends_[names_.intern(server.name)] = std::make_unique<backend>();
                backends_[names_.intern(server.name)]->slots = options_.slots;
                backends_[names_.intern(server.name)]->zone = zone;
                snapshot_->backend_servers.push_back(server);
            }
        }
    }
}

driver::~driver() = default;

milliseconds driver::random_ms(int low, int high)
{
    return milliseconds{std::uniform_int_distribution<int>(low, high)(random_)};
}

void driver::add_violation(const std::string& text)
{
    if (violations.size() < 5)
    {
        const auto since =
            std::chrono::duration_cast<milliseconds>(now_ - steady_time{std::chrono::hours{1}});
        violations.push_back(std::to_string(since.count()) + " ms: " + text);
    }
}

void driver::schedule(steady_time time, std::function<void()> work)
{
    events_.push(
        timed_event{time, ++sequence_, std::make_shared<std::function<void()>>(std::move(work))});
}

void driver::schedule_on(steady_time time, entry_host& host, std::function<void()> work)
{
    schedule(time,
             [this, &host, restart_count = host.restart_count, work = std::move(work)]
             {
                 if (!host.alive || host.restart_count != restart_count)
                 {
                     return;
                 }
                 if (now_ < host.paused_until)
                 {
                     host.backlog.push_back(work);
                     return;
                 }
                 work();
             });
}

void driver::run()
{
    const steady_time begin = now_;
    for (const std::unique_ptr<entry_host>& host : hosts_)
    {
        start(*host);
    }
    for (const fault& next : options_.faults)
    {
        schedule(begin + next.at, [this, next] { apply(next); });
    }
    while (!events_.empty() && violations.size() < 5)
    {
        const timed_event next = events_.top();
        if (next.time > begin + options_.length)
        {
            break;
        }
        events_.pop();
        now_ = next.time;
        (*next.action)();
    }
    for (const std::unique_ptr<entry_host>& host : hosts_)
    {
        for (const auto& [id, deadline] : host->open_requests)
        {
            if (host->alive && now_ >= host->paused_until && now_ > deadline + 2 * tick_interval)
            {
                add_violation("request at " + host->id + " has no response");
            }
        }
    }
}

void driver::start(entry_host& host)
{
    const std::string replaced = host.incarnation;
    ++host.restart_count;
    host.incarnation = host.id + "#" + std::to_string(host.restart_count);
    host.alive = true;
    host.last_heartbeat.clear();
    host.open_requests.clear();
    host.jobs.clear();
    host.accepted_term.clear();
    host.backlog.clear();
    host.live_before.clear();
    host.busy.clear();
    host.lowest_version = 0;
    host.core =
        std::make_unique<node>(names_, options_.core_settings, names_.intern(host.id),
                               names_.intern(host.incarnation), names_.intern(host.zone), now_);
    if (!replaced.empty())
    {
        host.core->assume_lost(now_, names_.intern(replaced));
    }
    std::shared_ptr<routing::snapshot> updated = std::make_shared<routing::snapshot>(*snapshot_);
    std::erase_if(updated->members,
                  [&](const routing::member& member) { return member.id == host.id; });
    routing::member registered;
    registered.id = host.id;
    registered.incarnation = host.incarnation;
    registered.availability_zone = host.zone;
    updated->members.push_back(registered);
    std::sort(updated->members.begin(), updated->members.end(),
              [](const routing::member& left, const routing::member& right)
              { return left.id < right.id; });
    ++updated->config_epoch;
    snapshot_ = updated;
    host.snapshot = snapshot_;
    publish();
    refresh(host);
    schedule_on(now_ + random_ms(0, 10), host, [this, &host] { tick(host); });
    schedule_on(now_ + random_ms(0, 5), host, [this, &host] { send_heartbeat(host); });
    schedule_on(now_ + random_ms(0, 20), host, [this, &host] { on_arrival(host); });
}

void driver::publish()
{
    for (const std::unique_ptr<entry_host>& host : hosts_)
    {
        if (host->alive)
        {
            schedule_on(now_ + random_ms(0, 1'500), *host,
                        [this, &target = *host, snapshot = snapshot_]
                        {
                            if (target.snapshot->config_epoch < snapshot->config_epoch)
                            {
                                target.snapshot = snapshot;
                                refresh(target);
                            }
                        });
        }
    }
}

void driver::apply(const fault& next)
{
    entry_host& host = *hosts_[next.target % hosts_.size()];
    switch (next.kind)
    {
    case fault_kind::kill_and_restart:
        kill(host, next.length);
        break;
    case fault_kind::pause:
        pause(host, next.length);
        break;
    case fault_kind::partition:
        partitioned_until_[host.zone] = now_ + next.length;
        break;
    case fault_kind::backend_leaves:
        remove_backend(next.target);
        break;
    case fault_kind::move_backend:
        begin_move(next.target);
        break;
    }
}

void driver::kill(entry_host& host, milliseconds downtime)
{
    if (!host.alive)
    {
        return;
    }
    host.alive = false;
    host.paused_until = now_;
    // Requests that it sent may run until their limit; it can no longer abandon them.
    for (const auto& [handle, location] : host.jobs)
    {
        backend& server = *backends_[location.first];
        const auto running = server.jobs.find(location.second);
        if (running != server.jobs.end())
        {
            running->second.until = running->second.run_until;
        }
    }
    schedule(now_ + downtime, [this, &host] { start(host); });
}

void driver::pause(entry_host& host, milliseconds length)
{
    if (!host.alive || now_ < host.paused_until)
    {
        return;
    }
    host.paused_until = now_ + length;
    schedule(host.paused_until,
             [&host, restart_count = host.restart_count]
             {
                 if (host.restart_count != restart_count || !host.alive)
                 {
                     return;
                 }
                 std::vector<std::function<void()>> waiting;
                 waiting.swap(host.backlog);
                 for (const std::function<void()>& work : waiting)
                 {
                     work();
                 }
             });
}

void driver::remove_backend(std::uint32_t target)
{
    std::shared_ptr<routing::snapshot> updated = std::make_shared<routing::snapshot>(*snapshot_);
    routing::backend_server& server =
        updated->backend_servers[target % updated->backend_servers.size()];
    if (server.state != placement::host_state::serving)
    {
        return;
    }
    server.state = placement::host_state::leaving;
    ++updated->placement_epochs[server.availability_zone];
    backends_[names_.intern(server.name)]->leaves_at = now_;
    ++updated->config_epoch;
    snapshot_ = updated;
    publish();
}

void driver::begin_move(std::uint32_t target)
{
    std::shared_ptr<routing::snapshot> updated = std::make_shared<routing::snapshot>(*snapshot_);
    routing::backend_server& server =
        updated->backend_servers[target % updated->backend_servers.size()];
    if (server.state != placement::host_state::serving)
    {
        return;
    }
    server.state = placement::host_state::draining;
    const std::uint64_t epoch = ++updated->placement_epochs[server.availability_zone];
    ++updated->config_epoch;
    snapshot_ = updated;
    publish();
    finish_move(server.name, server.pool == "a" ? "b" : "a", epoch);
}

void driver::finish_move(const std::string& name, const std::string& pool, std::uint64_t epoch)
{
    std::shared_ptr<routing::snapshot> updated = std::make_shared<routing::snapshot>(*snapshot_);
    const auto server =
        std::find_if(updated->backend_servers.begin(), updated->backend_servers.end(),
                     [&](const routing::backend_server& entry) { return entry.name == name; });
    bool drained = true;
    for (const std::unique_ptr<entry_host>& host : hosts_)
    {
        const bool busy = std::find(host->busy.begin(), host->busy.end(), name) != host->busy.end();
        if (host->zone == server->availability_zone && (host->lowest_version < epoch || busy))
        {
            drained = false;
        }
    }
    if (!drained)
    {
        schedule(now_ + milliseconds{100},
                 [this, name, pool, epoch] { finish_move(name, pool, epoch); });
        return;
    }
    ++moves;
    server->pool = pool;
    server->state = placement::host_state::serving;
    ++updated->placement_epochs[server->availability_zone];
    ++updated->config_epoch;
    snapshot_ = updated;
    publish();
}

bool driver::is_partitioned(const std::string& left, const std::string& right) const
{
    const auto partitioned = [this](const std::string& zone)
    {
        const auto found = partitioned_until_.find(zone);
        return found != partitioned_until_.end() && now_ < found->second;
    };
    return left != right && (partitioned(left) || partitioned(right));
}

void driver::tick(entry_host& host)
{
    actions produced;
    host.core->tick(now_, produced);
    process_actions(host, produced);
    refresh(host);
    for (const auto& [id, deadline] : host.open_requests)
    {
        if (now_ > deadline + 2 * tick_interval)
        {
            add_violation("response to a request at " + host.id + " is late");
            break;
        }
    }
    schedule_on(now_ + tick_interval, host, [this, &host] { tick(host); });
}

void driver::send_heartbeat(entry_host& host)
{
    for (const std::unique_ptr<entry_host>& other : hosts_)
    {
        if (other.get() == &host || !other->alive || is_partitioned(host.zone, other->zone))
        {
            continue;
        }
        schedule_on(
            now_ + random_ms(0, 5), *other,
            [this, &to = *other, id = host.id, from = host.incarnation, terms = host.core->terms()]
            {
                to.last_heartbeat[id] = {from, now_};
                for (const domain_term& term : terms)
                {
                    to.core->observe_term(term);
                }
            });
    }
    const std::uint64_t lowest = host.core->dispatcher_state().lowest_placement_version(now_);
    const std::vector<std::string> busy = host.core->dispatcher_state().busy_draining_hosts(now_);
    schedule(now_ + random_ms(0, 5),
             [&host, lowest, busy, restart_count = host.restart_count]
             {
                 if (host.restart_count == restart_count)
                 {
                     host.lowest_version = lowest;
                     host.busy = busy;
                 }
             });
    schedule_on(now_ + milliseconds{200}, host, [this, &host] { send_heartbeat(host); });
}

void driver::refresh(entry_host& host)
{
    std::vector<live_entry_host> live;
    std::vector<name_id> incarnations;
    for (const std::unique_ptr<entry_host>& other : hosts_)
    {
        const auto last_heartbeat = host.last_heartbeat.find(other->id);
        const milliseconds limit =
            other->zone == host.zone ? in_zone_failure_timeout : cross_zone_failure_timeout;
        const bool self = other.get() == &host;
        if (self || (last_heartbeat != host.last_heartbeat.end() &&
                     now_ - last_heartbeat->second.second < limit))
        {
            const std::string& incarnation = self ? host.incarnation : last_heartbeat->second.first;
            live.push_back(live_entry_host{names_.intern(other->id), names_.intern(incarnation),
                                           names_.intern(other->zone), false});
            incarnations.push_back(live.back().incarnation);
        }
    }
    if (incarnations == host.live_before && host.applied == host.snapshot)
    {
        return;
    }
    host.live_before = incarnations;
    host.applied = host.snapshot;
    actions produced;
    host.core->update(now_, *host.snapshot, live, produced);
    process_actions(host, produced);
}

void driver::on_arrival(entry_host& host)
{
    slot_requirements requirements;
    requirements.service = names_.intern(random_() % 2 == 0 ? "a" : "b");
    requirements.urgency = static_cast<config::priority>(random_() % 3);
    requirements.deadline = now_ + random_ms(20, 1'200);
    requirements.run_limit = run_limit;
    actions produced;
    const std::uint64_t id = host.core->request(now_, requirements, produced);
    host.open_requests[id] = requirements.deadline;
    process_actions(host, produced);
    const double gap = std::exponential_distribution<double>(options_.rate / 1e3)(random_);
    schedule_on(now_ + std::chrono::microseconds{static_cast<std::int64_t>(gap * 1e3) + 1}, host,
                [this, &host] { on_arrival(host); });
}

void driver::process_actions(entry_host& host, actions& produced)
{
    for (action& next : produced)
    {
        if (send_message* sent = std::get_if<send_message>(&next))
        {
            send(host, std::move(*sent));
            continue;
        }
        const slot_granted* granted = std::get_if<slot_granted>(&next);
        const std::uint64_t id =
            granted != nullptr ? granted->request_id : std::get<slot_refused>(next).request_id;
        if (host.open_requests.erase(id) != 1)
        {
            add_violation("second response to a request at " + host.id);
        }
        if (granted == nullptr)
        {
            ++refused;
            continue;
        }
        const term_id accepted_term =
            host.accepted_term[{granted->pool, granted->availability_zone}];
        if (is_higher(names_, accepted_term, granted->term))
        {
            add_violation("start under an outdated term at " + host.id);
        }
        // The traffic side checks `start_by` immediately before it writes.
        schedule_on(now_ + random_ms(0, random_() % 10 == 0 ? 40 : 1), host,
                    [this, &host, copy = *granted] { begin_job(host, copy); });
    }
}

void driver::send(entry_host& from, send_message&& sent)
{
    const auto to = std::find_if(hosts_.begin(), hosts_.end(),
                                 [&](const std::unique_ptr<entry_host>& host)
                                 { return names_.intern(host->incarnation) == sent.to; });
    if (const grant_report* report = std::get_if<grant_report>(&sent.payload))
    {
        term_id& accepted_term = from.accepted_term[{report->pool, report->availability_zone}];
        const term_id term{report->term, sent.to};
        accepted_term = is_higher(names_, term, accepted_term) ? term : accepted_term;
    }
    if (to == hosts_.end() || !(*to)->alive || is_partitioned(from.zone, (*to)->zone))
    {
        return;
    }
    const bool same_zone = from.zone == (*to)->zone;
    const int slow = random_() % 50 == 0 ? 60'000 : (same_zone ? 1'000 : 6'000);
    const std::chrono::microseconds delay{std::uniform_int_distribution<int>(50, slow)(random_)};
    steady_time& last = last_delivery_[{names_.intern(from.incarnation), sent.to}];
    last = std::max(last + std::chrono::nanoseconds{1}, now_ + delay);
    schedule_on(last, **to,
                [this, &target = **to, sender = names_.intern(from.incarnation),
                 payload = std::move(sent.payload)]
                {
                    actions produced;
                    target.core->handle(now_, sender, payload, produced);
                    process_actions(target, produced);
                });
}

void driver::begin_job(entry_host& host, const slot_granted& granted)
{
    if (now_ >= granted.start_by && !options_.core_settings.faults.skip_start_by)
    {
        actions produced;
        host.core->release(now_, granted.handle, traffic::slot_outcome::unused, milliseconds{0},
                           produced);
        process_actions(host, produced);
        return;
    }
    ++started;
    backend& server = *backends_[granted.host];
    std::erase_if(server.jobs, [this](const auto& entry) { return entry.second.until <= now_; });
    if (server.jobs.size() >= server.slots)
    {
        add_violation("more requests than slots at " + names_.text(granted.host) + ", started by " +
                      host.id);
    }
    if (server.leaves_at && now_ > *server.leaves_at + milliseconds{3'000})
    {
        add_violation("start on a host that left 3 s ago");
    }
    const double drawn =
        std::exponential_distribution<double>(1.0 / options_.mean_service_ms)(random_);
    const bool hangs = random_() % 200 == 0;
    const milliseconds limit = std::max(
        milliseconds{1}, std::chrono::duration_cast<milliseconds>(granted.run_until - now_));
    const milliseconds runs =
        hangs ? limit : std::min(limit, milliseconds{static_cast<std::int64_t>(drawn) + 1});
    const std::uint64_t id = ++sequence_;
    server.jobs[id] =
        job{now_ + runs + (hangs ? options_.core_settings.abandon_hold : milliseconds{0}),
            host.restart_count, host.id, hangs, granted.run_until};
    host.jobs[granted.handle] = {granted.host, id};
    schedule_on(now_ + runs, host,
                [this, &host, handle = granted.handle] { end_job(host, handle); });
    // A paused holder cannot report an abandoned request.
    schedule(now_ + runs,
             [this, &host, &server, id]
             {
                 const auto running = server.jobs.find(id);
                 if (running != server.jobs.end() && now_ < host.paused_until)
                 {
                     running->second.until = now_;
                 }
             });
}

void driver::end_job(entry_host& host, std::uint64_t handle)
{
    const auto [server, id] = host.jobs.at(handle);
    host.jobs.erase(handle);
    const auto running = backends_[server]->jobs.find(id);
    const bool hangs = running != backends_[server]->jobs.end() && running->second.hangs;
    const bool failed = random_() % 20 == 0;
    if (running != backends_[server]->jobs.end() &&
        (!hangs || is_partitioned(host.zone, backends_[server]->zone)))
    {
        // A partitioned holder cannot report an abandoned request.
        backends_[server]->jobs.erase(running);
    }
    actions produced;
    host.core->release(now_, handle,
                       hangs    ? traffic::slot_outcome::abandoned
                       : failed ? traffic::slot_outcome::failed
                                : traffic::slot_outcome::succeeded,
                       milliseconds{20}, produced);
    process_actions(host, produced);
}

} // namespace lacewingquay::dispatch
