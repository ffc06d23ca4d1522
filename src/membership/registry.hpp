#pragma once

#include "core/clock.hpp"
#include "membership/member_rows.hpp"
#include "membership/table_action.hpp"
#include "membership/tracked_write.hpp"
#include "routing/snapshot.hpp"

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace lacewingquay::membership
{

struct registry_settings
{
    /// Interval of reads of row `members`.
    milliseconds poll_interval{1'000};
    /// Delay after a write that the platform did not accept.
    milliseconds retry_interval{1'000};
    /// Absence from the platform's host list after which a lease holder removes a registration.
    milliseconds absence_timeout{600'000};
    /// A longer gap between two answered host lists restarts `absence_timeout`, because the host
    /// may have been listed in between.
    milliseconds max_list_gap{60'000};
    /// Interval at which a sponsor repeats its `Sponsor` messages to all peers.
    milliseconds sponsorship_interval{1'000};
};

enum class registration : std::uint8_t
{
    /// Not registered yet, or deregistered; must not dispatch.
    unregistered,
    registered,
    /// A registered peer sponsors this entry host while the platform is unavailable.
    sponsored,
    /// A newer incarnation of the id is registered; this process must stop.
    superseded,
    /// A lease holder removed the registration. Must not dispatch until registered again, which is
    /// attempted at once.
    removed
};

/// Work for the daemon after a tick.
struct registry_actions
{
    std::vector<table_action> table;
    /// Sponsored entry hosts for which a `Sponsor` message must be sent to all peers now.
    std::vector<routing::member> sponsored_to_announce;
};

/// One entry host's view of all registrations, and the state of its own. Every change is a
/// transaction on rows `members` and `entry/<id>` that checks the version of `members`.
class registry
{
public:
    explicit registry(routing::member self, registry_settings settings = {});

    /// Registers this entry host on the next ticks, and again if the registration is removed, until
    /// `deregister` is called.
    void enroll() { enrolled_ = true; }

    /// Removes this entry host's registration on the next ticks.
    void deregister();

    /// `fence` is the lease check of this entry host's zone, set only while it is the lease holder.
    /// `is_live` tells whether a peer sends heartbeats; the registration of such a peer is never
    /// removed.
    [[nodiscard]] registry_actions on_tick(steady_time now,
                                           const std::optional<platform::row_check>& fence,
                                           const std::function<bool(std::string_view id)>& is_live);
    void on_write_result(steady_time now, const write_result& answer,
                         std::vector<table_action>& actions);
    void on_read_result(steady_time now, const read_result& answer);

    /// Applies row `members` as received from a peer.
    void on_peer_row(const platform::row& row);

    /// Handles the platform's host list. Failed reads and empty lists are ignored.
    void on_host_list(steady_time now, const platform::hosts_result& list);

    /// Handles a `Sponsor` message. If the newcomer sent it, it is a request for sponsorship, which
    /// is granted if this entry host is registered in the same zone. Otherwise it announces that
    /// the sender sponsors the newcomer. Returns true if accepted.
    bool on_sponsor(steady_time now, std::string_view sender, const routing::member& newcomer);

    /// Reports that a registered peer sponsors this entry host.
    void on_sponsored();

    [[nodiscard]] registration status() const { return status_; }

    /// True if the registration allows this entry host to dispatch.
    [[nodiscard]] bool may_dispatch() const
    {
        return status_ == registration::registered || status_ == registration::sponsored;
    }

    /// Registered and sponsored entry hosts, sorted by id.
    [[nodiscard]] std::vector<routing::member> members() const;

    /// Version of row `members` as last applied; 0 if it has not been read.
    [[nodiscard]] std::uint64_t members_epoch() const { return view_epoch_; }

    /// Row `members` as last applied, to be sent to peers that cannot read it.
    [[nodiscard]] const std::optional<platform::row>& row() const { return row_; }

    /// Why the last row was rejected; empty if it was accepted.
    [[nodiscard]] const std::string& row_error() const { return row_error_; }

private:
    struct sponsorship
    {
        routing::member newcomer;
        bool sponsored_by_self = false;
        steady_time next_send;
    };

    void apply_row(const platform::row& row);
    void update_status();
    void finish_write(steady_time now, const write_outcome& outcome);
    [[nodiscard]] std::vector<std::string>
    removable_members(steady_time now, const std::function<bool(std::string_view)>& is_live) const;
    void begin_registration_change(steady_time now, const std::optional<platform::row_check>& fence,
                                   const std::function<bool(std::string_view)>& is_live,
                                   std::vector<table_action>& actions);
    [[nodiscard]] table_write begin_write(steady_time now, const member_map& next,
                                          const std::vector<std::string>& changed,
                                          const std::optional<platform::row_check>& fence);
    [[nodiscard]] bool has_absence_timed_out(steady_time now, std::string_view incarnation) const;

    routing::member self_;
    registry_settings settings_;
    tracked_write write_;
    bool enrolled_ = false;
    registration status_ = registration::unregistered;
    bool was_registered_ = false;

    std::optional<platform::row> row_;
    std::uint64_t view_epoch_ = 0;
    member_map view_;
    /// True if the platform has confirmed the view. A row received from a peer is not enough to
    /// base a write on.
    bool confirmed_by_platform_ = false;
    std::string row_error_;

    std::uint64_t read_action_ = 0;
    steady_time next_poll_;
    steady_time next_write_;

    std::map<std::string, sponsorship, std::less<>> sponsorships_;
    /// By incarnation: time since which its id has been missing from every answered host list.
    std::map<std::string, steady_time, std::less<>> absent_since_;
    std::optional<steady_time> last_list_;
};

} // namespace lacewingquay::membership
