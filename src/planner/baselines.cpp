#include "planner/baselines.hpp"

#include "planner/host_choice.hpp"

#include <cstdlib>
#include <deque>
#include <memory>

namespace lacewingquay::planner
{

namespace
{

/// State of the proportional baseline: the recent load of each pool.
class follower
{
public:
    follower(evaluated_deployment deployment, std::int64_t window_minutes)
        : deployment_(std::move(deployment)), window_minutes_(window_minutes)
    {
    }

    std::vector<planned_move> decide(const planner_input& input)
    {
        std::map<std::string, std::int64_t, std::less<>> load;
        for (const service_demand& service : input.services)
        {
            load[service.pool] +=
                service.busy_millislots +
                service.refused_requests * deployment_.settings.mean_service_time.count() / 60;
        }
        std::string spare;
        for (const auto& [name, pool] : input.pools)
        {
            spare = pool.spare ? name : spare;
        }
        std::vector<host_view> hosts = input.hosts;
        std::vector<planned_move> moves;
        for (const auto& [name, pool] : input.pools)
        {
            if (!pool.spare)
            {
                resize(pool, spare, mean(name, load[name]), hosts, moves);
            }
        }
        return moves;
    }

private:
    double mean(const std::string& pool, std::int64_t millislots)
    {
        std::deque<std::int64_t>& window = windows_[pool];
        window.push_back(millislots);
        if (static_cast<std::int64_t>(window.size()) > window_minutes_)
        {
            window.pop_front();
        }
        double sum = 0.0;
        for (const std::int64_t value : window)
        {
            sum += static_cast<double>(value);
        }
        return sum / 1'000.0 / static_cast<double>(window.size());
    }

    void resize(const config::pool& pool, const std::string& spare, double level,
                std::vector<host_view>& hosts, std::vector<planned_move>& moves) const
    {
        const std::int64_t required =
            cost_model(deployment_, pool).required_hosts(level) + pool.buffer_hosts;
        const std::int64_t change = required - hosts_held(hosts, pool.name);
        const std::string& from = change > 0 ? spare : pool.name;
        const std::string& to = change > 0 ? pool.name : spare;
        for (std::int64_t left = std::abs(change); left > 0; --left)
        {
            const config::pool& source = deployment_.pools.find(from)->second;
            const std::optional<std::string> host = choose_host(hosts, from, to);
            if (!host || hosts_not_moving(hosts, from) <= source.min_hosts)
            {
                return;
            }
            for (host_view& view : hosts)
            {
                if (view.name == *host)
                {
                    view.next_pool = to;
                }
            }
            moves.push_back({*host, from, to, "follow"});
        }
    }

    evaluated_deployment deployment_;
    std::int64_t window_minutes_;
    std::map<std::string, std::deque<std::int64_t>, std::less<>> windows_;
};

} // namespace

move_policy fixed_pools()
{
    return [](const planner_input&)
    {
        return std::vector<planned_move>();
    };
}

move_policy proportional_follower(const evaluated_deployment& deployment,
                                  std::int64_t window_minutes)
{
    const std::shared_ptr<follower> state = std::make_shared<follower>(deployment, window_minutes);
    return [state](const planner_input& input)
    {
        return state->decide(input);
    };
}

} // namespace lacewingquay::planner
