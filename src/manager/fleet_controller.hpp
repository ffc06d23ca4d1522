#pragma once

#include "fleet/model.hpp"
#include "fleet/order_effect.hpp"
#include "fleet/order_progress.hpp"
#include "fleet/planner.hpp"
#include "fleet/server_marks.hpp"
#include "fleet/wave_plan.hpp"
#include "manager/context.hpp"
#include "manager/owner_session.hpp"

#include <boost/asio/awaitable.hpp>

#include <map>
#include <memory>
#include <set>
#include <span>
#include <string>
#include <vector>

namespace lacewingquay::manager
{

/// Table of the fleet controller's rows: outstanding orders and the progress of waves.
inline constexpr std::string_view fleet_table = "fleet";

/// Moves machines between pools and carries out maintenance waves during an owner's session. Orders
/// carry the owner's term as fencing token. A machine that a former owner has ordered gets no order
/// until that one has expired.
class fleet_controller : public std::enable_shared_from_this<fleet_controller>
{
public:
    fleet_controller(context& shared, std::shared_ptr<owner_session> owner);

    /// Starts the control loop, which ends with the owner's session.
    void start();

    /// Adds a wave requested by the operator; a number that is already known is ignored.
    void add_wave(const fleet::wave& definition);

private:
    enum class order_kind
    {
        move,
        maintain
    };

    /// A machine as listed by the platform, with the state of its orders.
    struct machine_entry
    {
        fleet::machine listed;
        /// An order is in flight, or its effect is not visible yet.
        bool ordered = false;
        order_kind kind = order_kind::move;
        std::string target_pool;
        std::int64_t wave = 0;
        /// As stored for a later owner: the order is sent shortly after this time.
        steady_time ordered_at{};
        /// The platform has confirmed the order.
        bool confirmed = false;
        /// Pool to which the machine moves once it is drained; empty if it is not being drained.
        std::string drain_target_pool;
        steady_time drain_started{};
        /// The backend server that the order terminates.
        std::string former_server;
        std::int64_t former_born = 0;
        /// Wave for which the machine is being drained, 0 for none, and when that began.
        std::int64_t draining_for_wave = 0;
        steady_time draining_since{};
        /// Part of the platform's latest list.
        bool in_latest_list = false;
    };

    struct wave_entry
    {
        fleet::wave definition;
        steady_time started_at{};
        std::set<std::string> done;
        bool completed = false;
        bool stored_running = false;
        bool stored_completed = false;
        bool loaded = false;
    };

    boost::asio::awaitable<void> run();
    boost::asio::awaitable<bool> refresh();
    boost::asio::awaitable<void> load_waves();
    /// Reads which machines former owners have ordered.
    boost::asio::awaitable<bool> load_orders();
    /// Machines that this owner or a former one has ordered recently, and when. A later owner has
    /// to leave them alone, however soon it takes over.
    [[nodiscard]] std::map<std::string, steady_time> recent_orders() const;
    /// Stores the machines with recent orders, on condition that this host is still the owner.
    boost::asio::awaitable<bool> store_orders();
    boost::asio::awaitable<void> send_planned_orders();
    /// Drops planned orders that the stored record has no room for; they are planned again.
    void limit_planned_orders();
    /// How long an order is part of the record.
    [[nodiscard]] milliseconds order_memory() const;
    boost::asio::awaitable<void> order(order_kind kind, std::string machine, std::string pool,
                                       std::int64_t wave);
    boost::asio::awaitable<void> store_wave(std::int64_t number);
    /// Handles the backend server that ran on the machine when a now confirmed order was sent.
    boost::asio::awaitable<void> apply_confirmed_order(order_kind kind, std::string machine);
    /// True if the machine's order is still to be sent: it was recorded a moment ago, and what runs
    /// on the machine may still be ended. To be checked immediately before it is sent.
    [[nodiscard]] bool is_order_due(order_kind kind, const std::string& name);
    /// Calls that server to learn whether the order has ended it.
    boost::asio::awaitable<fleet::order_effect> check_former_server(std::string id,
                                                                    std::int64_t born);
    void detect_arrivals();
    /// Updates what the scheduler knows about the plans for the server's machine.
    void mark(scheduler::server_state& server) const;
    void mark_servers() const;
    void cancel_order(const std::string& machine);
    void drain(const std::string& machine, const std::string& pool, steady_time now);
    [[nodiscard]] bool is_standby(const std::string& pool) const;
    [[nodiscard]] fleet::order_progress progress_of(const machine_entry& machine,
                                                    steady_time requested_at) const;
    [[nodiscard]] bool is_reserved(const std::string& machine) const;
    void plan_moves(steady_time now);
    void plan_waves(steady_time now);
    void prepare_order(order_kind kind, const std::string& machine, const std::string& pool,
                       std::int64_t wave);
    /// Returns the server on the machine, or null. One whose registration has lapsed counts while
    /// it may have runs.
    [[nodiscard]] scheduler::server_state* server_of(const std::string& machine);
    [[nodiscard]] std::vector<fleet::machine_view> machine_views(steady_time now);
    [[nodiscard]] std::vector<fleet::pool_view> pool_views();
    /// Passes the processor capacity that could be added to any pool to the scheduler.
    void update_spare_cpu(std::span<const fleet::machine_view> machines);

    context& shared_;
    std::shared_ptr<owner_session> owner_;
    fleet::planner planner_;
    std::map<std::string, machine_entry> machines_;
    std::map<std::int64_t, wave_entry> waves_;
    std::map<std::string, std::string> server_by_machine_;
    /// Machines under a former owner's orders, with the time from which this owner may order them.
    std::map<std::string, steady_time> reserved_until_;
    /// Machines with orders of this round, which are sent once they are stored.
    std::vector<std::string> planned_orders_;
    steady_time refreshed_{};
    bool listed_ = false;
    bool orders_loaded_ = false;
};

} // namespace lacewingquay::manager
