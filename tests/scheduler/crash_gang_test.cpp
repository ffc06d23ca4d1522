#include "scheduler_simulation.hpp"

#include <boost/leaf.hpp>
#include <catch2/catch.hpp>

#include <cstddef>
#include <string>
#include <vector>

using namespace lacewingquay;
using namespace lacewingquay::test;

namespace
{

/// A gang of one task a server, which has just been started.
struct gang_trial
{
    steady_time now{std::chrono::hours(1)};
    scheduler::scheduler owner{scheduler::settings{}};
    int size = 0;

    explicit gang_trial(int members) : size(members)
    {
        for (int number = 1; number <= size; ++number)
        {
            add_server("s", number, number);
        }
        job::record record = make_job("a", 1, size, 5'000, milliseconds(500));
        record.work.steps.front().gang = true;
        owner.add_job(record, nullptr, milliseconds(0), now);
        now += milliseconds(300);
        const scheduler::batch work = owner.prepare(now, 50);
        owner.stored(work, now);
        REQUIRE(work.starts.size() == static_cast<std::size_t>(size));
        for (const worker::start_order& order : work.starts)
        {
            owner.start_answered(order, worker::order_outcome::accepted, now);
        }
        now += milliseconds(50);
    }

    void add_server(const std::string& prefix, int number, std::int64_t born)
    {
        worker::server info;
        info.id = prefix + std::to_string(number);
        info.machine = "m" + std::to_string(number);
        info.pool = "pool";
        info.born = born;
        info.capacity = {8'000, 16'000, 0};
        owner.update_server(info, now);
    }

    void disconnect_all()
    {
        for (int number = 1; number <= size; ++number)
        {
            owner.call_unanswered("s" + std::to_string(number), number,
                                  worker::call_failure::disconnected, now);
        }
    }

    /// The crash history of the first member, as it would be stored.
    [[nodiscard]] job::crash_history stored_crashes()
    {
        const scheduler::batch work = owner.prepare(now, 50);
        owner.not_stored(work);
        REQUIRE(work.writes.size() == 1);
        const job::progress stored = boost::leaf::try_handle_all(
            [&] { return job::parse_progress(work.writes.front().text); },
            [] { return job::progress{}; });
        REQUIRE(stored.tasks.size() == static_cast<std::size_t>(size));
        return stored.tasks.front().crashes;
    }
};

} // namespace

TEST_CASE("a gang's run counts once although the servers of all members crash", "[scheduler]")
{
    gang_trial trial(3);
    trial.disconnect_all();
    trial.now += milliseconds(3'000);
    for (int number = 1; number <= trial.size; ++number)
    {
        trial.add_server("t", number, 100 + number);
        CHECK(trial.stored_crashes().crashes == 1);
    }
    CHECK(trial.stored_crashes().suspicions.empty());
}

TEST_CASE("the suspicions of a gang on many servers are limited", "[scheduler]")
{
    gang_trial trial(20);
    trial.disconnect_all();
    CHECK(trial.stored_crashes().suspicions.size() == 8);
    trial.now += milliseconds(3'000);
    trial.add_server("t", 1, 100);
    CHECK(trial.stored_crashes().crashes == 1);
}
