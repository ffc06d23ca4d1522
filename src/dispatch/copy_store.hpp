#pragma once

#include "dispatch/directory.hpp"
#include "dispatch/messages.hpp"

#include <cstdint>
#include <vector>

namespace lacewingquay::dispatch
{

/// Copies of grants that other dispatchers issued, kept by the successor so that it can take over
/// their domains.
class copy_store
{
public:
    /// Stores or removes a copy. The caller has checked that the term is not outdated.
    void on_mirror(steady_time now, domain_index domain, const mirror& message);

    /// Adds the copies of the domain and sets `report.copied_term`.
    void append_report(steady_time now, domain_index domain, grant_report& report) const;

    /// Marks all terms incomplete but keeps the copies: during a pause of this process a dispatcher
    /// may have continued with another successor. Returns the domains and dispatchers to request
    /// all copies from.
    std::vector<std::pair<domain_index, name_id>> invalidate_completeness();

    /// Removes expired copies.
    void on_tick(steady_time now);

private:
    struct copy
    {
        domain_index domain = 0;
        term_id term;
        std::uint64_t grant_id = 0;
        name_id host = name_id::none;
        name_id holder = name_id::none;
        steady_time expires_at;
    };

    struct complete_term
    {
        domain_index domain = 0;
        term_id term;
        bool complete = false;
    };

    std::vector<copy> copies_;
    std::vector<complete_term> complete_;
};

} // namespace lacewingquay::dispatch
