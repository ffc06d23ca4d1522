#include "traffic/traffic_fixture.hpp"

#include <catch2/catch.hpp>
#include <rapidcheck/catch.h>

#include <string>
#include <vector>

using namespace lacewingquay;
using lacewingquay::test::traffic_fixture;
using standins::backend_fault_kind;
using traffic::slot_outcome;

namespace
{

std::string header(const http::exchange_result& result, const char* name)
{
    return result.answer ? std::string((*result.answer)[name]) : std::string("no answer");
}

/// True if the verdict in the answer agrees with the backend servers' journals.
bool is_right_verdict(const http::exchange_result& result, std::uint64_t starts)
{
    const std::string reported = header(result, "Lacewingquay-Verdict");
    return reported == "not-run"     ? starts == 0
           : reported == "completed" ? starts > 0
                                     : reported == "may-have-run";
}

struct fault_case
{
    backend_fault_kind fault;
    bool is_post;
    unsigned status;
    const char* verdict;
    std::uint64_t starts;
    std::vector<slot_outcome> outcomes;
};

} // namespace

// Guards against wrong verdicts, repeated non-idempotent requests, missing retries of idempotent
// ones, and slots released with an outcome that frees them while the request may still run.
TEST_CASE("each fault of a backend server gives the right verdict", "[traffic]")
{
    const slot_outcome failed = slot_outcome::failed;
    const slot_outcome abandoned = slot_outcome::abandoned;
    const slot_outcome succeeded = slot_outcome::succeeded;
    const std::vector<fault_case> cases = {
        {backend_fault_kind::none, true, 200, "completed", 1, {succeeded}},
        {backend_fault_kind::slow, true, 200, "completed", 1, {succeeded}},
        {backend_fault_kind::error, true, 500, "completed", 1, {failed}},
        {backend_fault_kind::surplus, true, 200, "completed", 1, {succeeded}},
        {backend_fault_kind::refuse, true, 503, "not-run", 0, {failed, failed}},
        {backend_fault_kind::refuse, false, 503, "not-run", 0, {failed, failed}},
        {backend_fault_kind::close_mid_answer, true, 502, "may-have-run", 1, {failed}},
        {backend_fault_kind::close_mid_answer, false, 502, "may-have-run", 2, {failed, failed}},
        {backend_fault_kind::wrong_id, true, 502, "may-have-run", 1, {abandoned}},
        {backend_fault_kind::wrong_id, false, 502, "may-have-run", 2, {abandoned, abandoned}},
        {backend_fault_kind::short_answer, true, 504, "may-have-run", 1, {abandoned}},
        {backend_fault_kind::late_answer, true, 504, "may-have-run", 1, {abandoned}},
        {backend_fault_kind::late_answer, false, 502, "may-have-run", 2, {abandoned, abandoned}},
        {backend_fault_kind::freeze, true, 504, "may-have-run", 1, {abandoned}},
    };
    for (const fault_case& expected : cases)
    {
        traffic_fixture fixture(2);
        fixture.set_fault(expected.fault);
        CAPTURE(static_cast<int>(expected.fault), expected.is_post);
        const http::exchange_result result =
            fixture.send(expected.is_post ? http::method::post : http::method::get, "/shop/x",
                         {{"Lacewingquay-Request-Id", "r1"}});
        CHECK(result.answer->result_int() == expected.status);
        CHECK(header(result, "Lacewingquay-Verdict") == expected.verdict);
        CHECK(header(result, "Lacewingquay-Request-Id") == "r1");
        CHECK(header(result, "Retry-After").empty() == (expected.status != 503));
        CHECK(fixture.starts_of("r1") == expected.starts);
        CHECK(fixture.slots.outcomes == expected.outcomes);
        CHECK(fixture.slots.outstanding.empty());
        CHECK(fixture.slots.double_releases == 0);
        CHECK(fixture.observer.requests == 1);
        CHECK(fixture.observer.within_target == (expected.status == 200 ? 1 : 0));
        const bool is_complete = expected.status == 200;
        CHECK(load::is_whole_answer(result.answer->body(), "r1") == is_complete);
    }
}

// Guards against wrong verdicts, mixed or truncated answers and repeated non-idempotent requests
// when intermittent faults occur on reused connections.
TEST_CASE("verdicts and answers are right under random faults", "[traffic]")
{
    rc::prop("journal agrees with every verdict",
             []
             {
                 traffic_fixture fixture(3);
                 fixture.set_snapshot(std::chrono::milliseconds{60});
                 const std::vector<std::pair<std::uint8_t, bool>> plan =
                     *rc::gen::container<std::vector<std::pair<std::uint8_t, bool>>>(
                         24, rc::gen::pair(rc::gen::inRange<std::uint8_t>(0, 10),
                                           rc::gen::arbitrary<bool>()));
                 std::vector<std::future<http::exchange_result>> pending;
                 for (std::size_t i = 0; i < plan.size(); ++i)
                 {
                     fixture.servers[i % 3]->set_fault(
                         {static_cast<backend_fault_kind>(plan[i].first), 10.0, 0.7});
                     http::request message = http::make_request(
                         plan[i].second ? http::method::post : http::method::get, "/shop/x", "");
                     message.set("Lacewingquay-Request-Id", "r" + std::to_string(i));
                     pending.push_back(boost::asio::co_spawn(fixture.pool.context(),
                                                             fixture.exchange(std::move(message)),
                                                             boost::asio::use_future));
                     if (i % 4 == 3)
                     {
                         pending.back().wait();
                     }
                 }
                 for (std::size_t i = 0; i < plan.size(); ++i)
                 {
                     const http::exchange_result result = pending[i].get();
                     const std::string id = "r" + std::to_string(i);
                     RC_ASSERT(result.answer.has_value());
                     RC_ASSERT(is_right_verdict(result, fixture.starts_of(id)));
                     RC_ASSERT(!plan[i].second || fixture.starts_of(id) <= 1);
                     RC_ASSERT(result.answer->result_int() != 200 ||
                               load::is_whole_answer(result.answer->body(), id));
                 }
                 RC_ASSERT(fixture.slots.outstanding.empty());
                 RC_ASSERT(fixture.slots.double_releases == 0);
                 RC_ASSERT(fixture.observer.requests == static_cast<int>(plan.size()));
             });
}

// Guards against using a grant after its start window, when the dispatcher may have granted the
// slot to another request.
TEST_CASE("a request whose latest start has passed is not run", "[traffic]")
{
    traffic_fixture fixture(2);
    fixture.slots.start_window = std::chrono::milliseconds{-1};
    const http::exchange_result result =
        fixture.send(http::method::post, "/shop/x", {{"Lacewingquay-Request-Id", "r1"}});
    CHECK(result.answer->result_int() == 503);
    CHECK(header(result, "Lacewingquay-Verdict") == "not-run");
    CHECK(fixture.starts_of("r1") == 0);
    for (const slot_outcome outcome : fixture.slots.outcomes)
    {
        CHECK(outcome == slot_outcome::unused);
    }
}

// Guards against invalid requests that reach a backend server, and against refusals without a
// verdict.
TEST_CASE("bad requests are refused as not run", "[traffic]")
{
    traffic_fixture fixture(1);
    struct bad_case
    {
        const char* target;
        std::vector<std::pair<const char*, std::string>> headers;
        unsigned status;
    };
    const std::vector<bad_case> cases = {
        {"/nothing/x", {}, 404},
        {"/", {}, 404},
        {"shop/x", {}, 400},
        {"/shop/x", {{"Lacewingquay-Deadline-Ms", "soon"}}, 400},
        {"/shop/x", {{"Lacewingquay-Deadline-Ms", "0"}}, 400},
        {"/shop/x", {{"Lacewingquay-Deadline-Ms", "5"}, {"Lacewingquay-Deadline-Ms", "5"}}, 400},
        {"/shop/x", {{"Lacewingquay-Priority", "high"}}, 400},
        {"/shop/x", {{"Lacewingquay-Request-Id", "a b"}}, 400},
        {"/shop/x", {{"Idempotency-Key", "k1"}, {"Idempotency-Key", "k2"}}, 400},
        {"/shop/x", {{"Transfer-Encoding", "gzip, chunked"}}, 400},
        {"/shop/x", {{"X-Large", std::string(20'000, 'x')}}, 431},
    };
    for (const bad_case& bad : cases)
    {
        http::request message = http::make_request(http::method::get, bad.target, "");
        for (const std::pair<const char*, std::string>& line : bad.headers)
        {
            message.insert(line.first, line.second);
        }
        const http::exchange_result result = fixture.send(message);
        CAPTURE(bad.target, bad.headers.empty() ? "" : bad.headers.front().first);
        REQUIRE(result.answer);
        CHECK(result.answer->result_int() == bad.status);
        CHECK(header(result, "Lacewingquay-Verdict") == "not-run");
    }
    const http::exchange_result large = fixture.send(
        http::make_request(http::method::post, "/shop/x", std::string(2U << 20U, 'x')));
    CHECK(large.answer->result_int() == 413);
    CHECK(fixture.servers[0]->journal().counts().started == 0);
}

// Guards against an answer that contradicts the key owner's decision, and against a lost outcome
// report of an admitted request.
TEST_CASE("requests with a key follow the owner's decision", "[traffic]")
{
    using idempotency::claim_decision;
    struct key_case
    {
        claim_decision decision;
        bool kept;
        unsigned status;
        const char* verdict;
        std::uint64_t starts;
    };
    const std::vector<key_case> cases = {
        {claim_decision::refused, false, 503, "not-run", 0},
        {claim_decision::admitted, false, 200, "completed", 1},
        {claim_decision::in_progress, false, 503, "not-run", 0},
        {claim_decision::completed, true, 201, "completed", 0},
        {claim_decision::completed, false, 409, "completed", 0},
        {claim_decision::may_have_run, false, 502, "may-have-run", 0},
        {claim_decision::mismatch, false, 400, "not-run", 0},
        {claim_decision::invalid, false, 400, "not-run", 0},
    };
    for (const key_case& expected : cases)
    {
        traffic_fixture fixture(1);
        fixture.keys.answer = {expected.decision, {201, "text/plain", "kept", expected.kept}};
        const http::exchange_result result =
            fixture.send(http::method::post, "/shop/x",
                         {{"Lacewingquay-Request-Id", "r1"}, {"Idempotency-Key", "k"}});
        CAPTURE(static_cast<int>(expected.decision));
        CHECK(result.answer->result_int() == expected.status);
        CHECK(header(result, "Lacewingquay-Verdict") == expected.verdict);
        CHECK(fixture.starts_of("r1") == expected.starts);
        CHECK((result.answer->body() == "kept") == (expected.status == 201));
        REQUIRE(fixture.keys.reports.size() == expected.starts);
        CHECK((expected.starts == 0 || fixture.keys.reports[0].second == verdict::completed));
        CHECK((expected.starts == 0 || fixture.keys.last_stored.kept));
    }
}

// Guards against retries that multiply the load on failing backend servers.
TEST_CASE("retries stay within their budget", "[traffic]")
{
    traffic_fixture fixture(2);
    fixture.set_fault(backend_fault_kind::refuse);
    for (int i = 0; i < 200; ++i)
    {
        fixture.send(http::method::get, "/shop/x", {});
    }
    CHECK(fixture.slots.last_grant <= 200 + 200 / 10 + 10);
    CHECK(fixture.slots.last_grant >= 200 + 10);
}

// Guards against refusals that callers cannot distinguish from failures, and against a wrong "not
// run" when a retry gets no slot.
TEST_CASE("refused slots give the right status and verdict", "[traffic]")
{
    traffic_fixture fixture(0);
    fixture.slots.refusal_reason = "overload";
    const http::exchange_result refused = fixture.send(http::method::get, "/shop/x", {});
    CHECK(refused.answer->result_int() == 429);
    CHECK(header(refused, "Retry-After") == "1");
    CHECK(header(refused, "Lacewingquay-Verdict") == "not-run");
    traffic_fixture other_fixture(1);
    other_fixture.set_fault(backend_fault_kind::close_mid_answer);
    const http::exchange_result failed = other_fixture.send(http::method::get, "/shop/x", {});
    CHECK(header(failed, "Lacewingquay-Verdict") == "may-have-run");
}

// Guards against a verdict other than "not run" for a backend server that cannot be reached.
TEST_CASE("an unreachable backend server gives not run", "[traffic]")
{
    traffic_fixture fixture(1);
    fixture.slots.hosts.insert(fixture.slots.hosts.begin(), {"closed", {"127.0.0.1", 1}});
    const http::exchange_result retried = fixture.send(http::method::post, "/shop/x", {});
    CHECK(retried.answer->result_int() == 200);
    fixture.slots.hosts.pop_back();
    const http::exchange_result refused = fixture.send(http::method::post, "/shop/x", {});
    CHECK(refused.answer->result_int() == 503);
    CHECK(header(refused, "Lacewingquay-Verdict") == "not-run");
}

// Guards against data races between traffic threads and snapshot updates, and against idle
// connections beyond the cap.
TEST_CASE("concurrent requests reuse connections below the cap", "[traffic]")
{
    traffic_fixture fixture(2, 4);
    fixture.backends.set_idle_cap(3);
    std::vector<std::future<http::exchange_result>> pending;
    for (int i = 0; i < 200; ++i)
    {
        pending.push_back(boost::asio::co_spawn(
            fixture.pool.context(),
            fixture.exchange(http::make_request(http::method::get, "/shop/x", "")),
            boost::asio::use_future));
        if (i % 20 == 19)
        {
            pending.back().wait();
            fixture.set_snapshot(std::chrono::milliseconds{2'000});
        }
    }
    for (std::future<http::exchange_result>& pending_result : pending)
    {
        CHECK(pending_result.get().answer->result_int() == 200);
    }
    CHECK(fixture.backends.idle_connections(fixture.servers[0]->where()) <= 3);
    CHECK(fixture.backends.idle_connections(fixture.servers[0]->where()) >= 1);
    fixture.backends.set_idle_cap(0);
    fixture.backends.close_idle();
    CHECK(fixture.backends.idle_connections(fixture.servers[0]->where()) == 0);
}
