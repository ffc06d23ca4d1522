#pragma once

#include "core/clock.hpp"

#include <boost/leaf.hpp>

#include <cstdint>
#include <map>
#include <string>
#include <string_view>

namespace lacewingquay::manager
{

/// The stored row that names the host that owns scheduling.
struct owner_row
{
    std::string host;
    /// Incremented with each takeover; the fencing token of the owner's orders.
    std::int64_t term = 0;
    /// The owner has given up its ownership.
    bool released = false;
    /// When the row was written, on the store's steady clock.
    milliseconds renewed{0};
};

[[nodiscard]] std::string serialize_owner(const owner_row& value);
[[nodiscard]] boost::leaf::result<owner_row> parse_owner(std::string_view text);

/// A stored request of a stronger host that the owner of a term hand over the ownership.
struct handover_request
{
    std::string host;
    std::int64_t term = 0;
};

[[nodiscard]] std::string serialize_handover(const handover_request& value);
[[nodiscard]] boost::leaf::result<handover_request> parse_handover(std::string_view text);

/// Resources of an entry host. The owner needs processor time and, to read all open jobs at a
/// takeover, bandwidth.
struct host_resources
{
    /// Processor time, in cores.
    double cores = 1.0;
    /// Bandwidth of the host's network link, in Mbit/s.
    double link_mbit = 1'000.0;
};

/// Settings of `ownership`.
struct ownership_settings
{
    /// Interval between the owner's renewals of its row.
    milliseconds renewal{700};
    /// An owner that has not renewed for this long, three intervals, counts as failed.
    milliseconds failure_timeout{2'100};
    /// Upper bound of the delay that spreads the hosts' takeover attempts.
    milliseconds max_jitter{300};
    /// Additional delay, after a planned stop of the owner, of a host that has been up since before
    /// the first owner: a rolling restart will reach it next, and ownership would move again.
    milliseconds not_restarted_delay{400};
    /// Additional delay of a host, multiplied by the fraction of resources that it lacks compared
    /// with the strongest host, so that a strong host takes over first.
    milliseconds low_resources_delay{800};
    /// Bandwidth above this, in Mbit/s, is no advantage: with 350 backend servers all hosts
    /// together exchange only 10 Mbit/s with the store.
    double sufficient_link_mbit = 100.0;
    /// An owner with less than this fraction of another host's resources hands over to that host.
    double handover_strength = 0.5;
    /// The other host must have reached the store without interruption for this long, and the owner
    /// must have been seen for as long, so that an unstable host does not attract the ownership.
    milliseconds handover_stability{1'000};
    /// Factor by which that time grows with each term that this host has lost without releasing it,
    /// and its limit: such a host may be unable to carry a term although the store answers it.
    int handover_backoff = 10;
    milliseconds max_handover_stability{60'000};
    /// A request without effect is repeated after this time, by any strong host.
    milliseconds handover_retry{3'000};
};

/// Least time from a call that confirms the ownership to a takeover by another host. The owner's
/// row is renewed at the interval, not with each such call.
[[nodiscard]] constexpr milliseconds least_takeover_time(const ownership_settings& values)
{
    return values.failure_timeout - values.renewal;
}

/// Decides when this host may try to become the owner, and when a weak owner hands over to a
/// stronger host that has returned. The attempt itself is a transaction that is conditional on the
/// version of the owner's row that this host has seen.
class ownership
{
public:
    ownership(ownership_settings values, std::string host, host_resources own_resources);

    /// Takes the published resources of a host.
    void observe_host(std::string_view name, const host_resources& resources);

    /// Number of known entry hosts, including this one.
    [[nodiscard]] int hosts() const { return static_cast<int>(hosts_.size()); }

    /// Takes the owner's row as read with this version, 0 if it does not exist. `age` is the time
    /// since it was written, by the store's clock. Older versions are ignored.
    void observe(const owner_row& row, std::int64_t version, milliseconds age, steady_time now);

    /// Takes a request of another host or of this one.
    void observe_handover(const handover_request& request, steady_time now);

    /// True if this host should ask the owner to hand over.
    [[nodiscard]] bool should_request_handover(steady_time now) const;

    /// True if this host owns the current term and a stronger host has asked for it.
    [[nodiscard]] bool should_hand_over() const;

    /// Restarts the failure timeout after a failed call to the store, since the owner cannot renew
    /// during an outage either.
    void on_store_failure(steady_time now);

    /// True if this host should try to take over. To be called right after a response of the store.
    [[nodiscard]] bool should_take_over(steady_time now) const;

    /// Time until this host should take over if nothing changes; not positive if it should now.
    [[nodiscard]] milliseconds time_to_takeover(steady_time now) const;

    [[nodiscard]] const owner_row& row() const { return row_; }
    [[nodiscard]] std::int64_t version() const { return version_; }
    [[nodiscard]] bool is_loaded() const { return loaded_; }

private:
    [[nodiscard]] milliseconds delay() const;
    /// Resources as a fraction of those of the strongest host.
    [[nodiscard]] double strength(const host_resources& resources) const;
    /// True if `candidate` is so much stronger than the owner that the ownership should move to it.
    [[nodiscard]] bool outclasses_owner(std::string_view candidate) const;

    ownership_settings settings_;
    std::string host_;
    host_resources max_resources_;
    /// Known entry hosts, including this one.
    std::map<std::string, host_resources, std::less<>> hosts_;
    owner_row row_;
    std::int64_t version_ = 0;
    bool loaded_ = false;
    /// An owner already existed when this host first read the row.
    bool restarted_ = false;
    steady_time last_change_{};
    /// Since when this host knows the current term.
    steady_time term_seen_{};
    /// Latest failed call to the store.
    steady_time store_failed_{};
    handover_request request_;
    steady_time request_seen_{};
    milliseconds handover_stability_;
};

} // namespace lacewingquay::manager
