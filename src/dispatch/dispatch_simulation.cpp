#include "dispatch/dispatch_simulation.hpp"

#include <algorithm>
#include <string>
#include <utility>

namespace lacewingquay::dispatch
{

namespace
{

constexpr milliseconds tick_interval{10};

std::string zone_name(std::size_t zone)
{
    return "zone" + std::to_string(zone);
}

} // namespace

dispatch_simulation::dispatch_simulation(const wait_model_options& options,
                                         std::span<const model_arrival> arrivals)
    : options_(options), arrivals_(arrivals)
{
    for (std::uint32_t zone = 0; zone < options.entry_hosts.size(); ++zone)
    {
        for (std::uint32_t i = 0; i < options.entry_hosts[zone]; ++i)
        {
            const std::string id = "entry" + std::to_string(zone) + std::to_string(i);
            entry_host& added = hosts_.emplace_back();
            added.zone = zone;
            added.incarnation = names_.intern(id + "#1");
            indices_.emplace(added.incarnation, static_cast<std::uint32_t>(hosts_.size() - 1));
            routing::member member;
            member.id = id;
            member.incarnation = id + "#1";
            member.availability_zone = zone_name(zone);
            snapshot_.members.push_back(member);
        }
    }
    build_snapshot();
    for (std::uint32_t i = 0; i < hosts_.size(); ++i)
    {
        const routing::member& member = snapshot_.members[i];
        hosts_[i].core = std::make_unique<node>(names_, options.core_settings,
                                                names_.intern(member.id), hosts_[i].incarnation,
                                                names_.intern(member.availability_zone), now_);
    }
}

void dispatch_simulation::build_snapshot()
{
    snapshot_.services["service"].name = "service";
    snapshot_.services["service"].pool = "pool";
    for (std::size_t zone = 0; zone < options_.backend_servers.size(); ++zone)
    {
        snapshot_.placement_epochs[zone_name(zone)] = 1;
        for (std::uint32_t i = 0; i < options_.backend_servers[zone]; ++i)
        {
            routing::backend_server server;
            server.name = "backend" + std::to_string(zone) + "-" + std::to_string(i);
            server.availability_zone = zone_name(zone);
            server.pool = "pool";
            server.slots = options_.slots;
            snapshot_.backend_servers.push_back(server);
        }
    }
}

void dispatch_simulation::push(event next)
{
    next.sequence = ++sequence_;
    events_.push(std::move(next));
}

steady_time dispatch_simulation::time_at(double seconds) const
{
    return start_time_ + std::chrono::nanoseconds{static_cast<std::int64_t>(seconds * 1e9)};
}

double dispatch_simulation::seconds(steady_time time) const
{
    return std::chrono::duration<double>(time - start_time_).count();
}

wait_model_result dispatch_simulation::run()
{
    const std::vector<bool> all(hosts_.size(), true);
    for (std::uint32_t i = 0; i < hosts_.size(); ++i)
    {
        update(i, all);
        event tick;
        tick.time = start_time_ + std::chrono::milliseconds{i + 1};
        tick.target = i;
        push(tick);
    }
    for (std::uint32_t i = 0; i < arrivals_.size(); ++i)
    {
        event arrival;
        arrival.time = time_at(arrivals_[i].at);
        arrival.kind = event_kind::arrival;
        arrival.subject = i;
        push(arrival);
    }
    if (options_.kill_after >= 0.0)
    {
        event kill;
        kill.time = time_at(options_.burst_start + options_.kill_after);
        kill.kind = event_kind::kill;
        push(kill);
    }
    const steady_time end = time_at(options_.length + 2.0 * options_.deadline);
    while (!events_.empty() && events_.top().time < end)
    {
        const event next = events_.top();
        events_.pop();
        now_ = next.time;
        handle(next);
    }
    return tally_.finish(arrivals_);
}

void dispatch_simulation::update(std::uint32_t index, const std::vector<bool>& live)
{
    std::vector<live_entry_host> hosts;
    for (std::uint32_t i = 0; i < hosts_.size(); ++i)
    {
        if (live[i])
        {
            const routing::member& member = snapshot_.members[i];
            hosts.push_back(live_entry_host{names_.intern(member.id), hosts_[i].incarnation,
                                            names_.intern(member.availability_zone), false});
        }
    }
    actions produced;
    hosts_[index].core->update(now_, snapshot_, hosts, produced);
    process_actions(index, produced);
}

void dispatch_simulation::handle(const event& next)
{
    switch (next.kind)
    {
    case event_kind::arrival:
        on_arrival(next);
        return;
    case event_kind::kill:
        on_kill();
        return;
    default:
        break;
    }
    if (!hosts_[next.target].alive)
    {
        return;
    }
    actions produced;
    switch (next.kind)
    {
    case event_kind::tick:
    {
        hosts_[next.target].core->tick(now_, produced);
        event again = next;
        again.time = now_ + tick_interval;
        push(again);
        break;
    }
    case event_kind::message:
        hosts_[next.target].core->handle(now_, hosts_[next.subject].incarnation, *next.payload,
                                         produced);
        break;
    case event_kind::completion:
        on_completion(next);
        break;
    case event_kind::failure_detected:
    {
        std::vector<bool> live;
        for (const entry_host& host : hosts_)
        {
            live.push_back(host.alive);
        }
        update(next.target, live);
        break;
    }
    default:
        break;
    }
    process_actions(next.target, produced);
}

void dispatch_simulation::on_arrival(const event& next)
{
    const model_arrival& arrival = arrivals_[next.subject];
    std::uint32_t index = arrival.entry_host;
    for (std::uint32_t step = 0; !hosts_[index].alive; ++step)
    {
        // Spread arrivals over the other entry hosts, like a load balancer.
        index = (next.subject + step) % static_cast<std::uint32_t>(hosts_.size());
    }
    slot_requirements requirements;
    requirements.service = names_.intern("service");
    requirements.deadline =
        now_ + std::chrono::nanoseconds{static_cast<std::int64_t>(options_.deadline * 1e9)};
    requirements.run_limit = milliseconds{static_cast<std::int64_t>(options_.deadline * 1e3)};
    actions produced;
    const std::uint64_t id = hosts_[index].core->request(now_, std::move(requirements), produced);
    hosts_[index].open_requests.emplace(id, next.subject);
    process_actions(index, produced);
}

void dispatch_simulation::on_completion(const event& next)
{
    const model_arrival& arrival = arrivals_[next.subject];
    tally_.complete(arrival, seconds(now_) - arrival.at <= options_.deadline);
    actions produced;
    hosts_[next.target].core->release(
        now_, next.handle, traffic::slot_outcome::succeeded,
        milliseconds{static_cast<std::int64_t>(arrival.service * 1e3)}, produced);
    process_actions(next.target, produced);
}

void dispatch_simulation::on_kill()
{
    const name_id pool = names_.intern("pool");
    std::uint32_t killed = 0;
    for (std::uint32_t i = 0; i < hosts_.size(); ++i)
    {
        const directory& view = hosts_[i].core->view();
        for (domain_index domain = 0; domain < view.size(); ++domain)
        {
            if (view.at(domain).pool == pool &&
                hosts_[i].core->dispatcher_state().is_active(domain))
            {
                killed = i;
            }
        }
    }
    hosts_[killed].alive = false;
    for (std::uint32_t i = 0; i < hosts_.size(); ++i)
    {
        event failure_detected;
        const bool same_zone = hosts_[i].zone == hosts_[killed].zone;
        failure_detected.time =
            now_ +
            std::chrono::nanoseconds{static_cast<std::int64_t>(
                (same_zone ? options_.zone_failure_timeout : options_.cross_zone_failure_timeout) *
                1e9)};
        failure_detected.kind = event_kind::failure_detected;
        failure_detected.target = i;
        push(failure_detected);
    }
}

void dispatch_simulation::process_actions(std::uint32_t index, actions& produced)
{
    entry_host& host = hosts_[index];
    for (action& next : produced)
    {
        if (send_message* sent = std::get_if<send_message>(&next))
        {
            send(index, std::move(*sent));
            continue;
        }
        const slot_granted* granted = std::get_if<slot_granted>(&next);
        const std::uint64_t id =
            granted != nullptr ? granted->request_id : std::get<slot_refused>(next).request_id;
        const auto open = host.open_requests.find(id);
        const std::uint32_t subject = open->second;
        host.open_requests.erase(open);
        const model_arrival& arrival = arrivals_[subject];
        const double waited = seconds(now_) - arrival.at;
        if (granted == nullptr)
        {
            const bool overload = std::get<slot_refused>(next).reason == refusal_reason::overload;
            tally_.refuse(arrival, overload ? waited : 0.0);
            continue;
        }
        tally_.start(arrival, waited);
        event completion;
        completion.time =
            now_ + std::chrono::nanoseconds{static_cast<std::int64_t>(arrival.service * 1e9)};
        completion.kind = event_kind::completion;
        completion.target = index;
        completion.subject = subject;
        completion.handle = granted->handle;
        push(completion);
    }
}

void dispatch_simulation::send(std::uint32_t from, send_message&& sent)
{
    const auto to = indices_.find(sent.to);
    if (to == indices_.end() || !hosts_[to->second].alive)
    {
        return;
    }
    const bool same_zone = hosts_[from].zone == hosts_[to->second].zone;
    const double delay = same_zone ? options_.zone_delay : options_.cross_zone_delay;
    event message;
    message.time = now_ + std::chrono::nanoseconds{static_cast<std::int64_t>(delay * 1e9)};
    message.kind = event_kind::message;
    message.target = to->second;
    message.subject = from;
    message.payload = std::make_shared<any_message>(std::move(sent.payload));
    push(std::move(message));
}

} // namespace lacewingquay::dispatch
