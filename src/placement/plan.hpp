#pragma once

#include "config/model.hpp"
#include "placement/model.hpp"
#include "placement/request.hpp"

#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace lacewingquay::placement
{

/// Status of a host in the platform's host list.
enum class host_list_status : std::uint8_t
{
    /// Not in the list, or no list was received. Has no effect, as the list lags behind.
    unlisted,
    /// Listed as live, but not yet for long enough to serve again.
    live,
    /// Listed as live for long enough to serve again.
    stable,
    leaving
};

/// A request and its source.
struct pending_request
{
    placement_request request;
    /// Key of the request's row; empty for an internal request, see `request_queue`.
    std::string row_key;
};

/// All inputs of the next placement of a zone. The functions must be pure.
struct plan_inputs
{
    const config::configuration& configuration;
    std::function<host_list_status(std::string_view host)> list_status_of;
    /// True if no entry host can still use an epoch below `epoch` or a grant on the host.
    std::function<bool(std::string_view host, std::uint64_t epoch)> is_drained;
    /// True if the host may be added: no other zone's row has it.
    std::function<bool(std::string_view host)> may_add;
    /// In the order in which they are applied; at most one per host.
    std::vector<pending_request> requests;
};

/// A host that changes its pool in a plan.
struct completed_move
{
    std::string host;
    std::string from_pool;
    std::string to_pool;
    /// Epoch at which the host began to drain.
    std::uint64_t drain_epoch = 0;
};

struct refused_request
{
    pending_request pending;
    std::string reason;
};

/// The next content of a placement row.
struct zone_plan
{
    zone_placement next;
    /// At least one entry differs from the present row.
    bool changed = false;
    /// Depends on a positive answer of `is_drained`, hence on the set of registered entry hosts.
    bool ends_drains = false;
    /// Depends on which hosts are configured.
    bool uses_configuration = false;
    /// Depends on a positive answer of `may_add`, hence on the other zones' rows.
    bool adds_hosts = false;
    std::vector<completed_move> moves;
    /// Executed by this plan, or in effect already.
    std::vector<pending_request> accepted;
    std::vector<refused_request> refused;
};

/// Plans all due changes of one zone. `epoch` is the epoch of the next row.
[[nodiscard]] zone_plan plan_zone(const zone_placement& current, std::uint64_t epoch,
                                  const plan_inputs& inputs);

} // namespace lacewingquay::placement
