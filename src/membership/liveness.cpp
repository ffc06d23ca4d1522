#include "membership/liveness.hpp"

#include "core/hash.hpp"
#include "membership/incarnation.hpp"

#include <algorithm>
#include <utility>

namespace lacewingquay::membership
{

liveness::liveness(std::string own_id, std::string own_zone, liveness_settings settings)
    : own_id_(std::move(own_id)), own_zone_(std::move(own_zone)), settings_(settings)
{
}

milliseconds liveness::interval(const peer& other) const
{
    return other.availability_zone == own_zone_ ? settings_.zone_interval
                                                : settings_.remote_interval;
}

void liveness::on_members(std::span<const routing::member> members)
{
    std::map<std::string, peer, std::less<>> next;
    for (const routing::member& member : members)
    {
        if (member.id == own_id_)
        {
            continue;
        }
        peer& entry = next[member.id];
        const std::map<std::string, peer, std::less<>>::iterator known = peers_.find(member.id);
        if (known != peers_.end() &&
            !is_newer_incarnation(member.incarnation, known->second.incarnation))
        {
            entry = known->second;
            continue;
        }
        entry.incarnation = member.incarnation;
        entry.availability_zone = member.availability_zone;
        entry.reported_live = known != peers_.end() && known->second.reported_live;
    }
    peers_ = std::move(next);
}

void liveness::on_heartbeat(steady_time now, const heartbeat& message)
{
    const std::map<std::string, peer, std::less<>>::iterator found = peers_.find(message.id);
    if (found == peers_.end())
    {
        return;
    }
    peer& sender = found->second;
    if (message.incarnation != sender.incarnation)
    {
        if (!is_newer_incarnation(message.incarnation, sender.incarnation))
        {
            return;
        }
        sender.incarnation = message.incarnation;
    }
    sender.last_heard = now;
    sender.live = !message.stopping;
}

void liveness::reset_heartbeat_timeouts(steady_time now)
{
    // Heartbeats that arrived during the pause may not have been processed yet, so the gap is no
    // evidence of a failure.
    for (std::pair<const std::string, peer>& entry : peers_)
    {
        if (entry.second.live)
        {
            entry.second.last_heard = now;
        }
    }
}

liveness_actions liveness::on_tick(steady_time now)
{
    liveness_actions actions;
    if (is_overdue(now))
    {
        reset_heartbeat_timeouts(now);
        pending_refresh_ = ++last_refresh_;
        actions.refresh = pending_refresh_;
    }
    last_tick_ = now;
    for (std::pair<const std::string, peer>& entry : peers_)
    {
        peer& other = entry.second;
        if (other.live &&
            now - other.last_heard > settings_.max_missed_heartbeats * interval(other))
        {
            other.live = false;
        }
        if (other.live != other.reported_live)
        {
            other.reported_live = other.live;
            (other.live ? actions.became_live : actions.became_suspect).push_back(entry.first);
        }
        if (now >= other.next_send)
        {
            actions.send_heartbeat_to.push_back(entry.first);
            // Keeps the rate when ticks are slightly late, but sends no backlog after a pause.
            other.next_send += interval(other);
            if (other.next_send <= now)
            {
                other.next_send = now + interval(other);
            }
        }
    }
    return actions;
}

void liveness::on_refreshed(std::uint64_t refresh)
{
    if (refresh == pending_refresh_)
    {
        pending_refresh_ = 0;
    }
}

bool liveness::is_overdue(steady_time now) const
{
    return last_tick_ && now - *last_tick_ > settings_.pause_limit;
}

bool liveness::is_live(std::string_view id) const
{
    if (id == own_id_)
    {
        return true;
    }
    const std::map<std::string, peer, std::less<>>::const_iterator found = peers_.find(id);
    return found != peers_.end() && found->second.live;
}

std::vector<std::string> liveness::live_in_zone(std::string_view availability_zone) const
{
    std::vector<std::string> live;
    for (const std::pair<const std::string, peer>& entry : peers_)
    {
        if (entry.second.live && entry.second.availability_zone == availability_zone)
        {
            live.push_back(entry.first);
        }
    }
    if (availability_zone == own_zone_)
    {
        live.insert(std::lower_bound(live.begin(), live.end(), own_id_), own_id_);
    }
    return live;
}

std::size_t liveness::own_rank() const
{
    const std::vector<std::string> live = live_in_zone(own_zone_);
    const std::vector<std::size_t> order = rendezvous_order("lease/" + own_zone_, live);
    std::size_t rank = 0;
    while (rank < order.size() && live[order[rank]] != own_id_)
    {
        ++rank;
    }
    return rank;
}

} // namespace lacewingquay::membership
