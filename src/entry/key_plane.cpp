#include "entry/key_plane.hpp"

#include "core/log.hpp"
#include "entry/completion.hpp"

#include <boost/asio/async_result.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <memory>
#include <variant>

namespace lacewingquay::entry
{

namespace asio = boost::asio;

using idempotency::claim_answer;
using idempotency::claim_decision;
using idempotency::stored_answer;

namespace
{

claim_answer decode_result(const pb::ClaimResult& message)
{
    claim_answer answer;
    answer.decision = static_cast<claim_decision>(message.decision());
    answer.answer.status = message.status();
    answer.answer.content_type = message.content_type();
    answer.answer.body = message.answer();
    answer.answer.kept = message.kept();
    return answer;
}

verdict decode_verdict(std::uint32_t value)
{
    // An unknown value is taken for the one that is always true.
    return value <= static_cast<std::uint32_t>(verdict::completed) ? static_cast<verdict>(value)
                                                                   : verdict::may_have_run;
}

} // namespace

key_plane::key_plane(asio::io_context& io, key_plane_settings settings, const clock_source& clock,
                     key_plane_outputs outputs)
    : io_(io), settings_(std::move(settings)), clock_(clock), outputs_(std::move(outputs)),
      timer_(io), owner_(settings_.core, settings_.id, settings_.incarnation, clock.wall_now())
{
}

void key_plane::start()
{
    tick();
}

void key_plane::stop()
{
    timer_.cancel();
}

void key_plane::update(const routing::snapshot& snapshot,
                       const std::set<std::string>& live_incarnations, bool confirmed)
{
    idempotency::view_event view;
    view.epoch = snapshot.members_epoch;
    id_of_incarnation_.clear();
    for (const routing::member& member : snapshot.members)
    {
        id_of_incarnation_[member.incarnation] = member.id;
        view.members.push_back({member.id, member.incarnation});
    }
    for (const std::string& incarnation : live_)
    {
        if (live_incarnations.count(incarnation) == 0)
        {
            feed(idempotency::holder_lost_event{incarnation});
        }
    }
    live_ = live_incarnations;
    if (confirmed)
    {
        feed(view);
    }
}

bool key_plane::receive(const pb::Envelope& envelope)
{
    switch (envelope.payload_case())
    {
    case pb::Envelope::kClaim:
        feed(idempotency::claim_event{envelope.incarnation(), envelope.claim().claim_id(),
                                      envelope.claim().key(), envelope.claim().fingerprint(),
                                      envelope.claim().members_epoch()});
        return true;
    case pb::Envelope::kClaimResult:
        on_claim_result(envelope.claim_result().claim_id(), decode_result(envelope.claim_result()));
        return true;
    case pb::Envelope::kClaimOutcome:
    {
        const pb::ClaimOutcome& message = envelope.claim_outcome();
        idempotency::outcome_event event;
        event.holder = envelope.incarnation();
        event.claim_id = message.claim_id();
        event.key = message.key();
        event.outcome = decode_verdict(message.verdict());
        event.answer = {message.status(), message.content_type(), message.answer(), message.kept()};
        feed(event);
        return true;
    }
    case pb::Envelope::kClaimOutcomeAck:
        held_.erase(envelope.claim_outcome_ack().claim_id());
        return true;
    default:
        return false;
    }
}

void key_plane::on_member_report(std::string incarnation, std::uint64_t members_epoch)
{
    asio::post(io_,
               [this, incarnation = std::move(incarnation), members_epoch] {
                   feed(idempotency::report_event{incarnation, members_epoch});
               });
}

void key_plane::on_batch_loaded(idempotency::claim_batch batch)
{
    asio::post(io_,
               [this, batch = std::move(batch)] { feed(idempotency::batch_loaded_event{batch}); });
}

asio::awaitable<claim_answer> key_plane::claim(std::string key, std::uint64_t fingerprint)
{
    return asio::async_initiate<const asio::use_awaitable_t<>, void(claim_answer)>(
        [this](auto handler, std::string claimed, std::uint64_t print)
        {
            completion done = make_completion<claim_answer>(std::move(handler));
            asio::post(io_,
                       [this, claimed = std::move(claimed), print, done = std::move(done)]() mutable
                       { start_claim(std::move(claimed), print, std::move(done)); });
        },
        asio::use_awaitable, std::move(key), fingerprint);
}

void key_plane::start_claim(std::string key, std::uint64_t fingerprint, completion done)
{
    const std::string owner = owner_.router().owner(key);
    if (owner.empty())
    {
        done(claim_answer{});
        return;
    }
    const std::uint64_t claim_id = ++next_claim_;
    const std::uint64_t epoch = owner_.router().current_epoch();
    pending_[claim_id] = {key, owner, clock_.steady_now() + settings_.claim_timeout,
                          std::move(done)};
    if (owner == settings_.id)
    {
        feed(idempotency::claim_event{settings_.incarnation, claim_id, std::move(key), fingerprint,
                                      epoch});
        return;
    }
    pb::Envelope message;
    pb::Claim& body = *message.mutable_claim();
    body.set_claim_id(claim_id);
    body.set_key(key);
    body.set_fingerprint(fingerprint);
    body.set_members_epoch(epoch);
    outputs_.send(owner, message);
}

void key_plane::on_claim_result(std::uint64_t claim_id, claim_answer answer)
{
    const std::map<std::uint64_t, pending_claim>::iterator found = pending_.find(claim_id);
    if (found == pending_.end())
    {
        // Given up before; `tick` has noted that it will never be used.
        return;
    }
    pending_claim claim = std::move(found->second);
    pending_.erase(found);
    if (answer.decision == claim_decision::admitted)
    {
        held_[claim_id] = {claim.key, claim.owner, false, verdict::may_have_run, {}, {}};
        admitted_[claim.key] = claim_id;
    }
    claim.done(std::move(answer));
}

void key_plane::report(const std::string& key, verdict outcome, const stored_answer& answer)
{
    asio::post(io_, [this, key, outcome, copied = stored_answer(answer)]() mutable
               { settle(key, outcome, std::move(copied)); });
}

void key_plane::settle(const std::string& key, verdict outcome, stored_answer answer)
{
    const std::unordered_map<std::string, std::uint64_t>::iterator found = admitted_.find(key);
    if (found == admitted_.end())
    {
        return;
    }
    const std::uint64_t claim_id = found->second;
    admitted_.erase(found);
    held_claim& claim = held_[claim_id];
    claim.settled = true;
    claim.outcome = outcome;
    claim.answer = std::move(answer);
    send_outcome(claim_id, claim);
}

void key_plane::send_outcome(std::uint64_t claim_id, held_claim& claim)
{
    claim.next_send = clock_.steady_now() + settings_.repeat_interval;
    if (claim.owner == settings_.id)
    {
        // The acknowledgement erases the claim, so nothing of it is used after this.
        const idempotency::outcome_event event{settings_.incarnation, claim_id, claim.key,
                                               claim.outcome, claim.answer};
        feed(event);
        return;
    }
    pb::Envelope message;
    pb::ClaimOutcome& body = *message.mutable_claim_outcome();
    body.set_claim_id(claim_id);
    body.set_key(claim.key);
    body.set_verdict(static_cast<std::uint32_t>(claim.outcome));
    body.set_status(claim.answer.status);
    body.set_answer(claim.answer.body);
    body.set_content_type(claim.answer.content_type);
    body.set_kept(claim.answer.kept);
    outputs_.send(claim.owner, message);
}

void key_plane::feed(const idempotency::key_event& event)
{
    for (const idempotency::key_action& action : owner_.handle(clock_.wall_now(), event))
    {
        perform(action);
    }
}

void key_plane::perform(const idempotency::key_action& action)
{
    if (const idempotency::claim_result_action* result =
            std::get_if<idempotency::claim_result_action>(&action))
    {
        answer_claim(*result);
    }
    else if (const idempotency::outcome_ack_action* ack =
                 std::get_if<idempotency::outcome_ack_action>(&action))
    {
        const std::unordered_map<std::string, std::string>::const_iterator id =
            id_of_incarnation_.find(ack->holder);
        if (ack->holder == settings_.incarnation)
        {
            held_.erase(ack->claim_id);
        }
        else if (id != id_of_incarnation_.end())
        {
            pb::Envelope message;
            message.mutable_claim_outcome_ack()->set_claim_id(ack->claim_id);
            outputs_.send(id->second, message);
        }
    }
    else
    {
        const idempotency::claim_batch& batch =
            std::get<idempotency::write_batch_action>(action).batch;
        const std::string key = "claims/" + settings_.id + "/" + settings_.incarnation + "/" +
                                std::to_string(batch.sequence);
        outputs_.write(key, idempotency::serialize_claim_batch(batch),
                       [this](bool written) {
                           asio::post(io_, [this, written]
                                      { feed(idempotency::batch_written_event{written}); });
                       });
    }
}

void key_plane::answer_claim(const idempotency::claim_result_action& action)
{
    if (action.holder == settings_.incarnation)
    {
        on_claim_result(action.claim_id, action.answer);
        return;
    }
    const std::unordered_map<std::string, std::string>::const_iterator id =
        id_of_incarnation_.find(action.holder);
    if (id == id_of_incarnation_.end())
    {
        return;
    }
    pb::Envelope message;
    pb::ClaimResult& body = *message.mutable_claim_result();
    body.set_claim_id(action.claim_id);
    body.set_decision(static_cast<pb::ClaimResult::Decision>(action.answer.decision));
    body.set_status(action.answer.answer.status);
    body.set_answer(action.answer.answer.body);
    body.set_content_type(action.answer.answer.content_type);
    body.set_kept(action.answer.answer.kept);
    outputs_.send(id->second, message);
}

void key_plane::tick()
{
    const steady_time now = clock_.steady_now();
    feed(idempotency::tick_event{});
    std::vector<completion> refused;
    for (std::map<std::uint64_t, pending_claim>::iterator it = pending_.begin();
         it != pending_.end();)
    {
        if (it->second.deadline > now)
        {
            ++it;
            continue;
        }
        // The owner may have admitted the claim; it is told that the claim was never used.
        held_[it->first] = {it->second.key, it->second.owner, true, verdict::not_run, {}, now};
        refused.push_back(std::move(it->second.done));
        it = pending_.erase(it);
    }
    for (const completion& done : refused)
    {
        done(claim_answer{});
    }
    std::vector<std::uint64_t> due;
    for (const std::pair<const std::uint64_t, held_claim>& entry : held_)
    {
        if (entry.second.settled && entry.second.next_send <= now)
        {
            due.push_back(entry.first);
        }
    }
    for (const std::uint64_t claim_id : due)
    {
        const std::map<std::uint64_t, held_claim>::iterator found = held_.find(claim_id);
        if (found != held_.end())
        {
            send_outcome(claim_id, found->second);
        }
    }
    timer_.expires_after(settings_.tick_interval);
    timer_.async_wait(
        [this](const boost::system::error_code& error)
        {
            if (!error)
            {
                tick();
            }
        });
}

} // namespace lacewingquay::entry
