#include "core/log.hpp"
#include "entry/control_plane.hpp"
#include "peer/heartbeat_codec.hpp"

namespace lacewingquay::entry
{

namespace
{

/// Interval of asking peers for state while this entry host is not ready. The first request is lost
/// when the links are not up yet, and placement is needed again after the registration, so that
/// intervals of a second made a start during an outage take over two seconds.
constexpr std::chrono::milliseconds state_fetch_interval{250};

} // namespace

void control_plane::receive(const pb::Envelope& envelope)
{
    const steady_time now = clock_.steady_now();
    switch (envelope.payload_case())
    {
    case pb::Envelope::kHeartbeat:
    {
        const membership::heartbeat message = peer::decode_heartbeat(envelope);
        liveness_.on_heartbeat(now, message);
        reports_.on_heartbeat(now, message);
        outputs_.member_report(message.incarnation, message.members_epoch);
        if (message.config_epoch > config_.current().epoch)
        {
            perform(config_.head_seen(now, message.config_epoch, message.config_digest,
                                      {envelope.sender()}));
        }
        break;
    }
    case pb::Envelope::kConfigOffer:
        perform(config_.head_seen(now, envelope.config_offer().epoch(),
                                  envelope.config_offer().digest(), {envelope.sender()}));
        break;
    case pb::Envelope::kConfigFetch:
        if (config_.current().epoch == envelope.config_fetch().epoch())
        {
            pb::Envelope answer;
            pb::ConfigBody& body = *answer.mutable_config_body();
            body.set_epoch(config_.current().epoch);
            body.set_digest(config_.current().digest);
            body.set_body(*config_.current().body);
            link_->send(envelope.sender(), answer);
        }
        break;
    case pb::Envelope::kConfigBody:
        perform(config_.body_received(now, envelope.config_body().digest(), {envelope.sender()},
                                      envelope.config_body().body()));
        break;
    case pb::Envelope::kSponsor:
        receive_sponsor(envelope);
        break;
    case pb::Envelope::kStateFetch:
        answer_state_fetch(envelope.sender());
        break;
    case pb::Envelope::kStateBody:
        receive_state(envelope);
        break;
    default:
        log_event(log_level::warning, "peer_message_unexpected", {{"sender", envelope.sender()}});
        break;
    }
}

void control_plane::receive_sponsor(const pb::Envelope& envelope)
{
    const std::optional<routing::member> newcomer = peer::decode_member(envelope.sponsor());
    if (!newcomer)
    {
        log_event(log_level::warning, "sponsor_message_refused", {{"sender", envelope.sender()}});
        return;
    }
    if (newcomer->id == settings_.id)
    {
        if (newcomer->incarnation == incarnation_)
        {
            registry_.on_sponsored();
        }
        return;
    }
    const bool accepted = registry_.on_sponsor(clock_.steady_now(), envelope.sender(), *newcomer);
    if (envelope.sender() != newcomer->id)
    {
        return;
    }
    // The newcomer may be unknown to this entry host, so its address has to be added to answer it.
    std::map<std::string, address> peers;
    for (const routing::member& member : members_)
    {
        peers[member.id] = member.peer_address;
    }
    peers[newcomer->id] = newcomer->peer_address;
    link_->set_peers(peers);
    if (accepted)
    {
        log_event(log_level::info, "sponsoring", {{"peer", newcomer->id}});
        pb::Envelope answer;
        peer::encode(*newcomer, *answer.mutable_sponsor());
        link_->send(newcomer->id, answer);
    }
    answer_state_fetch(newcomer->id);
}

void control_plane::answer_state_fetch(const std::string& peer)
{
    if (config_.current().epoch == 0)
    {
        return;
    }
    pb::Envelope answer;
    pb::StateBody& state = *answer.mutable_state_body();
    state.set_config_epoch(config_.current().epoch);
    state.set_config_digest(config_.current().digest);
    state.set_config_body(*config_.current().body);
    const auto add_row = [&state](const platform::row& row)
    {
        pb::StateRow& item = *state.add_rows();
        item.set_key(row.key);
        item.set_version(row.version);
        item.set_value(row.value);
    };
    for (const std::pair<const std::string, platform::row>& row : placement_.rows())
    {
        add_row(row.second);
    }
    if (registry_.row())
    {
        add_row(*registry_.row());
    }
    link_->send(peer, answer);
}

void control_plane::receive_state(const pb::Envelope& envelope)
{
    const steady_time now = clock_.steady_now();
    const pb::StateBody& state = envelope.state_body();
    perform(
        config_.head_seen(now, state.config_epoch(), state.config_digest(), {envelope.sender()}));
    perform(config_.body_received(now, state.config_digest(), {envelope.sender()},
                                  state.config_body()));
    for (const pb::StateRow& item : state.rows())
    {
        const platform::row row{item.key(), item.version(), item.value()};
        if (row.key.rfind("placement/", 0) == 0)
        {
            apply_placement_row(row);
        }
        else
        {
            registry_.on_peer_row(row);
        }
    }
    state_received_at_ = now;
    publish_if_changed();
}

void control_plane::update_peers()
{
    std::vector<routing::member> members = registry_.members();
    const bool same = std::equal(members.begin(), members.end(), members_.begin(), members_.end(),
                                 [](const routing::member& left, const routing::member& right)
                                 {
                                     return left.incarnation == right.incarnation &&
                                            left.peer_address == right.peer_address &&
                                            left.dispatch_address == right.dispatch_address;
                                 });
    const bool same_epoch = snapshot_ && snapshot_->members_epoch == registry_.members_epoch();
    if (same && same_epoch)
    {
        return;
    }
    members_ = std::move(members);
    snapshot_changed_ = true;
    liveness_.on_members(members_);
    std::map<std::string, address> peers;
    for (const seed_peer& seed : settings_.seed_peers)
    {
        if (members_.empty())
        {
            peers[seed.id] = seed.peer_address;
        }
    }
    for (const routing::member& member : members_)
    {
        peers[member.id] = member.peer_address;
    }
    link_->set_peers(peers);
}

void control_plane::send_heartbeat(const std::string& peer)
{
    pb::Envelope message;
    peer::encode(make_heartbeat(), *message.mutable_heartbeat());
    link_->send(peer, message);
}

void control_plane::send_to_all(pb::Envelope& message)
{
    for (const routing::member& member : members_)
    {
        if (member.id != settings_.id)
        {
            link_->send(member.id, message);
        }
    }
}

void control_plane::ask_peers_for_state()
{
    next_state_fetch_ = clock_.steady_now() + state_fetch_interval;
    if (members_.empty())
    {
        // Not known to the peers yet: the sponsor request tells them where to answer.
        pb::Envelope message;
        peer::encode(routing::member{settings_.id, incarnation_, settings_.availability_zone,
                                     settings_.peer_listen, settings_.dispatch_listen},
                     *message.mutable_sponsor());
        for (const seed_peer& seed : settings_.seed_peers)
        {
            link_->send(seed.id, message);
        }
        return;
    }
    pb::Envelope message;
    message.mutable_state_fetch()->set_reason("refresh");
    send_to_all(message);
}

} // namespace lacewingquay::entry
