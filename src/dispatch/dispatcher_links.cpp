#include "dispatch/dispatcher.hpp"

#include <algorithm>

/// Copies at the successor and load messages between dispatchers.
namespace lacewingquay::dispatch
{

bool dispatcher::needs_copy(name_id holder) const
{
    return holder == directory_.self || directory_.zone_of(holder) != directory_.zone;
}

void dispatcher::choose_successor(steady_time now, domain_state& domain, actions& out)
{
    name_id successor = name_id::none;
    for (const name_id candidate : directory_.at(domain.index).order)
    {
        if (candidate != directory_.self)
        {
            successor = candidate;
            break;
        }
    }
    if (successor != domain.successor || domain.own_term.number != domain.copied_term)
    {
        domain.successor = successor;
        domain.copied_term = domain.own_term.number;
        copy_all(now, domain, out);
    }
}

void dispatcher::copy_all(steady_time now, domain_state& domain, actions& out)
{
    domain.resend_at = now + settings_.resend_interval;
    if (domain.successor == name_id::none)
    {
        // No other entry host of the zone is live, so there is no successor to wait for.
        for (const awaiting_copy& entry : domain.awaiting)
        {
            out.emplace_back(send_message{entry.holder, entry.message});
        }
        domain.awaiting.clear();
        domain.completion_sequence = 0;
        return;
    }
    for (table_grant& granted : domain.table.grants())
    {
        if (granted.active && needs_copy(granted.holder) && !settings_.faults.skip_mirror)
        {
            send_copy(now, domain, granted, out);
            for (awaiting_copy& entry : domain.awaiting)
            {
                if (entry.message.grant_id == granted.grant_id)
                {
                    entry.sequence = domain.sequence;
                }
            }
        }
    }
    const domain_entry& names = directory_.at(domain.index);
    domain.completion_sequence = ++domain.sequence;
    out.emplace_back(send_message{
        domain.successor, mirror{names.pool, names.availability_zone,
                                 term_id{domain.term, directory_.self}, domain.completion_sequence,
                                 0, name_id::none, milliseconds{0}, false, name_id::none}});
}

void dispatcher::send_copy(steady_time now, domain_state& domain, table_grant& granted,
                           actions& out)
{
    // A holder in another zone may report an abandoned request only to a dispatcher that has died.
    const bool remote = granted.holder != directory_.self && !granted.abandoned;
    const steady_time end =
        granted.expires_at + (remote ? settings_.abandon_hold : milliseconds{0});
    const domain_entry& names = directory_.at(domain.index);
    granted.copied = true;
    if (domain.successor == name_id::none)
    {
        return;
    }
    out.emplace_back(send_message{
        domain.successor,
        mirror{names.pool, names.availability_zone, term_id{domain.term, directory_.self},
               ++domain.sequence, granted.grant_id, domain.table.hosts()[granted.host].name,
               std::chrono::ceil<milliseconds>(end - now), false, granted.holder}});
}

void dispatcher::on_mirror(steady_time now, name_id from, const mirror& message, actions& out)
{
    const domain_index domain = directory_.index_of(message.pool, message.availability_zone);
    domain_entry& entry = directory_.at(domain);
    entry.highest_seen_term = std::max(entry.highest_seen_term, message.term.number);
    if (is_higher(directory_.names, entry.accepted_term, message.term) &&
        !settings_.faults.ignore_terms)
    {
        // Without an acknowledgement the outdated dispatcher does not send the grant to its holder.
        return;
    }
    copies_.on_mirror(now, domain, message);
    if (!message.released)
    {
        out.emplace_back(send_message{
            from, mirror_ack{message.pool, message.availability_zone, message.sequence}});
    }
}

void dispatcher::on_mirror_ack(steady_time now, name_id from, const mirror_ack& message,
                               actions& out)
{
    domain_state* domain = find(directory_.index_of(message.pool, message.availability_zone));
    if (domain == nullptr || domain->phase != domain_phase::active || from != domain->successor)
    {
        return;
    }
    if (message.sequence == 0)
    {
        copy_all(now, *domain, out);
        return;
    }
    if (message.sequence == domain->completion_sequence)
    {
        domain->completion_sequence = 0;
    }
    for (std::size_t i = 0; i < domain->awaiting.size(); ++i)
    {
        if (domain->awaiting[i].sequence == message.sequence)
        {
            out.emplace_back(send_message{domain->awaiting[i].holder, domain->awaiting[i].message});
            domain->awaiting.erase(domain->awaiting.begin() + static_cast<std::ptrdiff_t>(i));
            return;
        }
    }
}

void dispatcher::on_slot_news(steady_time now, name_id from, const slot_news& message, actions& out)
{
    const domain_index index = directory_.index_of(message.pool, message.availability_zone);
    // The holder retries requests for a dispatcher that is not live at once; they would loop.
    if (!directory_.is_live(from))
    {
        return;
    }
    loads_.on_slot_news(now, index, from, message);
    for (domain_state& domain : domains_)
    {
        const name_id pool = directory_.at(domain.index).pool;
        const bool usable = message.pool == pool || message.pool == directory_.spare_pool;
        if (usable && domain.index != index && domain.phase == domain_phase::active &&
            domain.queue.size() > 0)
        {
            spill_queue(now, domain, out);
            publish_load(now, domain, out);
        }
    }
}

void dispatcher::publish_load(steady_time now, domain_state& domain, actions& out)
{
    const std::uint32_t queue = static_cast<std::uint32_t>(domain.queue.size());
    const std::uint32_t free = queue > 0 ? 0 : domain.table.free_slots(now);
    domain.load_changed =
        domain.load_changed || free != domain.last_free_slots || queue != domain.last_queue_length;
    domain.last_free_slots = free;
    domain.last_queue_length = queue;
    if (directory_.at(domain.index).pool == directory_.spare_pool)
    {
        // Domains of the same entry host read the load directly, without a message.
        loads_.on_slot_news(now, domain.index, directory_.self,
                            slot_news{name_id::none, name_id::none, free, queue});
        for (domain_state& other : domains_)
        {
            if (free > 0 && other.index != domain.index && other.queue.size() > 0 &&
                other.phase == domain_phase::active)
            {
                spill_queue(now, other, out);
            }
        }
    }
    if (domain.load_changed && now >= domain.next_slot_news_at)
    {
        domain.load_changed = false;
        domain.next_slot_news_at = now + settings_.slot_news_interval;
        send_slot_news(domain, out);
    }
}

void dispatcher::send_slot_news(const domain_state& domain, actions& out) const
{
    const domain_entry& entry = directory_.at(domain.index);
    const slot_news news{entry.pool, entry.availability_zone, domain.last_free_slots,
                         domain.last_queue_length};
    for (const live_entry_host& host : directory_.live)
    {
        if (host.incarnation != directory_.self && wants_slot_news(entry.pool, host.incarnation))
        {
            out.emplace_back(send_message{host.incarnation, news});
        }
    }
}

bool dispatcher::wants_slot_news(name_id pool, name_id incarnation) const
{
    for (domain_index i = 0; i < directory_.size(); ++i)
    {
        const bool concerned = pool == directory_.spare_pool || directory_.at(i).pool == pool;
        if (concerned && directory_.dispatcher_of(i) == incarnation)
        {
            return true;
        }
    }
    return false;
}

} // namespace lacewingquay::dispatch
