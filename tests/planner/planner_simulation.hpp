#pragma once

#include "planner/baselines.hpp"
#include "planner/evaluation.hpp"
#include "planner/host_choice.hpp"
#include "planner/planner.hpp"

#include <algorithm>
#include <random>
#include <set>
#include <string>
#include <vector>

namespace lacewingquay::planner
{

/// Simulation of two regular pools and the spare pool, with load and host losses drawn from a seed.
/// Checks each move against the rules of pools.
class planner_simulation
{
public:
    explicit planner_simulation(std::uint64_t seed) : random_(seed)
    {
        input_.minute = 29'459'520;
        input_.cost_weights = {pick(1, 20) * 1.0, 1.0, 0.0002};
        add_pool("a", 3, 7);
        add_pool("b", 2, 5);
        add_pool("spare", 2, 10);
        for (service_demand& service : input_.services)
        {
            service.busy_millislots = pick(5'000, 30'000);
        }
    }

    std::int64_t pick(std::int64_t low, std::int64_t high)
    {
        return low +
               static_cast<std::int64_t>(random_() % static_cast<std::uint64_t>(high - low + 1));
    }

    /// Keeps the load constant and all hosts available.
    void disable_random_changes() { constant_ = true; }

    /// Multiplies the load of pool `a` in one minute, counted from the start, by `factor`.
    void scale_load(std::int64_t minute, double factor) { load_factors_[minute] = factor; }

    /// Runs one minute. Returns the first violation by a move, or an empty string.
    std::string run_minute(const move_policy& policy)
    {
        ++input_.minute;
        ++elapsed_;
        change_hosts();
        planner_input seen = input_;
        for (service_demand& service : seen.services)
        {
            const auto found = load_factors_.find(elapsed_);
            if (service.pool == "a" && found != load_factors_.end())
            {
                service.busy_millislots = static_cast<std::int64_t>(
                    found->second * static_cast<double>(service.busy_millislots));
            }
        }
        std::string violation;
        for (const planned_move& move : policy(seen))
        {
            const std::string problem = apply(move);
            violation = violation.empty() ? problem : violation;
            log_.push_back({elapsed_, move.host, move.from, move.to});
        }
        return violation;
    }

    /// Runs `minutes` or until the first violation. Returns it, or an empty string.
    std::string run(const move_policy& policy, std::int64_t minutes)
    {
        std::string violation;
        for (std::int64_t minute = 0; minute < minutes && violation.empty(); ++minute)
        {
            violation = run_minute(policy);
        }
        return violation;
    }

    planner_input& input() { return input_; }

    struct logged_move
    {
        std::int64_t minute = 0;
        std::string host;
        std::string from;
        std::string to;

        friend bool operator==(const logged_move&, const logged_move&) = default;
    };

    [[nodiscard]] const std::vector<logged_move>& log() const { return log_; }

    [[nodiscard]] std::int64_t held(const std::string& pool) const
    {
        return hosts_held(input_.hosts, pool);
    }

    void set_load(const std::string& pool, std::int64_t millislots)
    {
        for (service_demand& service : input_.services)
        {
            service.busy_millislots = service.pool == pool ? millislots : service.busy_millislots;
        }
    }

private:
    void add_pool(const std::string& name, std::int64_t min_hosts, std::int64_t hosts)
    {
        config::pool pool;
        pool.name = name;
        pool.min_hosts = min_hosts;
        pool.spare = name == "spare";
        input_.pools[name] = pool;
        input_.services.push_back({"service_" + name, name, 0, 0});
        for (std::int64_t index = 0; index < hosts; ++index)
        {
            const std::string zone = "z" + std::to_string(index % 3);
            input_.hosts.push_back({name + std::to_string(index), zone,
                                    zone + "r" + std::to_string(index % 2), name, "", true, 8});
            arrivals_.push_back(-1);
        }
    }

    void change_hosts()
    {
        for (std::size_t index = 0; index < input_.hosts.size(); ++index)
        {
            host_view& host = input_.hosts[index];
            if (!host.next_pool.empty() && arrivals_[index] <= elapsed_)
            {
                host.pool = host.next_pool;
                host.next_pool.clear();
            }
            if (!constant_ && pick(0, host.available ? 3'000 : 200) == 0)
            {
                host.available = !host.available;
            }
        }
        for (service_demand& service : input_.services)
        {
            if (!constant_ && pick(0, 200) == 0)
            {
                service.busy_millislots = pick(1'000, 60'000);
            }
        }
    }

    std::size_t zone_count(const std::string& pool) const
    {
        std::set<std::string> found;
        for (const host_view& host : input_.hosts)
        {
            if (host.available && host.pool == pool && host.next_pool.empty())
            {
                found.insert(host.availability_zone);
            }
        }
        return found.size();
    }

    std::string apply(const planned_move& move)
    {
        const std::size_t zones_before = zone_count(move.from);
        for (std::size_t index = 0; index < input_.hosts.size(); ++index)
        {
            host_view& host = input_.hosts[index];
            if (host.name != move.host)
            {
                continue;
            }
            if (!host.available || !host.next_pool.empty() || host.pool != move.from)
            {
                return "a moved host is unavailable, already moving or in another pool";
            }
            if ((move.from == "spare") == (move.to == "spare"))
            {
                return "the spare pool is not on exactly one side";
            }
            host.next_pool = move.to;
            arrivals_[index] = elapsed_ + pick(1, 4);
            const std::string& regular = move.from == "spare" ? move.to : move.from;
            if (hosts_not_moving(input_.hosts, move.from) <
                input_.pools.find(move.from)->second.min_hosts)
            {
                return "a pool is below min_hosts";
            }
            if (hosts_moving(input_.hosts, regular) > 2)
            {
                return "too many moves in progress";
            }
            return zones_before > 1 && zone_count(move.from) < 2 ? "a pool is in one zone only"
                                                                 : "";
        }
        return "a moved host is unknown";
    }

    std::mt19937_64 random_;
    planner_input input_;
    std::vector<std::int64_t> arrivals_;
    std::map<std::int64_t, double> load_factors_;
    std::vector<logged_move> log_;
    std::int64_t elapsed_ = 0;
    bool constant_ = false;
};

} // namespace lacewingquay::planner
