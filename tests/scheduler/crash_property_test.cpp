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

fault_rates all_faults()
{
    fault_rates rates;
    rates.lost_answer = 0.05;
    rates.delayed_order = 0.05;
    rates.server_crash = 0.001;
    rates.server_partitioned = 0.002;
    rates.owner_killed = 0.003;
    rates.store_answer_lost = 0.05;
    rates.store_refuses = 0.05;
    return rates;
}

constexpr int job_count = 12;

std::string name_of(int index)
{
    return "job" + std::to_string(index);
}

bool is_deadly_job(int index)
{
    return index % 4 == 1;
}

/// Jobs of several tasks, some of which hold one task that crashes its servers.
void submit_jobs(scheduler_simulation& simulation)
{
    for (int index = 0; index < job_count; ++index)
    {
        job::record record =
            make_job(name_of(index), 1 + index % 2, 2 + index % 4, 2'000, milliseconds(600));
        record.work.steps.front().long_running = index == 9;
        if (is_deadly_job(index))
        {
            simulation.make_deadly({name_of(index), {0, 0, index % 2}});
        }
        simulation.submit(std::move(record));
        simulation.run(milliseconds(200));
    }
}

} // namespace

TEST_CASE("work that shares servers with crashing tasks completes, and these are given up",
          "[scheduler]")
{
    rc::prop("no other faults",
             []
             {
                 scheduler_simulation simulation(*rc::gen::arbitrary<std::uint32_t>(), {},
                                                 injected_bug::none);
                 simulation.add_servers(6, host_capacity);
                 submit_jobs(simulation);
                 simulation.run(milliseconds(45'000));
                 RC_ASSERT(simulation.violations() == std::vector<std::string>{});
                 for (int index = 0; index < job_count; ++index)
                 {
                     RC_ASSERT(simulation.reported_state(name_of(index)) ==
                               (is_deadly_job(index) ? job::state::failed : job::state::completed));
                 }
             });
}

namespace
{

/// Plays all faults together, with crashed servers that return after `least` to `most`.
void check_all_faults(milliseconds least, milliseconds most)
{
    scheduler_simulation simulation(*rc::gen::arbitrary<std::uint32_t>(), all_faults(),
                                    injected_bug::none);
    simulation.set_replacement_time(least, most);
    simulation.add_servers(6, host_capacity);
    submit_jobs(simulation);
    simulation.run(milliseconds(20'000));
    simulation.stop_faults();
    simulation.run(milliseconds(60'000));
    RC_ASSERT(simulation.violations() == std::vector<std::string>{});
    for (int index = 0; index < job_count; ++index)
    {
        const job::state state = simulation.reported_state(name_of(index));
        RC_ASSERT(job::is_final(state));
        RC_ASSERT(state == job::state::completed || simulation.most_crashes(name_of(index)) >= 2);
    }
}

} // namespace

TEST_CASE("no fault makes a crashing task start three more times after three crashes",
          "[scheduler]")
{
    rc::prop("all faults together",
             [] { check_all_faults(milliseconds(3'000), milliseconds(3'000)); });
}

TEST_CASE("servers that return after their lease do not hide crashes", "[scheduler]")
{
    rc::prop("all faults together",
             [] { check_all_faults(milliseconds(1'000), milliseconds(8'000)); });
}
