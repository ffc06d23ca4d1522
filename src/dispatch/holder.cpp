#include "dispatch/holder.hpp"

#include <algorithm>

namespace lacewingquay::dispatch
{

namespace
{

constexpr std::uint64_t slot_bits = 24;
constexpr std::uint64_t slot_mask = (std::uint64_t{1} << slot_bits) - 1;

milliseconds floor_to_milliseconds(steady_time::duration duration)
{
    return std::chrono::floor<milliseconds>(duration);
}

} // namespace

holder::holder(directory& host_directory, const settings& core_settings)
    : directory_(host_directory), settings_(core_settings)
{
}

std::uint64_t holder::next_id(std::size_t slot)
{
    return (++counter_ << slot_bits) | slot;
}

holder::pending* holder::find(std::uint64_t attempt)
{
    const std::size_t slot = attempt & slot_mask;
    if (slot >= pending_.size() || !pending_[slot].active || pending_[slot].attempt != attempt)
    {
        return nullptr;
    }
    return &pending_[slot];
}

std::uint64_t holder::request(steady_time now, slot_requirements requirements, actions& out)
{
    if (free_pending_.empty())
    {
        free_pending_.push_back(static_cast<std::uint32_t>(pending_.size()));
        pending_.emplace_back();
    }
    const std::uint32_t slot = free_pending_.back();
    free_pending_.pop_back();
    ++pending_count_;
    pending& entry = pending_[slot];
    entry.request_id = next_id(slot);
    entry.requirements = std::move(requirements);
    entry.requirements.run_limit = std::min(entry.requirements.run_limit, settings_.max_run_limit);
    entry.created_at = now;
    entry.active = true;
    const std::uint64_t request_id = entry.request_id;
    const directory::service_entry service = directory_.service(entry.requirements.service);
    if (!service.known)
    {
        refuse(entry, refusal_reason::unknown_service, settings_.retry_after, out);
        return request_id;
    }
    entry.domain = directory_.index_of(service.pool, directory_.zone);
    send_request(now, entry, out);
    return request_id;
}

void holder::abort(steady_time now, std::uint64_t request_id, actions& out)
{
    static_cast<void>(now);
    const std::size_t slot = request_id & slot_mask;
    if (slot >= pending_.size() || !pending_[slot].active ||
        pending_[slot].request_id != request_id)
    {
        return;
    }
    pending& entry = pending_[slot];
    const domain_entry& domain = directory_.at(entry.domain);
    if (entry.target_dispatcher != name_id::none)
    {
        out.emplace_back(send_message{
            entry.target_dispatcher,
            cancel{entry.attempt, domain.pool, domain.availability_zone, directory_.self}});
    }
    finish(entry);
}

void holder::send_request(steady_time now, pending& entry, actions& out)
{
    entry.attempt = next_id(entry.request_id & slot_mask);
    entry.sent_at = now;
    entry.retry_at = steady_time::max();
    entry.target_dispatcher = directory_.dispatcher_of(entry.domain);
    if (entry.target_dispatcher == name_id::none)
    {
        entry.retry_at = now + settings_.retry_interval;
        return;
    }
    const domain_entry& domain = directory_.at(entry.domain);
    slot_request message;
    message.request_id = entry.attempt;
    message.holder = directory_.self;
    message.service = entry.requirements.service;
    message.pool = domain.pool;
    message.availability_zone = domain.availability_zone;
    message.urgency = entry.requirements.urgency;
    message.deadline =
        std::max(milliseconds{0}, floor_to_milliseconds(entry.requirements.deadline - now));
    message.run_limit = entry.requirements.run_limit;
    message.avoid = entry.requirements.avoid;
    out.emplace_back(send_message{entry.target_dispatcher, std::move(message)});
}

void holder::retry(steady_time now, pending& entry, actions& out)
{
    const domain_entry& domain = directory_.at(entry.domain);
    if (entry.target_dispatcher != name_id::none && directory_.is_live(entry.target_dispatcher))
    {
        out.emplace_back(send_message{
            entry.target_dispatcher,
            cancel{entry.attempt, domain.pool, domain.availability_zone, directory_.self}});
    }
    const directory::service_entry service = directory_.service(entry.requirements.service);
    if (!service.known)
    {
        refuse(entry, refusal_reason::unknown_service, settings_.retry_after, out);
        return;
    }
    entry.domain = directory_.index_of(service.pool, directory_.zone);
    send_request(now, entry, out);
}

void holder::refuse(pending& entry, refusal_reason reason, milliseconds retry_after, actions& out)
{
    out.emplace_back(slot_refused{entry.request_id, reason, retry_after});
    finish(entry);
}

void holder::finish(pending& entry)
{
    entry.active = false;
    --pending_count_;
    free_pending_.push_back(static_cast<std::uint32_t>(entry.request_id & slot_mask));
}

void holder::on_grant(steady_time now, const grant& message, actions& out)
{
    const domain_index domain = directory_.index_of(message.pool, message.availability_zone);
    domain_entry& known = directory_.at(domain);
    known.highest_seen_term = std::max(known.highest_seen_term, message.term.number);
    const bool outdated = is_higher(directory_.names, known.accepted_term, message.term) &&
                          !settings_.faults.ignore_terms;
    pending* entry = find(message.request_id);
    if (entry == nullptr || outdated)
    {
        return_unused(message, domain, out);
        if (entry != nullptr)
        {
            retry(now, *entry, out);
        }
        return;
    }
    if (known.availability_zone != directory_.zone &&
        is_higher(directory_.names, message.term, known.accepted_term))
    {
        // The term began while the other zone was unreachable.
        known.previous_accepted_term = known.accepted_term;
        known.accepted_term = message.term;
    }
    const steady_time start_by = entry->sent_at + message.waited + message.start_window;
    if (now >= entry->requirements.deadline)
    {
        return_unused(message, domain, out);
        refuse(*entry, refusal_reason::deadline, settings_.retry_after, out);
        return;
    }
    if (now >= start_by && !settings_.faults.skip_start_by)
    {
        return_unused(message, domain, out);
        retry(now, *entry, out);
        return;
    }
    if (free_held_.empty())
    {
        free_held_.push_back(static_cast<std::uint32_t>(held_.size()));
        held_.emplace_back();
    }
    const std::uint32_t slot = free_held_.back();
    free_held_.pop_back();
    ++held_count_;
    held_[slot] = held{next_id(slot),
                       message.grant_id,
                       domain,
                       message.term.number,
                       message.host,
                       start_by + message.run_limit,
                       {},
                       false,
                       true};
    out.emplace_back(slot_granted{entry->request_id, held_[slot].handle, message.pool,
                                  message.availability_zone, message.term, message.grant_id,
                                  message.host, start_by, held_[slot].run_until});
    finish(*entry);
}

void holder::return_unused(const grant& message, domain_index domain, actions& out) const
{
    const name_id dispatcher = directory_.dispatcher_of(domain);
    const dispatch::release returned{
        message.grant_id,    message.pool, message.availability_zone,
        message.term.number, message.host, traffic::slot_outcome::unused,
        milliseconds{0}};
    if (dispatcher != name_id::none && dispatcher != message.term.incarnation)
    {
        out.emplace_back(send_message{dispatcher, returned});
    }
    out.emplace_back(send_message{message.term.incarnation, returned});
}

void holder::on_refusal(steady_time now, const refusal& message, actions& out)
{
    pending* entry = find(message.request_id);
    if (entry == nullptr)
    {
        return;
    }
    if (message.reason == refusal_reason::moved)
    {
        entry->target_dispatcher = message.dispatcher;
        entry->domain = directory_.index_of(message.pool, message.availability_zone);
        if (!directory_.is_live(entry->target_dispatcher))
        {
            retry(now, *entry, out);
        }
        return;
    }
    if (message.reason == refusal_reason::not_dispatcher)
    {
        entry->target_dispatcher = name_id::none;
        entry->retry_at = now + settings_.retry_interval;
        return;
    }
    refuse(*entry, message.reason, message.retry_after, out);
}

void holder::release(steady_time now, std::uint64_t handle, traffic::slot_outcome outcome,
                     milliseconds ran, actions& out)
{
    const std::size_t slot = handle & slot_mask;
    if (slot >= held_.size() || !held_[slot].active || held_[slot].handle != handle)
    {
        return;
    }
    held& entry = held_[slot];
    if (outcome == traffic::slot_outcome::abandoned)
    {
        if (!entry.abandoned)
        {
            entry.abandoned = true;
            entry.hold_until = now + settings_.abandon_hold;
            send_release(entry, outcome, ran, out);
        }
        return;
    }
    send_release(entry, outcome, ran, out);
    entry.active = false;
    --held_count_;
    free_held_.push_back(static_cast<std::uint32_t>(slot));
}

void holder::send_release(const held& entry, traffic::slot_outcome outcome, milliseconds ran,
                          actions& out) const
{
    const name_id dispatcher = directory_.dispatcher_of(entry.domain);
    if (dispatcher == name_id::none)
    {
        return;
    }
    const domain_entry& domain = directory_.at(entry.domain);
    out.emplace_back(send_message{
        dispatcher, dispatch::release{entry.grant_id, domain.pool, domain.availability_zone,
                                      entry.term, entry.host, outcome, ran}});
}

void holder::on_term(steady_time now, domain_index domain, actions& out)
{
    for (pending& entry : pending_)
    {
        if (entry.active && entry.domain == domain && entry.target_dispatcher != name_id::none)
        {
            retry(now, entry, out);
        }
    }
}

void holder::on_update(steady_time now, actions& out)
{
    for (pending& entry : pending_)
    {
        if (entry.active && entry.target_dispatcher != name_id::none &&
            !directory_.is_live(entry.target_dispatcher))
        {
            retry(now, entry, out);
        }
    }
}

void holder::on_tick(steady_time now, actions& out)
{
    for (pending& entry : pending_)
    {
        if (!entry.active)
        {
            continue;
        }
        const domain_entry& domain = directory_.at(entry.domain);
        if (now >= entry.requirements.deadline)
        {
            if (entry.target_dispatcher != name_id::none)
            {
                out.emplace_back(send_message{
                    entry.target_dispatcher,
                    cancel{entry.attempt, domain.pool, domain.availability_zone, directory_.self}});
            }
            refuse(entry, refusal_reason::deadline, settings_.retry_after, out);
        }
        else if (entry.target_dispatcher == name_id::none &&
                 now >= entry.created_at + settings_.unreachable_timeout)
        {
            refuse(entry, refusal_reason::dispatcher_unreachable, settings_.retry_after, out);
        }
        else if (now >= entry.retry_at)
        {
            retry(now, entry, out);
        }
    }
    for (held& entry : held_)
    {
        if (entry.active && entry.abandoned && now >= entry.hold_until)
        {
            entry.active = false;
            --held_count_;
            free_held_.push_back(static_cast<std::uint32_t>(entry.handle & slot_mask));
        }
    }
}

void holder::append_report(steady_time now, domain_index domain,
                           std::vector<reported_grant>& report) const
{
    for (const held& entry : held_)
    {
        if (!entry.active || entry.domain != domain)
        {
            continue;
        }
        const steady_time end = entry.abandoned
                                    ? entry.hold_until
                                    : std::max(now, entry.run_until) + settings_.expiry_margin;
        report.push_back(reported_grant{entry.grant_id,
                                        entry.host,
                                        std::chrono::ceil<milliseconds>(end - now),
                                        grant_source::held,
                                        directory_.self,
                                        {}});
    }
}

} // namespace lacewingquay::dispatch
