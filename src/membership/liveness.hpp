#pragma once

#include "core/clock.hpp"
#include "membership/heartbeat.hpp"
#include "routing/snapshot.hpp"

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace lacewingquay::membership
{

struct liveness_settings
{
    /// Interval of heartbeats to peers of the same availability zone.
    milliseconds zone_interval{200};
    /// Interval of heartbeats to peers of other zones. A full mesh at `zone_interval` would exceed
    /// the control traffic limit at about 50 entry hosts.
    milliseconds remote_interval{1'000};
    /// Consecutive missed heartbeats after which a peer is suspect.
    std::int64_t max_missed_heartbeats = 3;
    /// A longer gap between two ticks counts as a pause of this process.
    milliseconds pause_limit{1'000};
};

/// Work for the daemon after a tick.
struct liveness_actions
{
    /// Ids of the peers to send a heartbeat to now, sorted.
    std::vector<std::string> send_heartbeat_to;
    /// Ids of the peers that became live or suspect since the last tick, sorted.
    std::vector<std::string> became_live;
    std::vector<std::string> became_suspect;
    /// Set if configuration and placement must be read again before dispatching. The daemon calls
    /// `on_refreshed` with this number once a read that began after this action has been applied.
    std::optional<std::uint64_t> refresh;
};

/// Failure detector: tracks by heartbeats which registered entry hosts are live. Missed heartbeats
/// make a peer suspect but never unregister it.
class liveness
{
public:
    liveness(std::string own_id, std::string own_zone, liveness_settings settings = {});

    /// Replaces the set of registered members. New peers are suspect until their first heartbeat.
    void on_members(std::span<const routing::member> members);

    /// Heartbeats of unregistered senders and of older incarnations are ignored.
    void on_heartbeat(steady_time now, const heartbeat& message);

    /// Must be called at least every 100 ms.
    [[nodiscard]] liveness_actions on_tick(steady_time now);

    /// Reports that the refresh with this number has been applied.
    void on_refreshed(std::uint64_t refresh);

    /// False from the detection of a pause until its refresh has been applied.
    [[nodiscard]] bool may_dispatch() const { return pending_refresh_ == 0; }

    /// True if more than `pause_limit` has passed since the last tick: the process was paused, and
    /// the next tick requests a refresh. For checks between ticks.
    [[nodiscard]] bool is_overdue(steady_time now) const;

    /// True for this host's id and for peers that are not suspect.
    [[nodiscard]] bool is_live(std::string_view id) const;

    /// Ids of the live members of a zone, including this host, sorted.
    [[nodiscard]] std::vector<std::string> live_in_zone(std::string_view availability_zone) const;

    /// Position of this host in the rendezvous order of its zone's live members, from 0. Staggers
    /// the contenders for the zone's lease.
    [[nodiscard]] std::size_t own_rank() const;

private:
    struct peer
    {
        std::string incarnation;
        std::string availability_zone;
        steady_time last_heard;
        steady_time next_send;
        bool live = false;
        bool reported_live = false;
    };

    [[nodiscard]] milliseconds interval(const peer& other) const;
    void reset_heartbeat_timeouts(steady_time now);

    std::string own_id_;
    std::string own_zone_;
    liveness_settings settings_;
    std::map<std::string, peer, std::less<>> peers_;
    std::optional<steady_time> last_tick_;
    std::uint64_t last_refresh_ = 0;
    std::uint64_t pending_refresh_ = 0;
};

} // namespace lacewingquay::membership
