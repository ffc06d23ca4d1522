#pragma once

#include "core/clock.hpp"
#include "membership/heartbeat.hpp"
#include "routing/snapshot.hpp"

#include <cstdint>
#include <functional>
#include <map>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace lacewingquay::membership
{

/// Last heartbeat received from one incarnation of an entry host.
struct epoch_report
{
    heartbeat message;
    steady_time first_heard;
    steady_time last_heard;
};

/// Stores the last heartbeat of each entry host, including this one: the daemon also passes in the
/// heartbeats that it sends.
class epoch_reports
{
public:
    /// Stores the heartbeat unless a newer incarnation of the sender is known.
    void on_heartbeat(steady_time now, const heartbeat& message);

    /// The last report of the member's incarnation, or null if none has been received.
    [[nodiscard]] const epoch_report* find(const routing::member& member) const;

    /// Lowest members_epoch that one of the members may still use; 0 if one of them has not
    /// reported. A member that stops reporting keeps its last epoch, which can only be too low.
    [[nodiscard]] std::uint64_t
    lowest_members_epoch(std::span<const routing::member> members) const;

    /// Lowest placement epoch of a zone that one of the zone's members still uses; 0 if one of them
    /// has not reported.
    [[nodiscard]] std::uint64_t lowest_placement_epoch(std::span<const routing::member> members,
                                                       std::string_view availability_zone) const;

    /// Entry hosts of a zone that reported within `window`, are not stopping and are not in
    /// `members`: sponsored hosts whose sponsor's message has not been received yet.
    [[nodiscard]] std::vector<const epoch_report*>
    unregistered(std::span<const routing::member> members, std::string_view availability_zone,
                 steady_time now, milliseconds window) const;

private:
    std::map<std::string, epoch_report, std::less<>> reports_;
};

/// Lowest placement epoch of `availability_zone` in use according to a report; 0 if it has none.
[[nodiscard]] std::uint64_t lowest_in_use(const epoch_report& report,
                                          std::string_view availability_zone);

} // namespace lacewingquay::membership
