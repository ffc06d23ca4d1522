#include "scheduler_simulation.hpp"

#include <catch2/catch.hpp>
#include <rapidcheck/catch.h>

#include <string>
#include <vector>

using namespace lacewingquay;
using namespace lacewingquay::test;

namespace
{

constexpr job::resources host_capacity{8'000, 16'000, 0};
constexpr int job_count = 10;

enum class fault
{
    lost_answers,
    delayed_orders,
    server_crashes,
    partitions,
    owner_kills,
    store_answers_lost,
    store_refusals,
    store_cut,
    zone_cut,
    handover,
    takeovers,
    server_ends,
    server_ends_unregistered,
    server_restarts,
    orders_held,
    slow_commits,
    count
};

constexpr int fault_count = static_cast<int>(fault::count);

std::string name_of(int index)
{
    return "job" + std::to_string(index);
}

/// Two long-running jobs first, then short ones.
void submit_jobs(scheduler_simulation& simulation)
{
    for (int index = 0; index < job_count; ++index)
    {
        job::record record =
            make_job(name_of(index), index < 2 ? 1 : 1 + index % 3, index < 2 ? 4 : 1 + index % 4,
                     index < 2 ? 1'500 : 1'000, milliseconds(600));
        record.work.steps.front().long_running = index < 2;
        record.work.steps.front().disruption_budget = 1;
        simulation.submit(std::move(record));
        simulation.run(milliseconds(150));
    }
}

/// Faults that are given as probabilities last until the pair ends.
fault_rates rates_of(fault first, fault second)
{
    const auto rate = [&](fault kind, double value)
    {
        return first == kind || second == kind ? value : 0.0;
    };
    fault_rates rates;
    rates.lost_answer = rate(fault::lost_answers, 0.2);
    rates.delayed_order = rate(fault::delayed_orders, 0.2);
    rates.server_crash = rate(fault::server_crashes, 0.003);
    rates.server_partitioned = rate(fault::partitions, 0.003);
    rates.owner_killed = rate(fault::owner_kills, 0.01);
    rates.store_answer_lost = rate(fault::store_answers_lost, 0.1);
    rates.store_refuses = rate(fault::store_refusals, 0.3);
    rates.slow_commit = rate(fault::slow_commits, 0.5);
    return rates;
}

/// Plays one pair of faults, the second some time after the first.
class fault_pair
{
public:
    fault_pair(std::uint32_t seed, fault first, fault second)
        : random_(seed), first_(first), second_(second),
          simulation_(seed, rates_of(first, second), injected_bug::none)
    {
    }

    std::vector<std::string> play()
    {
        simulation_.add_servers(5, host_capacity);
        submit_jobs(simulation_);
        begin(first_);
        simulation_.run(time(0, 5'000));
        simulation_.submit(make_job("late", 2, 3, 1'000, milliseconds(600)));
        begin(second_);
        simulation_.run(time(0, 3'000));
        simulation_.stop_faults();
        simulation_.run(milliseconds(35'000));
        return simulation_.violations();
    }

private:
    milliseconds time(int least, int most)
    {
        return milliseconds(std::uniform_int_distribution<int>(least, most)(random_));
    }

    void begin(fault kind)
    {
        switch (kind)
        {
        case fault::store_cut:
            simulation_.cut_store(time(1'000, 5'000));
            break;
        case fault::zone_cut:
            simulation_.cut_zone(random_(), time(2'000, 12'000));
            break;
        case fault::handover:
            simulation_.hand_over();
            break;
        case fault::takeovers:
            for (int index = 0; index < 3; ++index)
            {
                if (random_() % 2 == 0)
                {
                    simulation_.hand_over();
                }
                else
                {
                    simulation_.kill_owner();
                }
                simulation_.run(time(1'000, 9'000));
            }
            break;
        case fault::server_ends:
            simulation_.end_server(simulation_.any_server(), time(1'000, 5'000), false);
            break;
        case fault::server_ends_unregistered:
            simulation_.end_server(simulation_.any_server(), time(1'000, 5'000), true);
            break;
        case fault::server_restarts:
            simulation_.restart_server(simulation_.any_server());
            break;
        case fault::orders_held:
            simulation_.hold_orders(time(1'000, 3'000));
            break;
        default:
            break;
        }
    }

    std::mt19937 random_;
    fault first_;
    fault second_;
    scheduler_simulation simulation_;
};

std::vector<std::string> play(std::uint32_t seed, int first, int second)
{
    return fault_pair(seed, static_cast<fault>(first), static_cast<fault>(second)).play();
}

} // namespace

TEST_CASE("no task waits beside a server with room once any pair of faults has healed",
          "[scheduler]")
{
    for (std::uint32_t seed = 1; seed <= 3; ++seed)
    {
        for (int first = 0; first < fault_count; ++first)
        {
            for (int second = 0; second < fault_count; ++second)
            {
                INFO("seed " << seed << ", faults " << first << " and " << second);
                CHECK(play(seed, first, second) == std::vector<std::string>{});
            }
        }
    }
}

TEST_CASE("no task waits beside a server with room once a pair of faults has healed", "[scheduler]")
{
    rc::prop("random pairs",
             []
             {
                 const std::uint32_t seed = *rc::gen::inRange<std::uint32_t>(0, 1'000'000'000);
                 const int first = *rc::gen::inRange(0, fault_count);
                 const int second = *rc::gen::inRange(0, fault_count);
                 RC_ASSERT(play(seed, first, second) == std::vector<std::string>{});
             });
}
