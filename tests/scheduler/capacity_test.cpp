#include "scheduler_simulation.hpp"

#include <catch2/catch.hpp>
#include <rapidcheck/catch.h>

#include <string>
#include <utility>

using namespace lacewingquay;
using namespace lacewingquay::test;

namespace
{

constexpr job::resources full{8'000, 16'000, 0};
constexpr job::resources reduced{3'000, 16'000, 0};
constexpr int job_count = 16;

std::string name_of(int index)
{
    return "job" + std::to_string(index);
}

} // namespace

TEST_CASE("nothing is started beyond a capacity that has shrunk", "[scheduler]")
{
    rc::prop("the store refuses batches, so that assigned tasks wait",
             []
             {
                 fault_rates rates;
                 rates.store_refuses = 0.5;
                 scheduler_simulation simulation(*rc::gen::arbitrary<std::uint32_t>(), rates,
                                                 injected_bug::none);
                 simulation.add_servers(3, full);
                 for (int index = 0; index < job_count; ++index)
                 {
                     simulation.submit(
                         make_job(name_of(index), 1 + index % 2, 3, 1'000, milliseconds(600)));
                     simulation.run(milliseconds(100));
                     simulation.set_capacity(index / 2 % 2 == 0 ? reduced : full);
                     simulation.run(milliseconds(100));
                 }
                 simulation.run(milliseconds(15'000));
                 RC_ASSERT(simulation.starts_without_room() == 0U);
                 for (int index = 0; index < job_count; ++index)
                 {
                     RC_ASSERT(simulation.reported_state(name_of(index)) == job::state::completed);
                 }
             });
}

TEST_CASE("capacity is used again once it has grown back", "[scheduler]")
{
    scheduler_simulation simulation(1, {}, injected_bug::none);
    simulation.add_servers(1, full);
    simulation.run(milliseconds(100));
    simulation.set_capacity(reduced);
    simulation.submit(make_job("a", 1, 8, 1'000, milliseconds(20'000)));
    simulation.run(milliseconds(1'000));
    CHECK(simulation.starts() == 3);
    simulation.set_capacity(full);
    simulation.run(milliseconds(1'000));
    CHECK(simulation.starts() == 8);
    CHECK(simulation.starts_without_room() == 0);
}

TEST_CASE("a server whose long-running tasks exceed its capacity takes none from the others",
          "[scheduler]")
{
    // Guards against a negative share of a shrunk server in the admission forecast.
    scheduler::scheduler owner{scheduler::settings{}};
    const steady_time now{std::chrono::hours(1)};
    worker::server first;
    first.id = "s1";
    first.pool = "pool";
    first.born = 1;
    first.capacity = full;
    owner.update_server(first, now);
    job::record lasting = make_job("lasting", 1, 6, 1'000, milliseconds(500));
    lasting.work.steps.front().long_running = true;
    owner.add_job(std::move(lasting), nullptr, {}, now);
    owner.stored(owner.prepare(now, 10), now);
    worker::server second = first;
    second.id = "s2";
    owner.update_server(second, now);
    first.capacity.cpu = 2'000;
    owner.update_server(first, now);
    job::record batch = make_job("batch", 1, 8, 2'000, milliseconds(1'000));
    const job::queue queue = batch.queue;
    owner.add_job(std::move(batch), nullptr, {}, now);
    CHECK(owner.load(now).of(queue).cpu == 8'000);
}
