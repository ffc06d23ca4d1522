#include "report/buffer.hpp"
#include "report/history.hpp"
#include "report/retention.hpp"
#include "report/rows.hpp"

#include <catch2/catch.hpp>

#include <set>
#include <string>
#include <vector>

using namespace lacewingquay;
using namespace lacewingquay::report;

namespace
{

config::note_record accepted_note(const std::string& id, std::uint64_t epoch, std::int64_t at_ms)
{
    config::note_record record;
    record.note.id = id;
    record.state = config::note_state::accepted;
    record.epoch = epoch;
    record.decided_at_ms = at_ms;
    return record;
}

} // namespace

// Guards against counting an entry host that starts long after the acceptance as a slow roll-out,
// and against roll-outs of notes that were never accepted.
TEST_CASE("roll-out time ends with the last entry host in the window", "[report]")
{
    parsed_history history;
    history.notes = {accepted_note("first", 1, 1'000), accepted_note("second", 2, 9'000)};
    history.notes.push_back({});
    history.rollouts = {
        {1, "e1#1", 1'200}, {1, "e2#1", 1'900}, {1, "e3#5", 900'000}, {2, "e1#1", 9'100}};
    const std::vector<rollout> rollouts = compute_rollouts(history, std::chrono::minutes{1});
    REQUIRE(rollouts.size() == 2);
    CHECK(rollouts[0].entry_hosts == 2);
    CHECK(rollouts[0].time == std::chrono::milliseconds{900});
    CHECK(rollouts[1].note_id == "second");
    CHECK(rollouts[1].time == std::chrono::milliseconds{100});
}

// Guards against a damaged row that makes the whole report fail.
TEST_CASE("history rows that cannot be parsed are skipped and counted", "[report]")
{
    const std::vector<platform::row> rows = {
        {"rollout/3/e1#1", 1, R"({"availability_zone":"z1","in_force_at_ms":5})"},
        {"rollout/x/e1#1", 1, R"({"in_force_at_ms":5})"},
        {"moves/z1/000000000007-000", 1, R"({"host":"h1","from":"a","to":"b","at":9})"},
        {"moves/z1/000000000008-000", 1, "garbage"},
        {"note/n1", 1, "{}"}};
    const parsed_history history = parse_history(rows);
    CHECK(history.rollouts.size() == 1);
    REQUIRE(history.moves.size() == 1);
    CHECK(history.moves[0].availability_zone == "z1");
    CHECK(history.refused == 3);
}

// Guards against a buffer cost computed from the initial pools of hosts instead of their placement.
TEST_CASE("the buffer is the placed hosts beyond the demand", "[report]")
{
    config::configuration configuration;
    configuration.pools["a"] = {"a", 1, 1, 2.0, false, 1};
    configuration.pools["b"] = {"b", 1, 0, 2.0, true, 1};
    for (const char* name : {"h1", "h2", "h3", "h4"})
    {
        configuration.hosts[name].name = name;
        configuration.hosts[name].initial_pool = "a";
    }
    configuration.services["s"].pool = "a";
    const std::vector<pool_buffer> buffers =
        compute_buffers(configuration, {{"h4", "b"}}, {{"s", 9.0}});
    REQUIRE(buffers.size() == 2);
    CHECK(buffers[0].held.hosts == 3);
    CHECK(buffers[0].needed_hosts == 2);
    CHECK(buffers[0].idle_hosts == 1);
    CHECK(buffers[0].idle_hour_cost == Approx(2.0));
    CHECK(buffers[1].held.hosts == 1);
    CHECK(buffers[1].idle_hosts == 0);
}

// Guards against removing rows that a window still needs, and against periods skipped
// after an outage.
TEST_CASE("retention returns each expired period once and no other", "[report]")
{
    retention_cursor cursor(retention_settings{});
    wall_time now{std::chrono::hours{24 * 20'000}};
    std::set<std::string> seen;
    for (int step = 0; step < 300; ++step)
    {
        while (const std::optional<std::string> prefix = cursor.next(now))
        {
            CHECK(cursor.next(now) == prefix);
            CHECK(seen.insert(*prefix).second);
            cursor.removed();
        }
        now += std::chrono::minutes{1};
    }
    const std::int64_t minute = 24 * 20'000 * 60;
    CHECK(seen.count(period_prefix("burn_minute", minute - 121)) == 1);
    CHECK(seen.count(period_prefix("burn_minute", minute + 178)) == 1);
    CHECK(seen.count(period_prefix("burn_minute", minute + 179)) == 0);
}
