#include "dispatch/dispatcher.hpp"

#include <algorithm>

namespace lacewingquay::dispatch
{

void dispatcher::update_last_seen(steady_time now)
{
    const auto record = [this](name_id incarnation, steady_time at)
    {
        for (last_seen& entry : last_seen_)
        {
            if (entry.incarnation == incarnation)
            {
                entry.at = std::max(entry.at, at);
                return;
            }
        }
        last_seen_.push_back(last_seen{incarnation, at});
    };
    for (const live_entry_host& host : directory_.live)
    {
        if (host.availability_zone == directory_.zone)
        {
            record(host.incarnation, now);
        }
    }
    for (const name_id incarnation : directory_.registered)
    {
        const bool known =
            std::any_of(last_seen_.begin(), last_seen_.end(),
                        [&](const last_seen& entry) { return entry.incarnation == incarnation; });
        if (!known)
        {
            record(incarnation, now);
        }
    }
    // Keep registered incarnations; otherwise they would be added again with the current time.
    std::erase_if(last_seen_,
                  [&](const last_seen& entry)
                  {
                      const bool registered =
                          std::find(directory_.registered.begin(), directory_.registered.end(),
                                    entry.incarnation) != directory_.registered.end();
                      return !registered && now >= entry.at + settings_.max_grant_duration();
                  });
}

std::vector<lost_incarnation> dispatcher::lost_incarnations(steady_time now) const
{
    std::vector<lost_incarnation> lost;
    for (const last_seen& entry : last_seen_)
    {
        const steady_time end = entry.at + settings_.max_grant_duration();
        if (!directory_.is_live(entry.incarnation) && now < end)
        {
            lost.push_back({entry.incarnation, std::chrono::ceil<milliseconds>(end - now)});
        }
    }
    return lost;
}

void dispatcher::assume_lost(steady_time now, name_id incarnation)
{
    last_seen_.push_back(last_seen{incarnation, now});
}

void dispatcher::claim_domains(steady_time now, actions& out)
{
    const bool may_claim = now >= claims_allowed_at_ || directory_.registered.size() <= 1;
    for (domain_state& domain : domains_)
    {
        const domain_entry& entry = directory_.at(domain.index);
        if (entry.availability_zone != directory_.zone)
        {
            continue;
        }
        if (domain.phase == domain_phase::idle)
        {
            if (may_claim && !entry.order.empty() && entry.order.front() == directory_.self &&
                now >= domain.next_term_at)
            {
                begin_term(now, domain, out);
            }
            continue;
        }
        // Stop waiting for entry hosts that are no longer live and send the term to new ones.
        std::erase_if(domain.awaited,
                      [this](name_id reporter) { return !directory_.is_live(reporter); });
        std::erase_if(domain.notified,
                      [this](name_id incarnation) { return !directory_.is_live(incarnation); });
        for (const live_entry_host& host : directory_.live)
        {
            const bool notified = std::find(domain.notified.begin(), domain.notified.end(),
                                            host.incarnation) != domain.notified.end();
            if (notified)
            {
                continue;
            }
            domain.notified.push_back(host.incarnation);
            domain.unanswered.push_back(host.incarnation);
            send_term_begin(domain, host.incarnation, out);
            if (domain.phase == domain_phase::collecting &&
                host.availability_zone == directory_.zone)
            {
                domain.awaited.push_back(host.incarnation);
            }
        }
    }
}

void dispatcher::begin_term(steady_time now, domain_state& domain, actions& out)
{
    domain_entry& entry = directory_.at(domain.index);
    domain.term = std::max({domain.term, entry.highest_seen_term, entry.accepted_term.number}) + 1;
    entry.highest_seen_term = domain.term;
    domain.phase = domain_phase::collecting;
    domain.next_term_at = now + settings_.term_interval;
    domain.resend_at = now + settings_.resend_interval;
    domain.reports.clear();
    domain.released_early.clear();
    domain.silent.clear();
    domain.queue.clear();
    domain.awaiting.clear();
    domain.successor = name_id::none;
    domain.completion_sequence = 0;
    domain.awaited.clear();
    domain.notified.clear();
    domain.unanswered.clear();
    domain.next_term_resend_at = now + settings_.resend_interval;
    for (const live_entry_host& host : directory_.live)
    {
        domain.notified.push_back(host.incarnation);
        domain.unanswered.push_back(host.incarnation);
        if (host.availability_zone == directory_.zone)
        {
            domain.awaited.push_back(host.incarnation);
        }
        send_term_begin(domain, host.incarnation, out);
    }
    // Also tell incarnations that are not live: one that is wrongly considered dead must stop.
    for (const name_id incarnation : directory_.registered)
    {
        if (!directory_.is_live(incarnation) && incarnation != entry.accepted_term.incarnation)
        {
            send_term_begin(domain, incarnation, out);
        }
    }
    if (entry.accepted_term.number > 0 && !directory_.is_live(entry.accepted_term.incarnation))
    {
        send_term_begin(domain, entry.accepted_term.incarnation, out);
    }
    if (settings_.faults.skip_takeover_wait)
    {
        activate(now, domain, out);
    }
}

void dispatcher::resend_term_begin(steady_time now, domain_state& domain, actions& out) const
{
    if (domain.phase == domain_phase::idle || now < domain.next_term_resend_at)
    {
        return;
    }
    domain.next_term_resend_at = now + settings_.resend_interval;
    std::erase_if(domain.unanswered,
                  [this](name_id incarnation) { return !directory_.is_live(incarnation); });
    for (const name_id incarnation : domain.unanswered)
    {
        send_term_begin(domain, incarnation, out);
    }
}

void dispatcher::send_term_begin(const domain_state& domain, name_id to, actions& out) const
{
    const domain_entry& entry = directory_.at(domain.index);
    out.emplace_back(send_message{to, term_begin{entry.pool, entry.availability_zone,
                                                 term_id{domain.term, directory_.self}}});
}

void dispatcher::on_other_term(steady_time now, domain_index domain, actions& out)
{
    domain_state* known = find(domain);
    if (known != nullptr && known->phase != domain_phase::idle && !settings_.faults.ignore_terms)
    {
        stop(now, *known, out);
    }
}

void dispatcher::stop(steady_time now, domain_state& domain, actions& out)
{
    domain.phase = domain_phase::idle;
    domain.stopped_at = now;
    domain.next_term_at = now + settings_.term_interval;
    for (request_queue::queue& waiting : domain.queue.classes())
    {
        for (const queued_request& entry : waiting)
        {
            refuse(entry.request, refusal_reason::not_dispatcher, out);
        }
    }
    domain.queue.clear();
    for (const awaiting_copy& entry : domain.awaiting)
    {
        out.emplace_back(send_message{entry.holder,
                                      refusal{entry.message.request_id,
                                              refusal_reason::not_dispatcher, settings_.retry_after,
                                              name_id::none, name_id::none, name_id::none}});
        if (table_grant* granted = domain.table.find(entry.message.grant_id))
        {
            domain.table.remove(*granted);
        }
    }
    domain.awaiting.clear();
}

void dispatcher::on_pause(steady_time now, steady_time::duration length, actions& out)
{
    running_since_ = now;
    if (length >= settings_.failure_timeout)
    {
        claims_allowed_at_ = now + settings_.claim_delay;
    }
    for (const auto& [domain, from] : copies_.invalidate_completeness())
    {
        const domain_entry& entry = directory_.at(domain);
        out.emplace_back(send_message{from, mirror_ack{entry.pool, entry.availability_zone, 0}});
    }
    for (domain_state& domain : domains_)
    {
        if (domain.phase != domain_phase::idle)
        {
            stop(now, domain, out);
            domain.next_term_at = now;
        }
    }
}

void dispatcher::on_report(steady_time now, name_id from, const grant_report& message, actions& out)
{
    const domain_index index = directory_.index_of(message.pool, message.availability_zone);
    domain_state* domain = find(index);
    if (domain == nullptr || domain->phase == domain_phase::idle || message.term != domain->term)
    {
        return;
    }
    domain_entry& entry = directory_.at(index);
    entry.highest_seen_term = std::max(entry.highest_seen_term, message.highest.number);
    if (is_higher(directory_.names, message.highest, term_id{domain->term, directory_.self}) &&
        !settings_.faults.ignore_terms)
    {
        stop(now, *domain, out);
        return;
    }
    std::erase(domain->unanswered, from);
    if (domain->phase == domain_phase::active)
    {
        import_late_report(now, *domain, from, message, out);
        return;
    }
    const bool known =
        std::any_of(domain->reports.begin(), domain->reports.end(),
                    [from](const received_report& received) { return received.reporter == from; });
    if (!known)
    {
        domain->reports.push_back(received_report{from, message});
    }
    std::erase(domain->awaited, from);
    activate_if_reported(now, *domain, out);
}

void dispatcher::activate_if_reported(steady_time now, domain_state& domain, actions& out)
{
    if (!domain.awaited.empty())
    {
        return;
    }
    const bool settled =
        now >= running_since_ + settings_.settle_time ||
        std::any_of(domain.reports.begin(), domain.reports.end(),
                    [](const received_report& entry) { return entry.report.settled; });
    if (settled || unreported(now, domain).empty())
    {
        activate(now, domain, out);
    }
}

std::vector<lost_incarnation> dispatcher::unreported(steady_time now,
                                                     const domain_state& domain) const
{
    std::vector<lost_incarnation> silent = lost_incarnations(now);
    std::erase_if(silent,
                  [&](const lost_incarnation& lost)
                  {
                      return std::any_of(domain.reports.begin(), domain.reports.end(),
                                         [&](const received_report& entry)
                                         { return entry.reporter == lost.incarnation; });
                  });
    return silent;
}

void dispatcher::activate(steady_time now, domain_state& domain, actions& out)
{
    takeover merged = merge_reports(directory_.names, domain.reports, unreported(now, domain),
                                    settings_.max_grant_duration());
    // The reports include this entry host's own grants.
    domain.table.clear_grants();
    import_grants(now, domain, merged.grants);
    domain.silent.clear();
    for (const lost_incarnation& lost : merged.silent)
    {
        domain.silent.push_back({lost.incarnation, now + lost.hold});
    }
    if (!domain.silent.empty() && !settings_.faults.skip_takeover_wait)
    {
        domain.table.block_unexplained();
    }
    domain.phase = domain_phase::active;
    domain.own_term = term_id{domain.term, directory_.self};
    domain.load_changed = true;
    choose_successor(now, domain, out);
    grant_queued(now, domain, out);
    spill_queue(now, domain, out);
    publish_load(now, domain, out);
}

void dispatcher::import_grants(steady_time now, domain_state& domain,
                               const std::vector<takeover::known_grant>& grants)
{
    for (const takeover::known_grant& known : grants)
    {
        const bool released = std::find(domain.released_early.begin(), domain.released_early.end(),
                                        known.grant.grant_id) != domain.released_early.end();
        if (released)
        {
            continue;
        }
        // A holder in another zone may have reported the abandoned request only to the lost
        // dispatcher; its own report has not arrived yet.
        const bool uncertain = known.grant.source == grant_source::table &&
                               known.holder != known.grant.term.incarnation;
        const milliseconds hold =
            known.grant.hold + (uncertain ? settings_.abandon_hold : milliseconds{0});
        domain.table.import(known.grant.grant_id, known.grant.host, known.holder, now + hold,
                            directory_.placement_version);
    }
}

void dispatcher::record_early_release(domain_state& domain, const release& message) const
{
    if (message.outcome != traffic::slot_outcome::abandoned)
    {
        domain.released_early.push_back(message.grant_id);
        return;
    }
    // The holder's report may have been sent before it abandoned the request.
    received_report late;
    late.report.grants.push_back(reported_grant{message.grant_id,
                                                message.host,
                                                settings_.abandon_hold,
                                                grant_source::held,
                                                name_id::none,
                                                {}});
    domain.reports.push_back(std::move(late));
}

void dispatcher::import_late_report(steady_time now, domain_state& domain, name_id from,
                                    const grant_report& message, actions& out)
{
    const auto silent = std::find_if(domain.silent.begin(), domain.silent.end(),
                                     [from](const domain_state::silent_host& entry)
                                     { return entry.incarnation == from; });
    const bool was_silent = silent != domain.silent.end();
    // A held grant is always outstanding: its release arrives after the report.
    std::vector<takeover::known_grant> grants;
    for (const reported_grant& grant : message.grants)
    {
        if (grant.source == grant_source::held)
        {
            grants.push_back({grant, from});
        }
        else if (grant.source == grant_source::table && was_silent)
        {
            grants.push_back({grant, name_id::none});
        }
    }
    for (table_grant& granted : domain.table.grants())
    {
        const bool held = std::any_of(grants.begin(), grants.end(),
                                      [&](const takeover::known_grant& known)
                                      { return known.grant.grant_id == granted.grant_id; });
        if (granted.active && granted.taken_over && granted.holder == from && !held)
        {
            domain.table.remove_uncertain(granted, !domain.silent.empty());
        }
    }
    import_grants(now, domain, grants);
    if (was_silent)
    {
        domain.silent.erase(silent);
        update_silent(now, domain);
    }
    if (!grants.empty())
    {
        copy_all(now, domain, out);
    }
    grant_queued(now, domain, out);
}

void dispatcher::update_silent(steady_time now, domain_state& domain)
{
    std::erase_if(domain.silent,
                  [now](const domain_state::silent_host& entry) { return now >= entry.until; });
    if (domain.silent.empty())
    {
        domain.table.clear_unexplained();
    }
}

void dispatcher::append_report(steady_time now, domain_index domain, grant_report& report) const
{
    report.lost = lost_incarnations(now);
    // A term does not wait for entry hosts of other zones, so they may have missed terms.
    report.settled = directory_.at(domain).availability_zone == directory_.zone &&
                     now >= running_since_ + settings_.settle_time;
    copies_.append_report(now, domain, report);
    const domain_state* known = find(domain);
    if (known == nullptr)
    {
        return;
    }
    report.own_term = known->own_term;
    for (const domain_state::silent_host& entry : known->silent)
    {
        if (now < entry.until)
        {
            report.unexplained =
                std::max(report.unexplained, std::chrono::ceil<milliseconds>(entry.until - now));
        }
    }
    for (const table_grant& granted : known->table.grants())
    {
        if (granted.active && granted.expires_at > now)
        {
            report.grants.push_back(
                reported_grant{granted.grant_id, known->table.hosts()[granted.host].name,
                               std::chrono::ceil<milliseconds>(granted.expires_at - now),
                               grant_source::table, granted.holder, known->own_term});
        }
    }
}

} // namespace lacewingquay::dispatch
