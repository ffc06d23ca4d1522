#include "dispatch/dispatcher.hpp"

#include "core/hash.hpp"

#include <algorithm>

namespace lacewingquay::dispatch
{

namespace
{

/// Weight of a new sample in the exponential moving average of service times. With a larger weight
/// the wait estimate follows noise and the queue admits more than it can start in time.
constexpr double service_time_weight = 0.002;

/// Maximum number of requests examined per priority when the first ones cannot use a free host.
constexpr std::size_t scan_limit = 16;

} // namespace

dispatcher::dispatcher(directory& host_directory, const settings& core_settings, steady_time now)
    : directory_(host_directory), settings_(core_settings),
      claims_allowed_at_(now + core_settings.claim_delay), running_since_(now)
{
}

domain_state* dispatcher::find(domain_index domain)
{
    const bool known = domain < positions_.size() && positions_[domain] > 0;
    return known ? &domains_[positions_[domain] - 1] : nullptr;
}

const domain_state* dispatcher::find(domain_index domain) const
{
    const bool known = domain < positions_.size() && positions_[domain] > 0;
    return known ? &domains_[positions_[domain] - 1] : nullptr;
}

domain_state& dispatcher::state_of(domain_index domain)
{
    if (domain_state* known = find(domain))
    {
        return *known;
    }
    if (domain >= positions_.size())
    {
        positions_.resize(domain + 1);
    }
    const std::uint64_t seed = hash64(directory_.names.text(directory_.self)) & 0xffffffU;
    domain_state& added = domains_.emplace_back(domain, seed);
    added.mean_service = static_cast<double>(settings_.initial_service_time.count());
    positions_[domain] = static_cast<std::uint32_t>(domains_.size());
    return added;
}

void dispatcher::on_update(steady_time now, const routing::snapshot& snapshot, actions& out)
{
    for (domain_index i = 0; i < directory_.size(); ++i)
    {
        const domain_entry& entry = directory_.at(i);
        if (entry.availability_zone == directory_.zone)
        {
            state_of(i).table.set_hosts(directory_.names, snapshot, entry.pool, directory_.zone);
        }
    }
    update_last_seen(now);
    loads_.on_update(directory_);
    claim_domains(now, out);
    for (domain_state& domain : domains_)
    {
        if (domain.phase == domain_phase::collecting)
        {
            activate_if_reported(now, domain, out);
        }
        if (domain.phase == domain_phase::active)
        {
            choose_successor(now, domain, out);
            domain.load_changed = true;
            grant_queued(now, domain, out);
        }
    }
}

void dispatcher::on_tick(steady_time now, actions& out)
{
    copies_.on_tick(now);
    update_last_seen(now);
    claim_domains(now, out);
    for (domain_state& domain : domains_)
    {
        const bool freed = domain.table.expire(now, !domain.silent.empty()) > 0;
        domain.queue.on_tick(now);
        resend_term_begin(now, domain, out);
        if (domain.phase == domain_phase::collecting)
        {
            activate_if_reported(now, domain, out);
        }
        if (domain.phase != domain_phase::active)
        {
            continue;
        }
        update_silent(now, domain);
        const bool unacknowledged = domain.completion_sequence > 0 || !domain.awaiting.empty();
        if (unacknowledged && domain.successor != name_id::none && now >= domain.resend_at)
        {
            copy_all(now, domain, out);
        }
        if (freed || domain.queue.size() > 0)
        {
            grant_queued(now, domain, out);
            spill_queue(now, domain, out);
        }
        if (now >= domain.next_slot_news_at)
        {
            publish_load(now, domain, out);
        }
    }
}

void dispatcher::on_request(steady_time now, const slot_request& message, actions& out)
{
    const domain_index index = directory_.index_of(message.pool, message.availability_zone);
    domain_state* domain = find(index);
    if (domain == nullptr || domain->phase == domain_phase::idle)
    {
        refuse(message, refusal_reason::not_dispatcher, out);
        return;
    }
    queued_request entry{message, now, now - message.waited, now + message.deadline, now};
    entry.request.run_limit = std::min(message.run_limit, settings_.max_run_limit);
    entry.due_at = entry.deadline_at -
                   std::min<steady_time::duration>(message.run_limit, message.deadline / 2) -
                   settings_.deferrable_lead_time;
    if (domain->phase == domain_phase::collecting)
    {
        if (domain->queue.size() >= settings_.max_queue)
        {
            refuse(message, refusal_reason::overload, out);
            return;
        }
        domain->queue.push(std::move(entry));
        return;
    }
    admit(now, *domain, std::move(entry), out);
    publish_load(now, *domain, out);
}

void dispatcher::admit(steady_time now, domain_state& domain, queued_request&& entry, actions& out)
{
    if (entry.request.urgency == config::priority::deferrable && now >= entry.due_at)
    {
        entry.request.urgency = config::priority::normal;
    }
    const bool first = domain.queue.ahead_of(entry.request.urgency) == 0;
    if ((first && try_grant(now, domain, entry, out)) || spill(now, domain, entry, out))
    {
        return;
    }
    if (!domain.table.has_host(entry.request.avoid) && !has_host_elsewhere(domain))
    {
        refuse(entry.request, refusal_reason::no_hosts, out);
        return;
    }
    const bool admitted = entry.request.waited >= settings_.max_wait_for_refusal;
    if (domain.queue.size() >= settings_.max_queue ||
        (!admitted && !fits_deadline(now, domain, entry)))
    {
        refuse(entry.request, refusal_reason::overload, out);
        return;
    }
    domain.queue.push(std::move(entry));
}

bool dispatcher::has_host_elsewhere(const domain_state& domain) const
{
    const name_id pool = directory_.at(domain.index).pool;
    for (domain_index i = 0; i < directory_.size(); ++i)
    {
        const domain_entry& entry = directory_.at(i);
        if (i != domain.index && entry.serving_hosts > 0 &&
            (entry.pool == pool || entry.pool == directory_.spare_pool))
        {
            return true;
        }
    }
    return false;
}

bool dispatcher::fits_deadline(steady_time now, const domain_state& domain,
                               const queued_request& entry) const
{
    if (entry.request.urgency == config::priority::deferrable)
    {
        return true;
    }
    const std::uint32_t usable = domain.table.usable_slots(now);
    if (usable == 0)
    {
        return false;
    }
    const double ahead = static_cast<double>(domain.queue.ahead_of(entry.request.urgency) + 1);
    const double wait = ahead * domain.mean_service / usable;
    const std::chrono::duration<double, std::milli> left = entry.deadline_at - now;
    const double reserve =
        std::min(settings_.admission_margin * domain.mean_service, left.count() / 4);
    return wait + reserve <= left.count();
}

bool dispatcher::may_start_deferrable(steady_time now, const domain_state& domain) const
{
    const std::uint32_t free = domain.table.free_slots(now);
    return free > 0 && free * settings_.deferrable_idle_divisor >= domain.table.total_slots();
}

bool dispatcher::try_grant(steady_time now, domain_state& domain, const queued_request& entry,
                           actions& out)
{
    if (entry.request.urgency == config::priority::deferrable && !may_start_deferrable(now, domain))
    {
        return false;
    }
    const std::optional<std::uint32_t> host = domain.table.choose(now, entry.request.avoid);
    if (!host)
    {
        return false;
    }
    issue_grant(now, domain, *host, entry, out);
    return true;
}

void dispatcher::issue_grant(steady_time now, domain_state& domain, std::uint32_t host,
                             const queued_request& entry, actions& out)
{
    const slot_request& request = entry.request;
    table_grant& granted =
        domain.table.add(host, request.holder,
                         now + settings_.start_window + request.run_limit + settings_.expiry_margin,
                         directory_.placement_version);
    domain.table.outliers.on_granted(now, host);
    const domain_entry& names = directory_.at(domain.index);
    const milliseconds waited = std::chrono::floor<milliseconds>(now - entry.arrived_at);
    const grant message{granted.grant_id,
                        request.request_id,
                        names.pool,
                        names.availability_zone,
                        term_id{domain.term, directory_.self},
                        domain.table.hosts()[host].name,
                        directory_.placement_version,
                        request.waited + waited,
                        settings_.start_window,
                        request.run_limit};
    const bool copied = needs_copy(request.holder) && domain.successor != name_id::none &&
                        !settings_.faults.skip_mirror;
    if (!copied)
    {
        out.emplace_back(send_message{request.holder, message});
        return;
    }
    send_copy(now, domain, granted, out);
    domain.awaiting.push_back(awaiting_copy{domain.sequence, request.holder, message});
    domain.resend_at = std::max(domain.resend_at, now + settings_.resend_interval);
}

void dispatcher::grant_queued(steady_time now, domain_state& domain, actions& out)
{
    for (request_queue::queue& waiting : domain.queue.classes())
    {
        std::size_t position = 0;
        while (position < waiting.size() && position < scan_limit)
        {
            if (now >= waiting[position].deadline_at ||
                try_grant(now, domain, waiting[position], out))
            {
                waiting.erase(waiting.begin() + static_cast<std::ptrdiff_t>(position));
                continue;
            }
            // A later request can start before this one only if this one avoids some hosts.
            if (waiting[position].request.avoid.empty())
            {
                break;
            }
            ++position;
        }
        if (!waiting.empty() && waiting.front().request.avoid.empty() &&
            domain.table.free_slots(now) == 0)
        {
            return;
        }
    }
}

bool dispatcher::spill(steady_time now, domain_state& domain, const queued_request& entry,
                       actions& out)
{
    const bool deferrable = entry.request.urgency == config::priority::deferrable;
    if (entry.request.spill_hops > 0 || (deferrable && domain.table.total_slots() > 0))
    {
        return false;
    }
    std::optional<domain_index> target =
        loads_.choose(directory_, directory_.at(domain.index).pool);
    if (!target && !deferrable)
    {
        target = shorter_queue(now, domain, entry);
    }
    if (!target)
    {
        return false;
    }
    domain_load_cache::entry& known = loads_.at(*target);
    // Update the cached load, so that no more requests spill than one message announced slots for.
    if (known.free_slots > 0)
    {
        --known.free_slots;
    }
    else
    {
        ++known.queue_length;
    }
    slot_request forwarded = entry.request;
    forwarded.pool = directory_.at(*target).pool;
    forwarded.availability_zone = directory_.at(*target).availability_zone;
    forwarded.spill_hops += 1;
    forwarded.waited += std::chrono::floor<milliseconds>(now - entry.arrived_at);
    forwarded.deadline =
        std::max(milliseconds{0}, std::chrono::floor<milliseconds>(entry.deadline_at - now));
    refusal moved{entry.request.request_id, refusal_reason::moved,       milliseconds{0},
                  forwarded.pool,           forwarded.availability_zone, known.dispatcher};
    out.emplace_back(send_message{known.dispatcher, std::move(forwarded)});
    out.emplace_back(send_message{entry.request.holder, moved});
    return true;
}

std::optional<domain_index> dispatcher::shorter_queue(steady_time now, const domain_state& domain,
                                                      const queued_request& entry)
{
    const std::uint32_t usable = domain.table.usable_slots(now);
    const bool queued = entry.arrived_at < now;
    const std::size_t ahead =
        queued ? domain.queue.size() : domain.queue.ahead_of(entry.request.urgency) + 1;
    const double own = usable == 0 ? 1e9 : static_cast<double>(ahead) / usable;
    const double gain = static_cast<double>(settings_.min_spill_gain.count()) / domain.mean_service;
    const name_id pool = directory_.at(domain.index).pool;
    std::optional<domain_index> best;
    // Cached loads are up to one interval old, so small differences of long queues are noise.
    double shortest = own * (queued ? 0.5 : 0.9) - gain;
    for (const name_id zone : directory_.zones)
    {
        const domain_index other = directory_.index_of(pool, zone);
        const domain_load_cache::entry& known = loads_.at(other);
        const std::uint32_t slots = directory_.at(other).serving_slots;
        if (zone == directory_.zone || slots == 0 || known.dispatcher == name_id::none ||
            now > known.received_at + settings_.slot_news_max_age)
        {
            continue;
        }
        const double wait = static_cast<double>(known.queue_length + 1) / slots;
        if (wait < shortest)
        {
            shortest = wait;
            best = other;
        }
    }
    return best;
}

void dispatcher::spill_queue(steady_time now, domain_state& domain, actions& out)
{
    for (request_queue::queue& waiting : domain.queue.classes())
    {
        std::size_t position = 0;
        while (position < waiting.size() && position < scan_limit)
        {
            if (waiting[position].request.spill_hops > 0)
            {
                ++position;
                continue;
            }
            if (!spill(now, domain, waiting[position], out))
            {
                break;
            }
            waiting.erase(waiting.begin() + static_cast<std::ptrdiff_t>(position));
        }
    }
}

void dispatcher::refuse(const slot_request& request, refusal_reason reason, actions& out) const
{
    out.emplace_back(
        send_message{request.holder, refusal{request.request_id, reason, settings_.retry_after,
                                             name_id::none, name_id::none, name_id::none}});
}

void dispatcher::on_cancel(steady_time now, const cancel& message)
{
    static_cast<void>(now);
    if (domain_state* domain = find(directory_.index_of(message.pool, message.availability_zone)))
    {
        domain->queue.remove(message.request_id, message.holder);
    }
}

void dispatcher::on_release(steady_time now, const release& message, actions& out)
{
    const domain_index index = directory_.index_of(message.pool, message.availability_zone);
    domain_state* domain = find(index);
    if (domain == nullptr)
    {
        return;
    }
    const bool abandoned = message.outcome == traffic::slot_outcome::abandoned;
    table_grant* granted = domain->table.find(message.grant_id);
    if (domain->phase == domain_phase::collecting)
    {
        record_early_release(*domain, message);
    }
    if (granted == nullptr && abandoned &&
        (domain->phase == domain_phase::active || message.term == domain->own_term.number))
    {
        // After a pause of this dispatcher a grant may expire before its holder's message is read.
        domain->table.import(message.grant_id, message.host, name_id::none,
                             now + settings_.abandon_hold, directory_.placement_version);
        granted = domain->table.find(message.grant_id);
    }
    if (granted == nullptr)
    {
        return;
    }
    const std::uint32_t host = granted->host;
    if (message.outcome == traffic::slot_outcome::unused)
    {
        domain->table.outliers.on_unused(host);
    }
    else
    {
        domain->table.outliers.on_outcome(now, host,
                                          message.outcome != traffic::slot_outcome::succeeded);
        domain->mean_service +=
            service_time_weight * (static_cast<double>(message.ran.count()) - domain->mean_service);
    }
    if (abandoned)
    {
        domain->table.mark_abandoned(*granted, now + settings_.abandon_hold);
        if (granted->copied)
        {
            send_copy(now, *domain, *granted, out);
        }
    }
    else
    {
        if (granted->copied && domain->successor != name_id::none)
        {
            const domain_entry& names = directory_.at(index);
            out.emplace_back(send_message{domain->successor,
                                          mirror{names.pool, names.availability_zone,
                                                 term_id{domain->term, directory_.self},
                                                 ++domain->sequence, message.grant_id, message.host,
                                                 milliseconds{0}, true, name_id::none}});
        }
        domain->table.remove(*granted);
    }
    if (domain->phase == domain_phase::idle)
    {
        const name_id current = directory_.dispatcher_of(index);
        if (current != name_id::none && current != directory_.self)
        {
            // Remove it, or an abandoned grant could be forwarded twice.
            if (abandoned)
            {
                domain->table.remove(*granted);
            }
            out.emplace_back(send_message{current, message});
        }
        return;
    }
    if (domain->phase == domain_phase::active)
    {
        grant_queued(now, *domain, out);
        publish_load(now, *domain, out);
    }
}

} // namespace lacewingquay::dispatch
