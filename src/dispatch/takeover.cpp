#include "dispatch/takeover.hpp"

#include <algorithm>

namespace lacewingquay::dispatch
{

namespace
{

const received_report* report_of(std::span<const received_report> reports, name_id reporter)
{
    for (const received_report& entry : reports)
    {
        if (entry.reporter == reporter)
        {
            return &entry;
        }
    }
    return nullptr;
}

/// The highest term in the reports; if `limit` has a number, the highest below it.
term_id highest_term(const name_table& names, std::span<const received_report> reports,
                     const term_id& limit)
{
    term_id best;
    for (const received_report& entry : reports)
    {
        for (const term_id& term :
             {entry.report.highest, entry.report.own_term, entry.report.copied_term})
        {
            const bool below = limit.number == 0 || is_higher(names, limit, term);
            if (below && is_higher(names, term, best))
            {
                best = term;
            }
        }
    }
    return best;
}

struct previous_term
{
    term_id term;
    /// A higher term began but never granted, so the reports may lack the latest term that did.
    bool uncertain = false;
};

previous_term previous_of(const name_table& names, std::span<const received_report> reports)
{
    previous_term previous{highest_term(names, reports, {}), false};
    while (previous.term.number > 0)
    {
        const received_report* dispatcher = report_of(reports, previous.term.incarnation);
        if (dispatcher == nullptr || dispatcher->report.own_term == previous.term)
        {
            break;
        }
        previous.term = highest_term(names, reports, previous.term);
        previous.uncertain = true;
    }
    return previous;
}

bool has_copies(std::span<const received_report> reports, const term_id& term)
{
    return std::any_of(reports.begin(), reports.end(),
                       [&](const received_report& entry)
                       { return entry.report.copied_term == term; });
}

} // namespace

void add_lost(std::vector<lost_incarnation>& list, const lost_incarnation& entry)
{
    for (lost_incarnation& known : list)
    {
        if (known.incarnation == entry.incarnation)
        {
            known.hold = std::max(known.hold, entry.hold);
            return;
        }
    }
    list.push_back(entry);
}

takeover merge_reports(const name_table& names, std::span<const received_report> reports,
                       std::vector<lost_incarnation> silent, milliseconds max_hold)
{
    for (const received_report& entry : reports)
    {
        for (const lost_incarnation& lost : entry.report.lost)
        {
            if (report_of(reports, lost.incarnation) == nullptr)
            {
                add_lost(silent, lost);
            }
        }
    }
    const previous_term previous = previous_of(names, reports);
    const received_report* dispatcher = report_of(reports, previous.term.incarnation);
    const bool by_table = previous.term.number > 0 && dispatcher != nullptr;
    const bool by_copies =
        !by_table && previous.term.number > 0 && has_copies(reports, previous.term);
    takeover result;
    for (const received_report& entry : reports)
    {
        for (const reported_grant& grant : entry.report.grants)
        {
            const bool latest = grant.term == previous.term;
            if (grant.source == grant_source::held)
            {
                result.grants.push_back({grant, entry.reporter});
            }
            else if (((!by_table && !by_copies) || latest) &&
                     report_of(reports, grant.holder) == nullptr)
            {
                // A holder's own report is more recent than tables and copies.
                result.grants.push_back({grant, grant.holder});
            }
        }
    }
    if (by_table && !previous.uncertain)
    {
        silent.clear();
    }
    if (by_table && dispatcher->report.unexplained > milliseconds{0})
    {
        add_lost(silent, {name_id::none, dispatcher->report.unexplained});
    }
    if (by_copies)
    {
        std::erase_if(silent, [&](const lost_incarnation& entry)
                      { return entry.incarnation == previous.term.incarnation; });
    }
    else if (!by_table && previous.term.number > 0)
    {
        // Local membership may not know the previous dispatcher.
        add_lost(silent, {previous.term.incarnation, max_hold});
    }
    result.silent = std::move(silent);
    return result;
}

} // namespace lacewingquay::dispatch
