#pragma once

#include "dispatch/directory.hpp"
#include "dispatch/messages.hpp"

#include <span>
#include <vector>

namespace lacewingquay::dispatch
{

/// The report of one entry host.
struct received_report
{
    name_id reporter = name_id::none;
    grant_report report;
};

/// Initial state of a new dispatcher.
struct takeover
{
    struct known_grant
    {
        reported_grant grant;
        /// The reporter if it holds the grant, else the holder in the table or copy, if any.
        name_id holder = name_id::none;
    };
    /// A grant may be listed several times; the longest hold applies.
    std::vector<known_grant> grants;
    /// Entry hosts that may hold grants that no report lists.
    std::vector<lost_incarnation> silent;
};

/// Merges the reports for a new term. `silent` lists the registered or recently lost incarnations
/// of the zone that have not reported. No capacity stays unexplained if the previous dispatcher has
/// reported its table, or if it is the only silent one and its successor has all copies. The caller
/// ensures that one reporter is settled; otherwise a silent entry host may have begun a term of
/// which no reporter knows.
[[nodiscard]] takeover merge_reports(const name_table& names,
                                     std::span<const received_report> reports,
                                     std::vector<lost_incarnation> silent, milliseconds max_hold);

/// Adds `entry`, or extends the hold of the same incarnation.
void add_lost(std::vector<lost_incarnation>& list, const lost_incarnation& entry);

} // namespace lacewingquay::dispatch
