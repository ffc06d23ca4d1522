#pragma once

#include "fleet/model.hpp"
#include "fleet/planner.hpp"
#include "fleet/wave_plan.hpp"
#include "manager/context.hpp"
#include "manager/session.hpp"

#include <boost/asio/awaitable.hpp>

#include <map>
#include <memory>
#include <set>
#include <span>
#include <string>
#include <vector>

namespace lacewingquay::manager
{

/// Table of the fleet's own rows.
inline constexpr std::string_view fleet_table = "fleet";

/// Orders are given only while the ownership was confirmed by the store this recently.
inline constexpr milliseconds confirmed_age{1'200};

/// Moves machines between pools and carries out maintenance waves, as part of an owner's session.
/// Orders carry the owner's term as fencing token, and begin only when a former owner's have ended.
class fleet_runner : public std::enable_shared_from_this<fleet_runner>
{
public:
    fleet_runner(context& shared, std::shared_ptr<session> owner);

    /// Begins; ends with the owner's session.
    void start();

    /// Takes a wave that the operator asks for.
    void add_wave(const fleet::wave& wanted);

private:
    enum class order_kind
    {
        move,
        maintain
    };

    /// What is known of one machine beyond the platform's list.
    struct machine_entry
    {
        fleet::machine listed;
        /// An order is under way or its effect is awaited.
        bool ordered = false;
        order_kind kind = order_kind::move;
        std::string target_pool;
        std::int64_t wave = 0;
        steady_time ordered_at{};
        /// The platform has confirmed the order.
        bool confirmed = false;
        /// Closed until it is idle, to move to this pool then.
        std::string drained_for;
        steady_time drained_since{};
        /// The server that the order ends.
        std::string former_server;
        std::int64_t former_born = 0;
        /// Closed for a wave since this time.
        std::int64_t closing_for_wave = 0;
        steady_time closed_at{};
        bool seen = false;
    };

    struct wave_entry
    {
        fleet::wave wanted;
        steady_time begun{};
        std::set<std::string> done;
        bool completed = false;
        bool stored_running = false;
        bool stored_completed = false;
        bool loaded = false;
    };

    boost::asio::awaitable<void> run();
    boost::asio::awaitable<bool> refresh();
    boost::asio::awaitable<void> load_waves();
    /// Reads the former owner's latest orders.
    boost::asio::awaitable<bool> load_orders();
    /// Stores which machines are ordered, under the condition that this host still is the owner.
    boost::asio::awaitable<bool> store_orders();
    boost::asio::awaitable<void> send_planned();
    boost::asio::awaitable<void> order(order_kind kind, std::string machine, std::string pool,
                                       std::int64_t wave);
    boost::asio::awaitable<void> store_wave(std::int64_t number);
    void note_arrivals();
    void cancel_order(const std::string& machine);
    void drain(const std::string& machine, const std::string& pool, steady_time now);
    [[nodiscard]] bool is_standby(const std::string& pool) const;
    [[nodiscard]] bool is_over(const machine_entry& machine, steady_time asked) const;
    [[nodiscard]] bool is_reserved(const std::string& machine) const;
    void plan_moves(steady_time now);
    void plan_waves(steady_time now);
    void prepare_order(order_kind kind, const std::string& machine, const std::string& pool,
                       std::int64_t wave);
    [[nodiscard]] scheduler::server_state* server_of(const std::string& machine);
    [[nodiscard]] std::vector<fleet::machine_view> machine_views(steady_time now);
    [[nodiscard]] std::vector<fleet::pool_view> pool_views();
    /// Tells the scheduler what every pool can still be given.
    void note_spare(std::span<const fleet::machine_view> machines);

    context& shared_;
    std::shared_ptr<session> owner_;
    fleet::planner planner_;
    std::map<std::string, machine_entry> machines_;
    std::map<std::int64_t, wave_entry> waves_;
    std::map<std::string, std::string> server_by_machine_;
    /// Machines that a former owner ordered, with the time from which this one may.
    std::map<std::string, steady_time> reserved_until_;
    /// Orders of this round, sent once they are stored.
    std::vector<std::string> planned_;
    steady_time refreshed_{};
    bool listed_ = false;
    bool orders_loaded_ = false;
};

} // namespace lacewingquay::manager
