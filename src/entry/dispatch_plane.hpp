#pragma once

#include "core/clock.hpp"
#include "dispatch/node.hpp"
#include "entry/key_plane.hpp"
#include "peer/link.hpp"
#include "routing/snapshot.hpp"
#include "traffic/slot_source.hpp"

#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/leaf.hpp>

#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <thread>
#include <unordered_map>
#include <vector>

namespace lacewingquay::entry
{

/// A live entry host as the control thread sees it.
struct live_member
{
    std::string id;
    std::string incarnation;
    std::string availability_zone;
    /// Stops, is paused or is not registered: reports its grants and dispatches nothing.
    bool stopping = false;
};

/// What the dispatch thread tells the control thread, for heartbeats, status and metrics.
struct dispatch_report
{
    /// Placement epoch of the own zone that dispatch has in force, and the lowest under which a
    /// grant is still out.
    std::uint64_t placement_in_force = 0;
    std::uint64_t lowest_placement_epoch = 0;
    std::vector<std::string> busy_draining_hosts;
    std::size_t queue_length = 0;
    std::size_t waiting = 0;
    std::size_t holding = 0;
    double cpu_seconds = 0.0;
};

/// Settings of `dispatch_plane`.
struct dispatch_plane_settings
{
    std::string id;
    std::string incarnation;
    std::string availability_zone;
    address listen;
    dispatch::settings core;
    std::chrono::milliseconds tick_interval{10};
    std::chrono::milliseconds report_interval{50};
};

/// The dispatch thread: runs the dispatch core and its link, and serves slots to traffic threads.
class dispatch_plane final : public traffic::slot_source
{
public:
    /// Called on the dispatch thread with each report.
    using report_receiver = std::function<void(const dispatch_report&)>;

    /// Writes a row of claims to the platform; see `key_plane_outputs::write`.
    using claim_writer =
        std::function<void(std::string key, std::string value, std::function<void(bool)> done)>;

    /// Opens the link; fails with `input_error` if the address is in use.
    static boost::leaf::result<std::unique_ptr<dispatch_plane>>
    open(dispatch_plane_settings settings, zmq::context_t& context, const clock_source& clock,
         report_receiver on_report, claim_writer write_claims);

    ~dispatch_plane() override;

    /// Starts the thread.
    void start();

    /// Stops the thread. Requests that wait for a slot are refused.
    void stop();

    /// Takes a new snapshot and live set. Thread-safe.
    void update(routing::snapshot_pointer snapshot, std::vector<live_member> live);

    /// Fault injection: drops messages to and from these entry hosts. Thread-safe.
    void cut(std::set<std::string> peer_ids);

    boost::asio::awaitable<traffic::slot_answer>
    acquire(traffic::slot_requirements requirements) override;
    void release(const traffic::slot& granted, traffic::slot_outcome outcome,
                 std::chrono::milliseconds ran) override;

    /// The idempotency keys, which are claimed on the same thread and link.
    [[nodiscard]] key_plane& keys() { return *keys_; }

    [[nodiscard]] const peer::link_counters& link_counters() const { return link_->counters(); }

private:
    using completion = std::function<void(traffic::slot_answer)>;

    dispatch_plane(dispatch_plane_settings settings, const clock_source& clock,
                   report_receiver on_report);

    /// A wish of a traffic thread that has no answer yet.
    struct waiting_wish
    {
        dispatch::slot_requirements wanted;
        completion done;
    };

    void request(const traffic::slot_requirements& requirements, completion done);
    void ask(waiting_wish waiting);
    void apply_update(const routing::snapshot_pointer& snapshot,
                      const std::vector<live_member>& live);
    void receive(const pb::Envelope& envelope);
    void perform(dispatch::actions& out);
    void send(const dispatch::send_message& message);
    /// False if the backend server's address is not known here yet.
    bool grant(const dispatch::slot_granted& granted);
    void ask_elsewhere(const dispatch::slot_granted& granted);
    void refuse(const dispatch::slot_refused& refused);
    void tick();
    void send_report();

    dispatch_plane_settings settings_;
    const clock_source& clock_;
    report_receiver on_report_;
    boost::asio::io_context io_{1};
    boost::asio::executor_work_guard<boost::asio::io_context::executor_type> work_;
    boost::asio::steady_timer timer_;
    std::unique_ptr<peer::link> link_;
    std::unique_ptr<key_plane> keys_;
    dispatch::name_table names_;
    std::unique_ptr<dispatch::node> node_;
    dispatch::actions actions_;
    routing::snapshot_pointer snapshot_;
    /// Entry host ids by incarnation, for sending.
    std::unordered_map<std::string, std::string> id_of_incarnation_;
    std::map<std::string, address, std::less<>> backend_addresses_;
    std::unordered_map<std::uint64_t, waiting_wish> waiting_;
    pb::Envelope envelope_;
    steady_time next_report_;
    std::thread thread_;
};

} // namespace lacewingquay::entry
