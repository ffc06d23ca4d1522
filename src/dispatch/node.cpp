#include "dispatch/node.hpp"

#include <algorithm>
#include <utility>

namespace lacewingquay::dispatch
{

node::node(name_table& names, const settings& core_settings, name_id self_id,
           name_id self_incarnation, name_id self_zone, steady_time now)
    : settings_(core_settings), directory_(names, self_id, self_incarnation, self_zone),
      dispatcher_(directory_, settings_, now), holder_(directory_, settings_), last_event_(now)
{
}

void node::enter(steady_time now)
{
    const steady_time::duration gap = now - last_event_;
    if (gap > settings_.pause_threshold && !settings_.faults.skip_pause_detection)
    {
        dispatcher_.on_pause(now, gap, produced_);
    }
    last_event_ = now;
}

void node::drain(steady_time now, actions& out)
{
    while (!produced_.empty() || !to_self_.empty())
    {
        for (action& next : produced_)
        {
            send_message* sent = std::get_if<send_message>(&next);
            if (sent != nullptr && sent->to == directory_.self)
            {
                to_self_.push_back(std::move(sent->payload));
            }
            else
            {
                out.push_back(std::move(next));
            }
        }
        produced_.clear();
        if (!to_self_.empty())
        {
            const any_message next = std::move(to_self_.front());
            to_self_.pop_front();
            deliver(now, directory_.self, next);
        }
    }
}

void node::update(steady_time now, const routing::snapshot& snapshot,
                  std::span<const live_entry_host> live, actions& out)
{
    enter(now);
    directory_.update(snapshot, live);
    dispatcher_.on_update(now, snapshot, produced_);
    holder_.on_update(now, produced_);
    drain(now, out);
}

void node::tick(steady_time now, actions& out)
{
    enter(now);
    dispatcher_.on_tick(now, produced_);
    holder_.on_tick(now, produced_);
    drain(now, out);
}

void node::handle(steady_time now, name_id from, const any_message& received, actions& out)
{
    enter(now);
    deliver(now, from, received);
    drain(now, out);
}

void node::deliver(steady_time now, name_id from, const any_message& received)
{
    if (const slot_request* requested = std::get_if<slot_request>(&received))
    {
        dispatcher_.on_request(now, *requested, produced_);
    }
    else if (const grant* granted = std::get_if<grant>(&received))
    {
        holder_.on_grant(now, *granted, produced_);
    }
    else if (const refusal* refused = std::get_if<refusal>(&received))
    {
        holder_.on_refusal(now, *refused, produced_);
    }
    else if (const cancel* cancelled = std::get_if<cancel>(&received))
    {
        dispatcher_.on_cancel(now, *cancelled);
    }
    else if (const dispatch::release* released = std::get_if<dispatch::release>(&received))
    {
        dispatcher_.on_release(now, *released, produced_);
    }
    else if (const mirror* copied = std::get_if<mirror>(&received))
    {
        dispatcher_.on_mirror(now, from, *copied, produced_);
    }
    else if (const mirror_ack* acknowledged = std::get_if<mirror_ack>(&received))
    {
        dispatcher_.on_mirror_ack(now, from, *acknowledged, produced_);
    }
    else if (const term_begin* begun = std::get_if<term_begin>(&received))
    {
        answer_term(now, from, *begun);
    }
    else if (const grant_report* reported = std::get_if<grant_report>(&received))
    {
        dispatcher_.on_report(now, from, *reported, produced_);
    }
    else if (const slot_news* news = std::get_if<slot_news>(&received))
    {
        dispatcher_.on_slot_news(now, from, *news, produced_);
    }
}

void node::answer_term(steady_time now, name_id from, const term_begin& begun)
{
    const domain_index domain = directory_.index_of(begun.pool, begun.availability_zone);
    domain_entry& entry = directory_.at(domain);
    entry.highest_seen_term = std::max(entry.highest_seen_term, begun.term.number);
    grant_report report;
    report.pool = begun.pool;
    report.availability_zone = begun.availability_zone;
    report.term = begun.term.number;
    if (is_higher(directory_.names, entry.accepted_term, begun.term))
    {
        report.highest = entry.accepted_term;
        produced_.emplace_back(send_message{from, std::move(report)});
        return;
    }
    const bool repeated = entry.accepted_term == begun.term;
    if (!repeated)
    {
        entry.previous_accepted_term = entry.accepted_term;
        entry.accepted_term = begun.term;
        if (from != directory_.self)
        {
            dispatcher_.on_other_term(now, domain, produced_);
        }
    }
    report.highest = entry.previous_accepted_term;
    dispatcher_.append_report(now, domain, report);
    holder_.append_report(now, domain, report.grants);
    produced_.emplace_back(send_message{from, std::move(report)});
    if (!repeated)
    {
        holder_.on_term(now, domain, produced_);
    }
}

std::uint64_t node::request(steady_time now, slot_requirements requirements, actions& out)
{
    enter(now);
    const std::uint64_t request_id = holder_.request(now, std::move(requirements), produced_);
    drain(now, out);
    return request_id;
}

void node::abort(steady_time now, std::uint64_t request_id, actions& out)
{
    enter(now);
    holder_.abort(now, request_id, produced_);
    drain(now, out);
}

void node::release(steady_time now, std::uint64_t handle, traffic::slot_outcome outcome,
                   milliseconds ran, actions& out)
{
    enter(now);
    holder_.release(now, handle, outcome, ran, produced_);
    drain(now, out);
}

void node::observe_term(const domain_term& reported)
{
    domain_entry& entry =
        directory_.at(directory_.index_of(reported.pool, reported.availability_zone));
    entry.highest_seen_term = std::max(entry.highest_seen_term, reported.term);
}

std::vector<domain_term> node::terms() const
{
    std::vector<domain_term> result;
    for (domain_index i = 0; i < directory_.size(); ++i)
    {
        const domain_entry& entry = directory_.at(i);
        if (entry.highest_seen_term > 0)
        {
            result.push_back({entry.pool, entry.availability_zone, entry.highest_seen_term});
        }
    }
    return result;
}

void node::assume_lost(steady_time now, name_id incarnation)
{
    dispatcher_.assume_lost(now, incarnation);
}

} // namespace lacewingquay::dispatch
