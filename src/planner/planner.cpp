#include "planner/planner.hpp"

#include "planner/host_choice.hpp"

#include <algorithm>
#include <cstdio>

namespace lacewingquay::planner
{

namespace
{

/// Half-hours that the dynamic program looks ahead.
constexpr std::size_t forecast_steps = 96;
constexpr double forecast_step_hours = 0.5;
/// Upper limits of the waits, for deployments that give buffer almost no weight.
constexpr double max_grow_wait_minutes = 60.0;
constexpr double max_shrink_wait_minutes = 480.0;

double host_hours_per_move(const config::weights& weights)
{
    constexpr double min_weight = 1e-6;
    return weights.move / std::max(weights.buffer_host_hour, min_weight);
}

std::int64_t slots_per_host(const planner_input& input)
{
    std::int64_t slots = 0;
    for (const host_view& host : input.hosts)
    {
        slots += host.slots;
    }
    const std::int64_t hosts = static_cast<std::int64_t>(input.hosts.size());
    return hosts == 0 ? 1 : std::max<std::int64_t>(1, slots / hosts);
}

std::string reason_text(const char* verb, std::int64_t wanted, std::int64_t held, double level,
                        std::int64_t minutes)
{
    char text[160];
    std::snprintf(text, sizeof(text),
                  "%s: sustained load %.1f slots, %lld hosts wanted for %lld min, %lld held", verb,
                  level, static_cast<long long>(wanted), static_cast<long long>(minutes),
                  static_cast<long long>(held));
    return text;
}

/// Scales the levels and takes the higher of each step and the next: a pool must grow ahead of its
/// load, since the wait before a move and the drain take time.
std::vector<double> levels_ahead(const std::vector<double>& levels, double factor)
{
    std::vector<double> result;
    for (std::size_t step = 0; step + 1 < levels.size(); ++step)
    {
        result.push_back(factor * std::max(levels[step], levels[step + 1]));
    }
    return result;
}

const config::pool* spare_pool(const planner_input& input)
{
    for (const auto& [name, pool] : input.pools)
    {
        if (pool.spare)
        {
            return &pool;
        }
    }
    return nullptr;
}

void set_destination(std::vector<host_view>& hosts, std::string_view host, const std::string& pool)
{
    for (host_view& view : hosts)
    {
        if (view.name == host)
        {
            view.next_pool = pool;
        }
    }
}

} // namespace

size_cost planner::cost_of(const config::pool& pool, const planner_input& input) const
{
    constexpr double milliseconds_per_hour = 3'600'000.0;
    size_cost cost;
    cost.cost_weights = input.cost_weights;
    cost.min_hosts = pool.min_hosts;
    cost.buffer_hosts = pool.buffer_hosts;
    cost.usable_slots_per_host =
        settings_.utilization_limit * static_cast<double>(slots_per_host(input));
    cost.requests_per_slot_hour =
        milliseconds_per_hour / static_cast<double>(settings_.mean_service_time.count());
    return cost;
}

std::vector<host_view> planner::apply_orders(const planner_input& input)
{
    std::vector<host_view> hosts = input.hosts;
    std::map<std::string, order, std::less<>> open_orders;
    for (host_view& host : hosts)
    {
        const auto found = orders_.find(host.name);
        if (found == orders_.end() || host.pool == found->second.to ||
            input.minute - found->second.minute > settings_.order_timeout_minutes)
        {
            continue;
        }
        open_orders.insert(*found);
        host.next_pool = found->second.to;
    }
    orders_ = std::move(open_orders);
    return hosts;
}

bool planner::add_demand(const planner_input& input)
{
    std::map<std::string, std::int64_t, std::less<>> by_pool;
    for (const service_demand& service : input.services)
    {
        // A refused request is counted as the mean service time that it would have held a slot.
        const std::int64_t refused_millislots =
            service.refused_requests * settings_.mean_service_time.count() / 60;
        by_pool[service.pool] += service.busy_millislots + refused_millislots;
    }
    bool bucket_closed = false;
    for (const auto& [name, pool] : input.pools)
    {
        if (pools_[name].history.add(input.minute, by_pool[name]))
        {
            bucket_closed = true;
        }
    }
    return bucket_closed;
}

void planner::update_sizes(const config::pool& pool, const planner_input& input, std::int64_t held,
                           std::int64_t available, bool bucket_closed)
{
    pool_state& state = pools_[pool.name];
    if (!state.history.level() || (!bucket_closed && state.sized_for == held))
    {
        return;
    }
    const demand_forecast forecast = state.history.forecast(forecast_steps + 1);
    const size_cost cost = cost_of(pool, input);
    state.grow_to = best_size(cost, held, held + available,
                              levels_ahead(forecast.expected, 1.0 + settings_.grow_headroom),
                              forecast_step_hours, settings_.forecast_spread);
    state.shrink_to =
        best_size(cost, held, held + available,
                  levels_ahead(forecast.conservative, 1.0 + settings_.shrink_headroom),
                  forecast_step_hours, settings_.forecast_spread);
    state.sized_for = held;
}

void planner::update_pending_change(pending_change& current, std::int64_t change,
                                    std::int64_t minute) const
{
    if (change <= 0)
    {
        current = pending_change{};
        return;
    }
    current.change = current.since < 0 ? change : std::min(current.change, change);
    current.since = current.since < 0 ? minute : current.since;
}

planner::pool_decision planner::decide_pool(const config::pool& pool, const planner_input& input,
                                            std::int64_t held, bool spare_is_short)
{
    pool_state& state = pools_[pool.name];
    const std::int64_t min_size = pool.min_hosts + pool.buffer_hosts;
    if (held >= min_size)
    {
        state.below_minimum_since = -1;
    }
    else if (state.below_minimum_since < 0)
    {
        state.below_minimum_since = input.minute;
    }
    const double level = state.history.level().value_or(0.0);
    update_pending_change(state.grow, state.grow_to - held, input.minute);
    update_pending_change(state.shrink, state.shrink_to < 0 ? 0 : held - state.shrink_to,
                          input.minute);

    const double ratio = host_hours_per_move(input.cost_weights);
    const double grow_wait =
        std::min(max_grow_wait_minutes,
                 settings_.grow_wait_minutes + settings_.grow_wait_per_move_weight * ratio);
    const double shrink_wait =
        std::min(max_shrink_wait_minutes,
                 settings_.shrink_wait_minutes + settings_.shrink_wait_per_move_weight * ratio);
    const std::int64_t grow_minutes = input.minute - state.grow.since;
    const std::int64_t shrink_minutes = input.minute - state.shrink.since;
    if (state.below_minimum_since >= 0 &&
        input.minute - state.below_minimum_since >= settings_.below_minimum_wait_minutes)
    {
        return {min_size - held, reason_text("replace lost hosts", min_size, held, level,
                                             input.minute - state.below_minimum_since)};
    }
    if (state.grow.since >= 0 && static_cast<double>(grow_minutes) >= grow_wait)
    {
        return {state.grow.change,
                reason_text("grow", held + state.grow.change, held, level, grow_minutes)};
    }
    if (state.shrink.since >= 0 &&
        (spare_is_short || static_cast<double>(shrink_minutes) >= shrink_wait))
    {
        return {-state.shrink.change,
                reason_text("shrink", held - state.shrink.change, held, level, shrink_minutes)};
    }
    return {};
}

std::int64_t planner::spare_reserve(const config::pool& spare, const planner_input& input) const
{
    const auto found = pools_.find(spare.name);
    const double level = found == pools_.end() ? 0.0 : found->second.history.level().value_or(0.0);
    return cost_of(spare, input).required_hosts(level) + spare.buffer_hosts;
}

std::vector<planned_move> planner::decide(const planner_input& input)
{
    const config::pool* spare = spare_pool(input);
    if (input.minute <= last_minute_ || spare == nullptr)
    {
        return {};
    }
    last_minute_ = input.minute;
    std::vector<host_view> hosts = apply_orders(input);
    const bool bucket_closed = add_demand(input);
    const std::int64_t reserve = spare_reserve(*spare, input);
    std::vector<planned_move> moves;
    for (const auto& [name, pool] : input.pools)
    {
        if (pool.spare)
        {
            continue;
        }
        const std::int64_t held = hosts_held(hosts, name);
        const std::int64_t available =
            std::max<std::int64_t>(0, hosts_not_moving(hosts, spare->name) - reserve);
        update_sizes(pool, input, held, available, bucket_closed);
        const bool spare_is_short = hosts_held(hosts, spare->name) < reserve;
        const pool_decision decision = decide_pool(pool, input, held, spare_is_short);
        const std::string& from = decision.change > 0 ? spare->name : name;
        const std::string& to = decision.change > 0 ? name : spare->name;
        const std::int64_t min_remaining =
            decision.change > 0 ? reserve : pool.min_hosts + pool.buffer_hosts;
        std::int64_t left = std::abs(decision.change);
        while (left > 0 && hosts_moving(hosts, name) < settings_.max_moves_in_progress &&
               hosts_not_moving(hosts, from) > min_remaining)
        {
            const std::optional<std::string> host = choose_host(hosts, from, to);
            if (!host)
            {
                break;
            }
            set_destination(hosts, *host, to);
            orders_[*host] = order{to, input.minute};
            moves.push_back(planned_move{*host, from, to, decision.reason});
            --left;
        }
        // A further change needs its own full wait.
        pool_state& state = pools_[name];
        pending_change& ordered_change = decision.change > 0 ? state.grow : state.shrink;
        if (decision.change != 0)
        {
            ordered_change =
                left == 0 ? pending_change{} : pending_change{ordered_change.since, left};
        }
    }
    return moves;
}

} // namespace lacewingquay::planner
