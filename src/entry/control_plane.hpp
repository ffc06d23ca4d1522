#pragma once

#include "config/follower.hpp"
#include "config/release.hpp"
#include "core/clock.hpp"
#include "entry/dispatch_plane.hpp"
#include "entry/fault_port.hpp"
#include "entry/metrics.hpp"
#include "entry/planner_runner.hpp"
#include "entry/settings.hpp"
#include "entry/table_runner.hpp"
#include "entry/wave_runner.hpp"
#include "http/server.hpp"
#include "idempotency/claim_batch.hpp"
#include "membership/epoch_reports.hpp"
#include "membership/liveness.hpp"
#include "membership/registry.hpp"
#include "membership/zone_lease.hpp"
#include "peer/link.hpp"
#include "placement/follower.hpp"
#include "placement/mover.hpp"
#include "platform/http_client.hpp"
#include "report/counters.hpp"
#include "report/retention.hpp"
#include "report/rows.hpp"
#include "routing/snapshot.hpp"

#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/json.hpp>
#include <boost/leaf.hpp>

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <thread>
#include <vector>

namespace lacewingquay::entry
{

/// Where the control thread's results go. The functions are called on the control thread.
struct control_outputs
{
    std::function<void(routing::snapshot_pointer, std::vector<live_member>)> publish;
    /// A heartbeat, also an own one, says which registrations an entry host uses.
    std::function<void(std::string incarnation, std::uint64_t members_epoch)> member_report;
    /// A batch of claims of an earlier incarnation was read.
    std::function<void(idempotency::claim_batch)> batch_loaded;
    /// Fault injection for the dispatch link.
    std::function<void(std::set<std::string>)> cut_dispatch;
    /// Another incarnation of this entry host is registered: the process must end.
    std::function<void()> superseded;
};

/// The control thread: configuration, membership, placement, counters and the operator port.
/// Decisions are made by the slices' cores; this class carries events in and actions out.
class control_plane
{
public:
    /// Opens the control link and the operator port; fails with `input_error`.
    static boost::leaf::result<std::unique_ptr<control_plane>>
    open(entry_settings settings, std::string incarnation, zmq::context_t& context,
         const clock_source& clock, report::request_counters& counters, metrics& series,
         control_outputs outputs);

    ~control_plane();

    void start();

    /// Ends the thread without further messages.
    void stop();

    /// Planned stop, first step: not ready any more, dispatches nothing new. Thread-safe.
    void begin_drain();

    /// Planned stop, last step: writes counters, gives back the lease, deregisters, then calls
    /// `done`, at the latest after `limit`. Thread-safe.
    void leave(std::chrono::milliseconds limit, std::function<void()> done);

    /// Writes one row without conditions; `done` is called on the control thread. Thread-safe.
    void write_row(std::string key, std::string value, std::function<void(bool)> done);

    /// Takes a report of the dispatch thread. Thread-safe.
    void on_dispatch_report(dispatch_report report);

private:
    control_plane(entry_settings settings, std::string incarnation, const clock_source& clock,
                  report::request_counters& counters, metrics& series, control_outputs outputs);

    boost::leaf::result<void> listen(zmq::context_t& context);
    void make_table_cores();

    // Steps of a tick, in control_plane.cpp.
    void tick();
    void tick_membership(steady_time now);
    void tick_placement(steady_time now);
    void finish_refresh();
    void publish_if_changed();
    void finish_leave(steady_time now);
    void update_gauges();
    /// True if registered, not outdated by a pause, not stopping, and placement was read since the
    /// registration: another entry host may have moved hosts before it knew of this one.
    [[nodiscard]] bool may_dispatch() const;
    [[nodiscard]] bool has_fresh_placement() const;
    [[nodiscard]] membership::heartbeat make_heartbeat() const;
    [[nodiscard]] std::vector<live_member> live_members() const;
    [[nodiscard]] std::string readiness() const;
    [[nodiscard]] boost::json::object status() const;
    std::string inject_faults(const boost::json::object& faults);

    // Peer messages, in control_peers.cpp.
    void receive(const pb::Envelope& envelope);
    void receive_sponsor(const pb::Envelope& envelope);
    void receive_state(const pb::Envelope& envelope);
    void answer_state_fetch(const std::string& peer);
    void update_peers();
    void send_heartbeat(const std::string& peer);
    void send_to_all(pb::Envelope& message);
    void ask_peers_for_state();

    // Platform, in control_platform.cpp.
    void poll_platform(steady_time now);
    void perform(const std::vector<config::follower_action>& actions);
    void put_in_force(const config::in_force& accepted);
    void fetch_body(const config::fetch_body& wanted);
    void apply_placement_row(const platform::row& row);
    boost::asio::awaitable<void> read_head();
    boost::asio::awaitable<void> read_host_list();
    boost::asio::awaitable<void> accept_due_notes();
    boost::asio::awaitable<void> load_claims();
    boost::asio::awaitable<void> write_claims(platform::transaction changes,
                                              std::function<void(bool)> done);
    boost::asio::awaitable<void> flush_counters();
    boost::asio::awaitable<void> remove_old_counters();
    boost::asio::awaitable<void> read_body(config::fetch_body wanted);
    void start_runners(steady_time now);
    boost::asio::awaitable<void> run_waves();
    boost::asio::awaitable<void> run_planner();

    entry_settings settings_;
    std::string incarnation_;
    const clock_source& clock_;
    report::request_counters& counters_;
    metrics& metrics_;
    control_outputs outputs_;

    boost::asio::io_context io_{1};
    boost::asio::executor_work_guard<boost::asio::io_context::executor_type> work_;
    boost::asio::steady_timer timer_;
    platform::http_client client_;
    fault_port platform_;
    std::unique_ptr<peer::link> link_;
    std::shared_ptr<http::server> operator_server_;
    table_runner runner_;
    table_core lease_core_;
    table_core registry_core_;
    table_core placement_core_;
    table_core mover_core_;

    membership::liveness liveness_;
    membership::registry registry_;
    membership::epoch_reports reports_;
    membership::zone_lease lease_;
    config::follower config_;
    config::release_manager releases_;
    placement::follower placement_;
    placement::mover mover_;
    report::row_buffer rows_;
    report::retention_cursor retention_;
    wave_runner waves_{platform_, clock_, incarnation_,
                       [this]
                       {
                           return lease_.fence(clock_.steady_now());
                       }};
    planner_runner planner_{platform_, clock_, incarnation_,
                            [this] { return lease_.fence(clock_.steady_now()); },
                            settings_.planner};

    dispatch_report dispatch_report_;
    routing::snapshot_pointer snapshot_;
    std::vector<routing::member> members_;
    std::vector<live_member> published_live_;
    bool snapshot_changed_ = false;
    bool draining_ = false;
    std::optional<std::uint64_t> refresh_;
    steady_time refresh_since_;
    /// Since when the registration has been valid; empty while it is not.
    std::optional<steady_time> registered_since_;
    steady_time head_read_at_;
    steady_time state_received_at_;

    std::uint64_t head_version_ = 0;
    std::uint64_t head_epoch_ = 0;
    std::uint64_t open_notes_version_ = 0;
    config::open_notes open_notes_;
    bool reading_head_ = false;
    bool reading_hosts_ = false;
    bool accepting_ = false;
    bool flushing_ = false;
    bool removing_ = false;
    bool loading_claims_ = false;
    bool claims_loaded_ = false;
    bool advancing_waves_ = false;
    bool planning_ = false;
    steady_time next_head_read_;
    steady_time next_hosts_read_;
    steady_time next_accept_;
    steady_time next_flush_;
    steady_time next_removal_;
    steady_time next_claims_load_;
    steady_time next_wave_step_;
    steady_time next_plan_;
    steady_time next_confirmation_;
    steady_time next_state_fetch_;
    std::vector<platform::row_write> rollout_rows_;

    bool leaving_ = false;
    steady_time leave_until_;
    std::function<void()> left_;
    std::thread thread_;
};

} // namespace lacewingquay::entry
