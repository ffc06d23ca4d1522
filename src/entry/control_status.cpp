#include "entry/control_plane.hpp"
#include "entry/thread_time.hpp"

namespace lacewingquay::entry
{

std::string control_plane::readiness() const
{
    if (draining_)
    {
        return "stopping";
    }
    if (config_.current().epoch == 0)
    {
        return "no configuration from the platform or a peer yet";
    }
    if (placement_.zones().count(settings_.availability_zone) == 0)
    {
        return "no placement of availability zone " + settings_.availability_zone + " yet";
    }
    if (!registry_.may_dispatch())
    {
        return "not registered yet";
    }
    if (!liveness_.may_dispatch())
    {
        return "refreshing after a pause";
    }
    if (!has_fresh_placement())
    {
        return "placement not read since the registration";
    }
    return {};
}

boost::json::object control_plane::status() const
{
    boost::json::object placements;
    for (const std::pair<const std::string, placement::zone_placement>& zone : placement_.zones())
    {
        placements[zone.first] = zone.second.epoch;
    }
    boost::json::array live;
    for (const live_member& member : live_members())
    {
        live.push_back({{"id", member.id}, {"stopping", member.stopping}});
    }
    return {{"id", settings_.id},
            {"incarnation", incarnation_},
            {"availability_zone", settings_.availability_zone},
            {"config_epoch", config_.current().epoch},
            {"config_digest", config_.current().digest},
            {"members_epoch", registry_.members_epoch()},
            {"members", members_.size()},
            {"placement_epochs", std::move(placements)},
            {"lease_holder", lease_.holder()},
            {"holds_lease", lease_.is_held()},
            {"live", std::move(live)},
            {"queue_length", dispatch_report_.queue_length},
            {"slots_held", dispatch_report_.holding},
            {"control_cpu_seconds", thread_cpu_seconds()},
            {"dispatch_cpu_seconds", dispatch_report_.cpu_seconds},
            {"resident_bytes", resident_bytes()},
            {"peer_bytes_sent", link_->counters().bytes_sent.load()},
            {"peer_bytes_received", link_->counters().bytes_received.load()},
            {"platform_bytes_sent", client_.traffic().bytes_sent},
            {"platform_bytes_received", client_.traffic().bytes_received},
            {"platform_requests", client_.traffic().requests},
            {"readiness", readiness()}};
}

void control_plane::update_gauges()
{
    metrics_.set_gauge("lacewingquay_config_epoch", "Configuration epoch in force",
                       static_cast<double>(config_.current().epoch));
    metrics_.set_gauge("lacewingquay_members_epoch", "Version of the registrations in use",
                       static_cast<double>(registry_.members_epoch()));
    metrics_.set_gauge("lacewingquay_ready", "1 if ready, else 0", readiness().empty() ? 1 : 0);
    metrics_.set_gauge("lacewingquay_queue_length", "Requests waiting at this dispatcher",
                       static_cast<double>(dispatch_report_.queue_length));
    metrics_.set_gauge("lacewingquay_slots_held", "Granted slots in use by this entry host",
                       static_cast<double>(dispatch_report_.holding));
    metrics_.set_gauge("lacewingquay_holds_lease", "1 if this entry host holds its zone's lease",
                       lease_.is_held() ? 1 : 0);
}

std::string control_plane::inject_faults(const boost::json::object& faults)
{
    std::set<std::string> cut;
    const boost::json::value* peers = faults.if_contains("cut_peers");
    if (peers != nullptr && peers->is_array())
    {
        for (const boost::json::value& peer : peers->get_array())
        {
            if (!peer.is_string())
            {
                return "cut_peers: expected entry host ids";
            }
            cut.emplace(peer.get_string());
        }
    }
    const boost::json::value* platform = faults.if_contains("cut_platform");
    if (platform != nullptr && !platform->is_bool())
    {
        return "cut_platform: expected true or false";
    }
    platform_.cut(platform != nullptr && platform->get_bool());
    link_->cut(cut);
    outputs_.cut_dispatch(cut);
    return {};
}

} // namespace lacewingquay::entry
