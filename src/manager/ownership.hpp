#pragma once

#include "core/clock.hpp"

#include <boost/leaf.hpp>

#include <cstdint>
#include <set>
#include <string>
#include <string_view>

namespace lacewingquay::manager
{

/// The stored row that names the host which schedules.
struct owner_row
{
    std::string host;
    /// Rises with each takeover; the fencing token of the owner's orders.
    std::int64_t term = 0;
    /// The owner has handed over.
    bool released = false;
    /// When the row was written, on the store's steady clock.
    milliseconds renewed{0};
};

[[nodiscard]] std::string serialize_owner(const owner_row& value);
[[nodiscard]] boost::leaf::result<owner_row> parse_owner(std::string_view text);

/// What an entry host can do. The owner's work needs processor time and, to read all open jobs at
/// a takeover, bandwidth.
struct host_strength
{
    /// Processor time, in cores.
    double cores = 1.0;
    /// Bandwidth of the host's own link, in Mbit/s.
    double link_mbit = 1'000.0;
};

/// Settings of `ownership`.
struct ownership_settings
{
    /// The owner renews its row this often.
    milliseconds renewal{700};
    /// An owner that has not renewed for this long is taken for lost: three renewals.
    milliseconds silence{2'100};
    /// Spreads the hosts' attempts to take over.
    milliseconds spread{300};
    /// Hosts that have not been restarted since the fleet began wait longer: a rolling restart
    /// comes to them next, and ownership would move again.
    milliseconds not_restarted_delay{400};
    /// A host waits this much longer for each share that it is weaker than the strongest one, so
    /// that a strong host comes first if there is one.
    milliseconds weakness_delay{800};
    /// More bandwidth than this does not count. All hosts together moved 10 Mbit/s to and from the
    /// store on a played day with 350 backend servers.
    double enough_link_mbit = 100.0;
};

/// Decides when this host may try to become the owner. The attempt itself is a transaction whose
/// condition is the version of the row that was seen.
class ownership
{
public:
    ownership(ownership_settings values, std::string host, host_strength own);

    /// A host has stored what it can do.
    void observe_host(std::string_view name, const host_strength& strength);

    /// Entry hosts that have stored what they can do, this one included.
    [[nodiscard]] int hosts() const { return static_cast<int>(hosts_.size()); }

    /// The row was read with this version; 0 if it does not exist. `age` is the time since it was
    /// written, by the store's clock.
    void observe(const owner_row& row, std::int64_t version, milliseconds age, steady_time now);

    /// The store failed to answer. An owner could not renew meanwhile either, so its silence is
    /// measured anew.
    void store_failed(steady_time now);

    /// True if this host should try to take over; to be asked right after an answer of the store.
    [[nodiscard]] bool should_take_over(steady_time now) const;

    /// Time until this host takes over if nothing changes; zero or less if it should now.
    [[nodiscard]] milliseconds time_to_takeover(steady_time now) const;

    [[nodiscard]] const owner_row& row() const { return row_; }
    [[nodiscard]] std::int64_t version() const { return version_; }
    [[nodiscard]] bool is_loaded() const { return loaded_; }

private:
    [[nodiscard]] milliseconds delay() const;

    ownership_settings settings_;
    std::string host_;
    host_strength own_;
    host_strength strongest_;
    std::set<std::string, std::less<>> hosts_;
    owner_row row_;
    std::int64_t version_ = 0;
    bool loaded_ = false;
    /// There was an owner already when this host read the row first.
    bool restarted_ = false;
    steady_time last_change_{};
};

} // namespace lacewingquay::manager
