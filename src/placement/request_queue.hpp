#pragma once

#include "placement/plan.hpp"
#include "placement/request.hpp"
#include "platform/port.hpp"

#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace lacewingquay::placement
{

/// An internal request that the mover refused.
struct mover_refusal
{
    placement_request request;
    std::string reason;
};

/// The requests that a mover has to decide: those in rows `move/<host>`, and internal ones, which
/// are added within the process and are in memory only.
class request_queue
{
public:
    /// Adds an internal request; it replaces an earlier one for the same host.
    void add(placement_request request);

    /// Replaces the requests in rows by `rows`, all rows `move/...`. Rows that cannot be parsed are
    /// ignored; operators may overwrite them.
    void on_rows(const std::vector<platform::row>& rows);

    /// The pending requests, at most one per host. Those in rows come first, without refused ones
    /// and those for hosts that `belongs_to_zone` rejects; internal ones follow unfiltered.
    [[nodiscard]] std::vector<pending_request>
    waiting(const std::function<bool(std::string_view host)>& belongs_to_zone) const;

    /// Adds the plan's changes of request rows to `changes`: accepted rows are removed, refused
    /// ones get the reason, each with a check of the version that was read.
    void add_changes(const zone_plan& planned, std::string_view write_id,
                     platform::transaction& changes) const;

    /// Drops the refused internal requests, and the accepted ones if the plan changes nothing, as
    /// they are in effect already.
    void on_planned(const zone_plan& planned);

    /// Drops the internal requests for all hosts with an accepted request, also if that one is in a
    /// row: an older internal request must not undo it.
    void drop_accepted(const zone_plan& planned);

    /// Discards the requests in rows until the rows are read again.
    void invalidate_rows() { rows_.clear(); }

    /// Drops all requests. Refusals that were not taken yet are kept.
    void clear();

    /// Refusals of internal requests since the last call.
    [[nodiscard]] std::vector<mover_refusal> take_refusals();

private:
    struct stored_request
    {
        std::uint64_t version = 0;
        request_row row;
    };

    /// By row key.
    std::map<std::string, stored_request, std::less<>> rows_;
    /// By host.
    std::map<std::string, placement_request, std::less<>> internal_requests_;
    std::vector<mover_refusal> refusals_;
};

} // namespace lacewingquay::placement
