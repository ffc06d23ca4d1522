#pragma once

#include "config/model.hpp"
#include "core/clock.hpp"
#include "membership/epoch_reports.hpp"
#include "membership/table_action.hpp"
#include "membership/tracked_write.hpp"
#include "placement/model.hpp"
#include "placement/other_zones.hpp"
#include "placement/plan.hpp"
#include "placement/request.hpp"
#include "placement/request_queue.hpp"
#include "routing/snapshot.hpp"

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace lacewingquay::placement
{

struct mover_settings
{
    /// Interval between two reads of the zone's row and the request rows. Milliseconds.
    milliseconds poll_interval{1'000};
    /// Delay before the next write after one that the platform did not accept. Milliseconds.
    milliseconds retry_delay{500};
    /// Maximum age of a report that counts for ending a drain, and how long an incarnation must
    /// have been known before its reports count. Other dispatchers take over from an
    /// unresponsive one after 600 ms and only then report its grants; a replacement process that
    /// starts sooner must not end a drain before that. Milliseconds.
    milliseconds report_window{2'000};
    /// How long the platform must list a leaving host as live before it leaves that state.
    /// Milliseconds.
    milliseconds return_after{30'000};
};

/// State of the other components at a tick.
struct mover_inputs
{
    /// Check of the zone lease that fences writes; empty unless this entry host holds the lease.
    std::optional<platform::row_check> fence;
    /// Registered and sponsored entry hosts of all zones, and the version of row `members` that
    /// they were read from.
    std::span<const routing::member> members;
    std::uint64_t members_epoch = 0;
    const membership::epoch_reports& reports;
    /// Highest epoch of the zone's row that the follower knows; 0 if none. A row with a lower
    /// epoch, or a missing one, is not overwritten.
    std::uint64_t known_epoch = 0;
    /// Wall clock time for the history records. Milliseconds since the Unix epoch.
    std::int64_t wall_ms = 0;
};

/// Controls the placement of one zone on the zone's lease holder, by maintaining row
/// `placement/<zone>`. All persistent state is in the row, so the next lease holder continues from
/// there. Each write checks the lease, the row's version, the request rows that it answers, row
/// `members` if it ends a drain, the head of the configuration if it depends on the configured
/// hosts, and all other zones' rows if it adds hosts.
class mover
{
public:
    mover(std::string availability_zone, std::string_view incarnation,
          mover_settings settings = {});

    /// The configuration in force; `head_version` is the version of row `config/head`.
    void on_configuration(config::configuration configuration, std::uint64_t head_version);

    /// The platform's host list. A failed or empty one is ignored.
    void on_host_list(steady_time now, const platform::hosts_result& list);

    /// Adds an internal request, without a row; it replaces an earlier one for the same host.
    /// Internal requests are dropped when the lease is lost, so callers must repeat them until the
    /// row shows the result.
    void request(placement_request request) { requests_.add(std::move(request)); }

    [[nodiscard]] std::vector<membership::table_action> on_tick(steady_time now,
                                                                const mover_inputs& inputs);
    [[nodiscard]] std::vector<membership::table_action>
    on_write_result(steady_time now, const membership::write_result& answer);
    void on_read_result(steady_time now, const membership::read_result& answer);
    void on_list_result(const membership::list_result& answer);

    /// Refusals of requests passed to `request`, since the last call.
    [[nodiscard]] std::vector<mover_refusal> take_refusals() { return requests_.take_refusals(); }

    /// The row as last read or written, with epoch 0 if it is absent; empty while it has to be read
    /// or cannot be used.
    [[nodiscard]] const std::optional<zone_placement>& placement() const { return placement_; }

    /// Why the mover cannot act on the rows; empty if it can.
    [[nodiscard]] const std::string& fault() const { return fault_; }

private:
    struct listed_host_state
    {
        bool leaving = false;
        /// Time of the first list of the current unbroken series that lists the host as live.
        steady_time live_since;
    };

    void poll(steady_time now, std::vector<membership::table_action>& actions);
    void plan(steady_time now, const mover_inputs& inputs,
              std::vector<membership::table_action>& actions);
    [[nodiscard]] bool belongs_to_zone(std::string_view host) const;
    [[nodiscard]] host_list_status list_status_of(steady_time now, std::string_view host) const;
    [[nodiscard]] bool is_drained(steady_time now, const mover_inputs& inputs,
                                  std::string_view host, std::uint64_t epoch) const;
    [[nodiscard]] bool needs_other_rows() const;
    [[nodiscard]] platform::transaction transaction_for(const zone_plan& planned,
                                                        const mover_inputs& inputs,
                                                        const std::string& write_id) const;
    void finish_write(steady_time now, const membership::write_outcome& outcome);
    void apply_row(const platform::row& row);
    void apply_absent_row();
    /// Discards all rows that were read, so that they are read again before the next plan.
    void invalidate();

    std::string zone_;
    std::string key_;
    mover_settings settings_;
    membership::tracked_write write_;

    config::configuration configuration_;
    std::uint64_t head_version_ = 0;
    std::map<std::string, listed_host_state, std::less<>> listed_hosts_;

    /// Version and content of the zone's row; no content while it has to be read.
    std::uint64_t version_ = 0;
    std::optional<zone_placement> placement_;
    std::uint64_t max_epoch_ = 0;
    std::string fault_;

    request_queue requests_;
    other_zones other_zones_;

    std::optional<zone_plan> in_flight_;
    std::uint64_t read_action_ = 0;
    std::uint64_t request_list_action_ = 0;
    std::uint64_t zone_list_action_ = 0;
    steady_time next_poll_;
    steady_time next_write_;
};

/// Key of the history record of a completed move: `moves/<zone>/<sequence>`. The sequence is the
/// row's epoch and the index within its transaction, zero-padded so that keys sort by time.
[[nodiscard]] std::string move_record_key(std::string_view availability_zone, std::uint64_t epoch,
                                          std::size_t index);

} // namespace lacewingquay::placement
