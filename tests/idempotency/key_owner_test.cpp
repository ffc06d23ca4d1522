#include "idempotency/key_owner.hpp"
#include "idempotency/key_simulation.hpp"

#include <catch2/catch.hpp>
#include <rapidcheck/catch.h>

#include <random>

using namespace lacewingquay;
using namespace lacewingquay::idempotency;
using lacewingquay::test::key_simulation;
using lacewingquay::test::simulation_fault;

namespace
{

rc::Gen<std::vector<key_simulation::step>> steps(std::size_t count)
{
    return rc::gen::container<std::vector<key_simulation::step>>(
        count, rc::gen::pair(rc::gen::inRange<std::uint8_t>(0, key_simulation::step_kinds),
                             rc::gen::inRange<std::uint32_t>(0, UINT32_MAX)));
}

/// Runs simulations of 300 random steps; returns in how many of them a key was admitted twice.
int count_violations(simulation_fault fault, int simulations, int& admissions)
{
    int violated = 0;
    for (int seed = 0; seed < simulations; ++seed)
    {
        std::mt19937 random(static_cast<unsigned>(seed));
        std::vector<key_simulation::step> plan;
        for (int i = 0; i < 300; ++i)
        {
            const std::uint8_t kind =
                static_cast<std::uint8_t>(random() % key_simulation::step_kinds);
            plan.emplace_back(kind, static_cast<std::uint32_t>(random()));
        }
        key_simulation simulation(fault);
        simulation.run(plan);
        violated += simulation.violations() > 0 ? 1 : 0;
        admissions += simulation.admissions();
    }
    return violated;
}

claim_decision decide(key_owner& owner, wall_time now, const claim_event& claim)
{
    return std::get<claim_result_action>(owner.handle(now, claim).at(0)).answer.decision;
}

} // namespace

// Guards against running a request with an idempotency key twice under message loss, delay,
// reordering and duplication, membership changes and restarts.
TEST_CASE("a key is admitted once unless its holder reports that it was not run", "[idempotency]")
{
    rc::prop("no second admission",
             []
             {
                 key_simulation simulation(simulation_fault::none);
                 simulation.run(*steps(300));
                 RC_ASSERT(simulation.violations() == 0);
             });
    int admissions = 0;
    CHECK(count_violations(simulation_fault::none, 1'000, admissions) == 0);
    CHECK(admissions > 5'000);
}

// Guards against a property that cannot fail: it has to detect owners that break a rule.
TEST_CASE("faulty owners admit keys twice", "[idempotency]")
{
    int admissions = 0;
    CHECK(count_violations(simulation_fault::assumes_views_in_use, 1'000, admissions) > 0);
    CHECK(count_violations(simulation_fault::backdates_restart, 300, admissions) > 0);
}

// Guards against owners that refuse new keys forever, or admit keys that were issued before their
// records were complete.
TEST_CASE("fresh keys are admitted once views are stable and old ones never", "[idempotency]")
{
    rc::prop("fresh admitted, old not",
             [](std::uint32_t number)
             {
                 key_simulation simulation(simulation_fault::none);
                 simulation.run(*steps(100));
                 simulation.synchronize();
                 simulation.advance(7);
                 RC_ASSERT(simulation.claim_fresh(number, milliseconds{0}) ==
                           claim_decision::admitted);
                 RC_ASSERT(simulation.claim_fresh(number, milliseconds{3'600'000}) ==
                           claim_decision::may_have_run);
             });
}

namespace
{

/// A single owner `a` of all keys, with a view that has been stable for a minute.
struct owner_fixture
{
    explicit owner_fixture(key_owner_settings settings = {}) : owner(settings, "a", "a#1", now)
    {
        owner.handle(now, view_event{1, {{"a", "a#1"}}});
        advance(60);
    }

    void advance(int seconds)
    {
        for (int i = 0; i < seconds; ++i)
        {
            now += milliseconds{1'000};
            for (const key_action& action : owner.handle(now, tick_event{}))
            {
                if (const auto* write = std::get_if<write_batch_action>(&action))
                {
                    written.push_back(write->batch);
                    owner.handle(now, batch_written_event{true});
                }
            }
        }
    }

    std::string new_key() { return make_uuid7(now, ++keys, 0).text(); }

    claim_decision claim(const std::string& key, std::uint64_t id = 1,
                         std::uint64_t fingerprint = 7)
    {
        return decide(owner, now, {"a#1", id, key, fingerprint, 1});
    }

    stored_answer complete(const std::string& key, std::size_t size)
    {
        owner.handle(now, outcome_event{"a#1",
                                        1,
                                        key,
                                        verdict::completed,
                                        {200, "text/plain", std::string(size, 'x'), true}});
        return std::get<claim_result_action>(
                   owner.handle(now, claim_event{"a#1", 2, key, 7, 1}).at(0))
            .answer.answer;
    }

    wall_time now{std::chrono::hours{24 * 365 * 50}};
    std::uint64_t keys = 0;
    key_owner owner;
    std::vector<claim_batch> written;
};

} // namespace

// Guards against keys whose time of issue is read wrongly (RFC 9562, appendix A.6).
TEST_CASE("UUIDv7 parsing", "[idempotency]")
{
    const std::optional<uuid7> example = parse_uuid7("017F22E2-79B0-7CC3-98C4-DC0C0C07398F");
    REQUIRE(example);
    CHECK(unix_milliseconds(example->issued_at()) == 1'645'557'742'000);
    CHECK(example->text() == "017f22e2-79b0-7cc3-98c4-dc0c0c07398f");
    for (const char* bad :
         {"", "017F22E2-79B0-4CC3-98C4-DC0C0C07398F", "017F22E2-79B0-7CC3-18C4-DC0C0C07398F",
          "017F22E279B0-7CC3-98C4-DC0C0C07398F-", "017F22E2-79B0-7CC3-98C4-DC0C0C07398G",
          "017F22E2-79B0-7CC3-98C4-DC0C0C07398F0"})
    {
        CHECK_FALSE(parse_uuid7(bad));
    }
    rc::prop("text and parse agree",
             [](std::uint32_t time, std::uint64_t high, std::uint64_t low)
             {
                 const uuid7 made = make_uuid7(wall_time{milliseconds{time}}, high, low);
                 RC_ASSERT(parse_uuid7(made.text()) == made);
                 RC_ASSERT(unix_milliseconds(made.issued_at()) == time);
             });
}

// Guards against each wrong decision about a known or unacceptable key.
TEST_CASE("decisions of one owner", "[idempotency]")
{
    owner_fixture fixture;
    const std::string key = fixture.new_key();
    CHECK(fixture.claim(key) == claim_decision::admitted);
    CHECK(fixture.claim(key) == claim_decision::admitted);
    CHECK(fixture.claim(key, 2) == claim_decision::in_progress);
    CHECK(fixture.claim(key, 2, 8) == claim_decision::mismatch);
    fixture.owner.handle(fixture.now, outcome_event{"a#1", 1, key, verdict::not_run, {}});
    CHECK(fixture.claim(key, 3) == claim_decision::admitted);
    fixture.owner.handle(fixture.now, outcome_event{"a#1", 1, key, verdict::not_run, {}});
    CHECK(fixture.claim(key, 4) == claim_decision::in_progress);
    CHECK(fixture.claim("k") == claim_decision::invalid);
    CHECK(fixture.claim(make_uuid7(fixture.now + milliseconds{5'001}, 1, 1).text()) ==
          claim_decision::invalid);
    CHECK(fixture.claim(make_uuid7(fixture.now - milliseconds{55'001}, 1, 1).text()) ==
          claim_decision::may_have_run);
    CHECK(decide(fixture.owner, fixture.now, {"a#1", 9, fixture.new_key(), 7, 2}) ==
          claim_decision::refused);
    CHECK(decide(fixture.owner, fixture.now, {"x#1", 9, fixture.new_key(), 7, 1}) ==
          claim_decision::refused);
    fixture.owner.handle(fixture.now, holder_lost_event{"a#1"});
    CHECK(fixture.claim(key, 5) == claim_decision::may_have_run);
    CHECK(fixture.complete(fixture.new_key(), 1).status == 0);
}

// Guards against admissions after a process pause with a view that is no longer current.
TEST_CASE("nothing is admitted after a gap until the view is confirmed", "[idempotency]")
{
    owner_fixture fixture;
    fixture.now += milliseconds{1'001};
    CHECK(fixture.claim(fixture.new_key()) == claim_decision::refused);
    fixture.owner.handle(fixture.now, view_event{1, {{"a", "a#1"}}});
    CHECK(fixture.claim(fixture.new_key()) == claim_decision::admitted);
    fixture.owner.handle(fixture.now, view_event{2, {{"a", "a#2"}}});
    CHECK(fixture.claim(fixture.new_key()) == claim_decision::refused);
}

// Guards against unbounded memory use, and against admitting a key again after its stored answer
// or its record has been dropped.
TEST_CASE("stored answers, keys and retention are bounded", "[idempotency]")
{
    key_owner_settings settings;
    settings.max_total_answer_bytes = 100;
    settings.max_answer_bytes = 60;
    settings.max_keys = 4;
    settings.retention = milliseconds{100'000};
    owner_fixture fixture(settings);
    const std::string first = fixture.new_key();
    const std::string second = fixture.new_key();
    const std::string third = fixture.new_key();
    CHECK(fixture.claim(first) == claim_decision::admitted);
    CHECK(fixture.claim(second) == claim_decision::admitted);
    CHECK(fixture.claim(third) == claim_decision::admitted);
    CHECK(fixture.complete(first, 60).body.size() == 60);
    CHECK(fixture.complete(second, 60).kept);
    CHECK_FALSE(fixture.complete(first, 60).kept);
    CHECK(fixture.complete(first, 60).status == 200);
    CHECK_FALSE(fixture.complete(third, 61).kept);
    CHECK(fixture.owner.answer_bytes() == 60);
    CHECK(fixture.claim(fixture.new_key()) == claim_decision::admitted);
    CHECK(fixture.claim(fixture.new_key()) == claim_decision::refused);
    fixture.advance(101);
    CHECK(fixture.owner.key_count() == 0);
    CHECK(fixture.owner.answer_bytes() == 0);
    CHECK(fixture.claim(first) == claim_decision::may_have_run);
}

// Guards against restarts that lose the record of completed and running requests.
TEST_CASE("written batches are loaded after a restart", "[idempotency]")
{
    owner_fixture fixture;
    const std::string completed = fixture.new_key();
    const std::string running = fixture.new_key();
    CHECK(fixture.claim(completed) == claim_decision::admitted);
    CHECK(fixture.claim(running) == claim_decision::admitted);
    fixture.complete(completed, 5);
    CHECK(fixture.owner.unwritten_count() == 2);
    fixture.advance(11);
    REQUIRE(fixture.written.size() == 1);
    CHECK(fixture.owner.unwritten_count() == 0);
    key_owner restarted({}, "a", "a#2", fixture.now);
    restarted.handle(fixture.now, view_event{2, {{"a", "a#2"}}});
    const std::string row = serialize_claim_batch(fixture.written[0]);
    restarted.handle(fixture.now, batch_loaded_event{parse_claim_batch(row).value()});
    CHECK(decide(restarted, fixture.now, {"a#2", 1, completed, 7, 2}) == claim_decision::completed);
    CHECK(decide(restarted, fixture.now, {"a#2", 1, completed, 8, 2}) == claim_decision::mismatch);
    CHECK(decide(restarted, fixture.now, {"a#2", 1, running, 7, 2}) ==
          claim_decision::may_have_run);
}
