#include "peer/heartbeat_codec.hpp"

namespace lacewingquay::peer
{

void encode(const membership::heartbeat& message, pb::Heartbeat& target)
{
    target.set_availability_zone(message.availability_zone);
    target.set_members_epoch(message.members_epoch);
    target.set_config_epoch(message.config_epoch);
    target.set_config_digest(message.config_digest);
    target.set_ready(message.ready);
    target.set_stopping(message.stopping);
    for (const std::pair<const std::string, membership::placement_use>& zone : message.placement)
    {
        pb::ZoneEpoch& epoch = *target.add_placement();
        epoch.set_availability_zone(zone.first);
        epoch.set_placement_version(zone.second.in_force);
        epoch.set_lowest_in_use(zone.second.lowest_in_use);
    }
    for (const std::string& host : message.busy_draining_hosts)
    {
        target.add_busy_draining_hosts(host);
    }
}

membership::heartbeat decode_heartbeat(const pb::Envelope& envelope)
{
    const pb::Heartbeat& source = envelope.heartbeat();
    membership::heartbeat message;
    message.id = envelope.sender();
    message.incarnation = envelope.incarnation();
    message.availability_zone = source.availability_zone();
    message.members_epoch = source.members_epoch();
    message.config_epoch = source.config_epoch();
    message.config_digest = source.config_digest();
    message.ready = source.ready();
    message.stopping = source.stopping();
    for (const pb::ZoneEpoch& epoch : source.placement())
    {
        message.placement[epoch.availability_zone()] = {epoch.placement_version(),
                                                        epoch.lowest_in_use()};
    }
    message.busy_draining_hosts.insert(source.busy_draining_hosts().begin(),
                                       source.busy_draining_hosts().end());
    return message;
}

void encode(const routing::member& newcomer, pb::Sponsor& target)
{
    target.set_id(newcomer.id);
    target.set_incarnation(newcomer.incarnation);
    target.set_availability_zone(newcomer.availability_zone);
    target.set_peer_address(newcomer.peer_address.text());
    target.set_dispatch_address(newcomer.dispatch_address.text());
}

std::optional<routing::member> decode_member(const pb::Sponsor& message)
{
    const boost::leaf::result<address> peer = parse_address(message.peer_address(), "peer_address");
    const boost::leaf::result<address> dispatch =
        parse_address(message.dispatch_address(), "dispatch_address");
    if (!peer || !dispatch || message.id().empty() || message.incarnation().empty())
    {
        return std::nullopt;
    }
    return routing::member{message.id(), message.incarnation(), message.availability_zone(),
                           peer.value(), dispatch.value()};
}

} // namespace lacewingquay::peer
