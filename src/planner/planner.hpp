#pragma once

#include "planner/demand_history.hpp"
#include "planner/model.hpp"
#include "planner/sizing.hpp"

#include <boost/json.hpp>
#include <boost/leaf.hpp>

#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace lacewingquay::planner
{

/// Decides how many hosts each pool holds and which host moves. Deterministic: `(state, input) ->
/// moves`. Every move has the spare pool on one side.
///
/// A dynamic program over the forecast gives the size with the lowest weighted cost. The pool is
/// resized only after the need to grow or shrink has persisted for a wait that increases with the
/// weight of a move, and by the smallest change needed during that wait. Bursts of seconds and the
/// troughs between them therefore cause no move.
///
/// The state can be saved as JSON for the next lease holder. A planner that starts without state
/// makes no decision based on load for 30 minutes and has a daily forecast again after a day.
class planner
{
public:
    explicit planner(planner_settings settings) : settings_(settings) {}

    /// Processes the load of one minute and returns the moves to start now, ordered by pool.
    /// Returns none for an input that is not later than the last one.
    std::vector<planned_move> decide(const planner_input& input);

    [[nodiscard]] std::string to_json() const;

    /// Restores the state that `to_json` wrote; fails with `input_error`.
    static boost::leaf::result<planner> from_json(std::string_view text, planner_settings settings);

private:
    /// A need to grow or to shrink that has persisted since the minute `since`; -1 if there is
    /// none.
    struct pending_change
    {
        std::int64_t since = -1;
        /// The smallest change needed since then, in hosts.
        std::int64_t change = 0;
    };

    struct pool_state
    {
        demand_history history;
        /// The latest sizes to grow and to shrink to from the dynamic program, or -1. Between them
        /// the pool is not resized.
        std::int64_t grow_to = -1;
        std::int64_t shrink_to = -1;
        /// The size for which they were computed. They are computed again if the size has changed.
        std::int64_t sized_for = -1;
        pending_change grow;
        pending_change shrink;
        std::int64_t below_minimum_since = -1;
    };

    struct order
    {
        std::string to;
        std::int64_t minute = 0;
    };

    struct pool_decision
    {
        std::int64_t change = 0;
        std::string reason;
    };

    [[nodiscard]] static boost::leaf::result<pool_state>
    pool_from_json(const boost::json::object& object, const std::string& where);
    std::vector<host_view> apply_orders(const planner_input& input);
    [[nodiscard]] size_cost cost_of(const config::pool& pool, const planner_input& input) const;
    bool add_demand(const planner_input& input);
    void update_sizes(const config::pool& pool, const planner_input& input, std::int64_t hosts_held,
                      std::int64_t hosts_available, bool bucket_closed);
    pool_decision decide_pool(const config::pool& pool, const planner_input& input,
                              std::int64_t hosts_held, bool spare_is_short);
    void update_pending_change(pending_change& current, std::int64_t change,
                               std::int64_t minute) const;
    [[nodiscard]] std::int64_t spare_reserve(const config::pool& spare,
                                             const planner_input& input) const;

    planner_settings settings_;
    std::int64_t last_minute_ = -1;
    std::map<std::string, pool_state, std::less<>> pools_;
    /// Moves ordered and not yet seen in the input, by host.
    std::map<std::string, order, std::less<>> orders_;
};

} // namespace lacewingquay::planner
