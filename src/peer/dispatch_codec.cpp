#include "peer/dispatch_codec.hpp"

#include <algorithm>
#include <limits>

namespace lacewingquay::peer
{

namespace
{

using dispatch::name_id;
using dispatch::name_table;

std::uint32_t to_wire(milliseconds time)
{
    constexpr std::int64_t largest = std::numeric_limits<std::uint32_t>::max();
    return static_cast<std::uint32_t>(std::clamp<std::int64_t>(time.count(), 0, largest));
}

/// Writes the fields of one message kind; one overload for each.
class encoder
{
public:
    encoder(const name_table& names, pb::Envelope& target) : names_(names), target_(target) {}

    void operator()(const dispatch::slot_request& message) const
    {
        pb::SlotRequest& out = *target_.mutable_slot_request();
        out.set_request_id(message.request_id);
        out.set_holder(names_.text(message.holder));
        out.set_service(names_.text(message.service));
        put_domain(message, out);
        out.set_priority(static_cast<std::uint32_t>(message.urgency));
        out.set_deadline_ms(to_wire(message.deadline));
        out.set_run_limit_ms(to_wire(message.run_limit));
        out.set_waited_ms(to_wire(message.waited));
        out.set_spill_hops(message.spill_hops);
        for (const name_id host : message.avoid)
        {
            out.add_avoid(names_.text(host));
        }
    }

    void operator()(const dispatch::grant& message) const
    {
        pb::Grant& out = *target_.mutable_grant();
        out.set_grant_id(message.grant_id);
        out.set_request_id(message.request_id);
        put_domain(message, out);
        put_term(message.term, *out.mutable_term());
        out.set_host(names_.text(message.host));
        out.set_placement_version(message.placement_version);
        out.set_waited_ms(to_wire(message.waited));
        out.set_start_window_ms(to_wire(message.start_window));
        out.set_run_limit_ms(to_wire(message.run_limit));
    }

    void operator()(const dispatch::refusal& message) const
    {
        pb::Refusal& out = *target_.mutable_refusal();
        out.set_request_id(message.request_id);
        out.set_reason(static_cast<std::uint32_t>(message.reason));
        out.set_retry_after_ms(to_wire(message.retry_after));
        put_domain(message, out);
        out.set_dispatcher(names_.text(message.dispatcher));
    }

    void operator()(const dispatch::cancel& message) const
    {
        pb::Cancel& out = *target_.mutable_cancel();
        out.set_request_id(message.request_id);
        put_domain(message, out);
    }

    void operator()(const dispatch::release& message) const
    {
        pb::Release& out = *target_.mutable_release();
        out.set_grant_id(message.grant_id);
        put_domain(message, out);
        out.set_term(message.term);
        out.set_host(names_.text(message.host));
        out.set_outcome(static_cast<std::uint32_t>(message.outcome));
        out.set_ran_ms(to_wire(message.ran));
    }

    void operator()(const dispatch::mirror& message) const
    {
        pb::Mirror& out = *target_.mutable_mirror();
        put_domain(message, out);
        put_term(message.term, *out.mutable_term());
        out.set_sequence(message.sequence);
        out.set_grant_id(message.grant_id);
        out.set_host(names_.text(message.host));
        out.set_hold_ms(to_wire(message.hold));
        out.set_released(message.released);
        out.set_holder(names_.text(message.holder));
    }

    void operator()(const dispatch::mirror_ack& message) const
    {
        pb::MirrorAck& out = *target_.mutable_mirror_ack();
        put_domain(message, out);
        out.set_sequence(message.sequence);
    }

    void operator()(const dispatch::term_begin& message) const
    {
        pb::TermBegin& out = *target_.mutable_term_begin();
        put_domain(message, out);
        put_term(message.term, *out.mutable_term());
    }

    void operator()(const dispatch::grant_report& message) const
    {
        pb::GrantReport& out = *target_.mutable_grant_report();
        put_domain(message, out);
        out.set_term(message.term);
        put_term(message.highest, *out.mutable_highest());
        put_term(message.own_term, *out.mutable_own_term());
        put_term(message.copied_term, *out.mutable_copied_term());
        out.set_unexplained_ms(to_wire(message.unexplained));
        out.set_settled(message.settled);
        for (const dispatch::reported_grant& grant : message.grants)
        {
            pb::ReportedGrant& item = *out.add_grants();
            item.set_grant_id(grant.grant_id);
            item.set_host(names_.text(grant.host));
            item.set_hold_ms(to_wire(grant.hold));
            item.set_source(static_cast<std::uint32_t>(grant.source));
            item.set_holder(names_.text(grant.holder));
            put_term(grant.term, *item.mutable_term());
        }
        for (const dispatch::lost_incarnation& lost : message.lost)
        {
            pb::LostIncarnation& item = *out.add_lost();
            item.set_incarnation(names_.text(lost.incarnation));
            item.set_hold_ms(to_wire(lost.hold));
        }
    }

    void operator()(const dispatch::slot_news& message) const
    {
        pb::SlotNews& out = *target_.mutable_slot_news();
        put_domain(message, out);
        out.set_free_slots(message.free_slots);
        out.set_queue_length(message.queue_length);
    }

private:
    template <typename Message, typename Target>
    void put_domain(const Message& message, Target& out) const
    {
        out.set_pool(names_.text(message.pool));
        out.set_availability_zone(names_.text(message.availability_zone));
    }

    void put_term(const dispatch::term_id& term, pb::Term& out) const
    {
        out.set_number(term.number);
        out.set_incarnation(names_.text(term.incarnation));
    }

    const name_table& names_;
    pb::Envelope& target_;
};

template <typename Message, typename Source>
void read_domain(name_table& names, const Source& source, Message& message)
{
    message.pool = names.intern(source.pool());
    message.availability_zone = names.intern(source.availability_zone());
}

dispatch::term_id read_term(name_table& names, const pb::Term& source)
{
    return {source.number(), names.intern(source.incarnation())};
}

std::optional<dispatch::any_message> read(name_table& names, const pb::SlotRequest& source)
{
    if (source.priority() > static_cast<std::uint32_t>(config::priority::deferrable))
    {
        return std::nullopt;
    }
    dispatch::slot_request message;
    message.request_id = source.request_id();
    message.holder = names.intern(source.holder());
    message.service = names.intern(source.service());
    read_domain(names, source, message);
    message.urgency = static_cast<config::priority>(source.priority());
    message.deadline = milliseconds{source.deadline_ms()};
    message.run_limit = milliseconds{source.run_limit_ms()};
    message.waited = milliseconds{source.waited_ms()};
    message.spill_hops = source.spill_hops();
    for (const std::string& host : source.avoid())
    {
        message.avoid.push_back(names.intern(host));
    }
    return message;
}

std::optional<dispatch::any_message> read(name_table& names, const pb::Grant& source)
{
    dispatch::grant message;
    message.grant_id = source.grant_id();
    message.request_id = source.request_id();
    read_domain(names, source, message);
    message.term = read_term(names, source.term());
    message.host = names.intern(source.host());
    message.placement_version = source.placement_version();
    message.waited = milliseconds{source.waited_ms()};
    message.start_window = milliseconds{source.start_window_ms()};
    message.run_limit = milliseconds{source.run_limit_ms()};
    return message;
}

std::optional<dispatch::any_message> read(name_table& names, const pb::Refusal& source)
{
    if (source.reason() > static_cast<std::uint32_t>(dispatch::refusal_reason::moved))
    {
        return std::nullopt;
    }
    dispatch::refusal message;
    message.request_id = source.request_id();
    message.reason = static_cast<dispatch::refusal_reason>(source.reason());
    message.retry_after = milliseconds{source.retry_after_ms()};
    read_domain(names, source, message);
    message.dispatcher = names.intern(source.dispatcher());
    return message;
}

std::optional<dispatch::any_message> read(name_table& names, const pb::Cancel& source,
                                          const std::string& sender)
{
    dispatch::cancel message;
    message.request_id = source.request_id();
    read_domain(names, source, message);
    message.holder = names.intern(sender);
    return message;
}

std::optional<dispatch::any_message> read(name_table& names, const pb::Release& source)
{
    if (source.outcome() > static_cast<std::uint32_t>(traffic::slot_outcome::abandoned))
    {
        return std::nullopt;
    }
    dispatch::release message;
    message.grant_id = source.grant_id();
    read_domain(names, source, message);
    message.term = source.term();
    message.host = names.intern(source.host());
    message.outcome = static_cast<traffic::slot_outcome>(source.outcome());
    message.ran = milliseconds{source.ran_ms()};
    return message;
}

std::optional<dispatch::any_message> read(name_table& names, const pb::Mirror& source)
{
    dispatch::mirror message;
    read_domain(names, source, message);
    message.term = read_term(names, source.term());
    message.sequence = source.sequence();
    message.grant_id = source.grant_id();
    message.host = names.intern(source.host());
    message.hold = milliseconds{source.hold_ms()};
    message.released = source.released();
    message.holder = names.intern(source.holder());
    return message;
}

std::optional<dispatch::any_message> read(name_table& names, const pb::GrantReport& source)
{
    dispatch::grant_report message;
    read_domain(names, source, message);
    message.term = source.term();
    message.highest = read_term(names, source.highest());
    message.own_term = read_term(names, source.own_term());
    message.copied_term = read_term(names, source.copied_term());
    message.unexplained = milliseconds{source.unexplained_ms()};
    message.settled = source.settled();
    for (const pb::ReportedGrant& item : source.grants())
    {
        if (item.source() > static_cast<std::uint32_t>(dispatch::grant_source::copy))
        {
            return std::nullopt;
        }
        dispatch::reported_grant grant;
        grant.grant_id = item.grant_id();
        grant.host = names.intern(item.host());
        grant.hold = milliseconds{item.hold_ms()};
        grant.source = static_cast<dispatch::grant_source>(item.source());
        grant.holder = names.intern(item.holder());
        grant.term = read_term(names, item.term());
        message.grants.push_back(grant);
    }
    for (const pb::LostIncarnation& item : source.lost())
    {
        message.lost.push_back({names.intern(item.incarnation()), milliseconds{item.hold_ms()}});
    }
    return message;
}

template <typename Message, typename Source>
Message read_domain_only(name_table& names, const Source& source)
{
    Message message;
    read_domain(names, source, message);
    return message;
}

} // namespace

void encode(const name_table& names, const dispatch::any_message& message, pb::Envelope& target)
{
    std::visit(encoder(names, target), message);
}

std::optional<dispatch::any_message> decode_dispatch(name_table& names,
                                                     const pb::Envelope& envelope)
{
    switch (envelope.payload_case())
    {
    case pb::Envelope::kSlotRequest:
        return read(names, envelope.slot_request());
    case pb::Envelope::kGrant:
        return read(names, envelope.grant());
    case pb::Envelope::kRefusal:
        return read(names, envelope.refusal());
    case pb::Envelope::kCancel:
        return read(names, envelope.cancel(), envelope.incarnation());
    case pb::Envelope::kRelease:
        return read(names, envelope.release());
    case pb::Envelope::kMirror:
        return read(names, envelope.mirror());
    case pb::Envelope::kMirrorAck:
    {
        dispatch::mirror_ack message =
            read_domain_only<dispatch::mirror_ack>(names, envelope.mirror_ack());
        message.sequence = envelope.mirror_ack().sequence();
        return message;
    }
    case pb::Envelope::kTermBegin:
    {
        dispatch::term_begin message =
            read_domain_only<dispatch::term_begin>(names, envelope.term_begin());
        message.term = read_term(names, envelope.term_begin().term());
        return message;
    }
    case pb::Envelope::kGrantReport:
        return read(names, envelope.grant_report());
    case pb::Envelope::kSlotNews:
    {
        dispatch::slot_news message =
            read_domain_only<dispatch::slot_news>(names, envelope.slot_news());
        message.free_slots = envelope.slot_news().free_slots();
        message.queue_length = envelope.slot_news().queue_length();
        return message;
    }
    default:
        return std::nullopt;
    }
}

} // namespace lacewingquay::peer
