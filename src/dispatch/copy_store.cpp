#include "dispatch/copy_store.hpp"

#include <algorithm>

namespace lacewingquay::dispatch
{

void copy_store::on_mirror(steady_time now, domain_index domain, const mirror& message)
{
    if (message.grant_id == 0)
    {
        const auto known =
            std::find_if(complete_.begin(), complete_.end(),
                         [domain](const complete_term& entry) { return entry.domain == domain; });
        if (known == complete_.end())
        {
            complete_.push_back(complete_term{domain, message.term, true});
        }
        else
        {
            *known = complete_term{domain, message.term, true};
        }
        // The complete copies of this term replace all copies of earlier terms.
        std::erase_if(copies_, [&](const copy& entry)
                      { return entry.domain == domain && !(entry.term == message.term); });
        return;
    }
    const auto known =
        std::find_if(copies_.begin(), copies_.end(),
                     [&](const copy& entry)
                     { return entry.domain == domain && entry.grant_id == message.grant_id; });
    if (message.released)
    {
        if (known != copies_.end())
        {
            *known = copies_.back();
            copies_.pop_back();
        }
        return;
    }
    const copy updated{domain,       message.term,   message.grant_id,
                       message.host, message.holder, now + message.hold};
    if (known == copies_.end())
    {
        copies_.push_back(updated);
    }
    else
    {
        *known = updated;
    }
}

void copy_store::append_report(steady_time now, domain_index domain, grant_report& report) const
{
    for (const complete_term& entry : complete_)
    {
        if (entry.domain == domain && entry.complete)
        {
            report.copied_term = entry.term;
        }
    }
    for (const copy& entry : copies_)
    {
        if (entry.domain == domain && entry.expires_at > now)
        {
            report.grants.push_back(reported_grant{
                entry.grant_id, entry.host, std::chrono::ceil<milliseconds>(entry.expires_at - now),
                grant_source::copy, entry.holder, entry.term});
        }
    }
}

std::vector<std::pair<domain_index, name_id>> copy_store::invalidate_completeness()
{
    std::vector<std::pair<domain_index, name_id>> dispatchers;
    for (complete_term& entry : complete_)
    {
        if (entry.complete)
        {
            entry.complete = false;
            dispatchers.emplace_back(entry.domain, entry.term.incarnation);
        }
    }
    return dispatchers;
}

void copy_store::on_tick(steady_time now)
{
    std::erase_if(copies_, [now](const copy& entry) { return now >= entry.expires_at; });
}

} // namespace lacewingquay::dispatch
