#include "report/burn.hpp"
#include "report/counters.hpp"
#include "report/rows.hpp"

#include <catch2/catch.hpp>
#include <rapidcheck/catch.h>

#include <thread>
#include <vector>

using namespace lacewingquay;
using namespace lacewingquay::report;

namespace
{

request_record record(verdict outcome, std::uint32_t status, int latency_ms)
{
    return {"lookup",       outcome, status, milliseconds{latency_ms}, milliseconds{1'000},
            milliseconds{5}};
}

wall_time at_minute(std::int64_t minute)
{
    return wall_time{std::chrono::minutes{minute}};
}

/// Contents of the platform's table after the writes of `row_buffer`, by key.
using table = std::map<std::string, std::string>;

service_counts sum(const table& rows, std::string_view kind)
{
    service_counts total;
    for (const table::value_type& row : rows)
    {
        const counter_row parsed = parse_counter_row(row.first, row.second).value();
        if (parsed.kind == kind)
        {
            total += parsed.counts.at("lookup");
        }
    }
    return total;
}

} // namespace

// Guards against client errors that count against the availability budget, and against late or
// lost answers that do not.
TEST_CASE("failures and late answers count against the availability budget", "[report]")
{
    CHECK_FALSE(is_bad(record(verdict::completed, 200, 10)));
    CHECK_FALSE(is_bad(record(verdict::completed, 404, 10)));
    CHECK_FALSE(is_bad(record(verdict::not_run, 400, 1)));
    CHECK(is_bad(record(verdict::completed, 500, 10)));
    CHECK(is_bad(record(verdict::completed, 200, 1'001)));
    CHECK(is_bad(record(verdict::not_run, 503, 1)));
    CHECK(is_bad(record(verdict::not_run, 429, 1)));
    CHECK(is_bad(record(verdict::may_have_run, 504, 2'000)));
}

// Guards against counts lost between traffic threads and the control thread.
TEST_CASE("counts from several threads are returned exactly once", "[report]")
{
    request_counters counters;
    const std::vector<std::string> names = {"lookup"};
    counters.set_services(names);
    constexpr int per_thread = 5'000;
    std::vector<std::thread> threads;
    threads.reserve(3);
    for (int i = 0; i < 3; ++i)
    {
        threads.emplace_back(
            [&counters]
            {
                for (int n = 0; n < per_thread; ++n)
                {
                    counters.add(record(verdict::completed, 200, 1));
                }
            });
    }
    service_counts total;
    for (int i = 0; i < 100; ++i)
    {
        counters.set_services(names);
        total += counters.take()["lookup"];
    }
    for (std::thread& thread : threads)
    {
        thread.join();
    }
    counters.set_services({});
    total += counters.take()["lookup"];
    CHECK(total.total == 3 * per_thread);
    CHECK(total.busy_ms == 15 * per_thread);
}

// Guards against counts that are lost or doubled when the platform is unavailable or an answer is
// lost: the sum over all rows must equal what was counted.
TEST_CASE("rows keep all counts during outages", "[report]")
{
    rc::prop("the sum over rows equals what was counted",
             []
             {
                 table rows;
                 service_counts counted;
                 row_buffer buffer("e1#1", {});
                 const std::vector<int> steps =
                     *rc::gen::container<std::vector<int>>(60, rc::gen::inRange(0, 8));
                 std::int64_t minute = 29'000'000;
                 for (const int step : steps)
                 {
                     const service_counts request{1, 1, 0, 0, 1, 7};
                     buffer.add(at_minute(minute), {{"lookup", request}});
                     counted += request;
                     const std::vector<platform::row_write> writes = buffer.pending(3);
                     const bool is_applied = step % 2 == 0;
                     const bool is_answered = step < 4;
                     for (const platform::row_write& write : writes)
                     {
                         if (is_applied)
                         {
                             rows[write.key] = *write.value;
                         }
                     }
                     if (is_applied && is_answered)
                     {
                         buffer.written(writes, at_minute(minute));
                     }
                     minute += step / 3;
                 }
                 for (const platform::row_write& write : buffer.pending(1'000))
                 {
                     rows[write.key] = *write.value;
                 }
                 RC_ASSERT(sum(rows, "burn_minute") == counted);
                 RC_ASSERT(sum(rows, "burn_hour") == counted);
             });
}

// Guards against windows that omit the current period or count a period twice.
TEST_CASE("burn rates over the windows", "[report]")
{
    config::configuration configuration;
    configuration.services["lookup"].slo = 0.99;
    const std::int64_t now = 29'000'045;
    std::vector<counter_row> rows;
    rows.push_back({"burn_minute", now, "e1#1", {{"lookup", {100, 20, 0, 0, 0, 0}}}});
    rows.push_back({"burn_minute", now - 30, "e2#1", {{"lookup", {100, 10, 0, 0, 0, 0}}}});
    rows.push_back({"burn_hour", now / 60, "e1#1", {{"lookup", {100, 20, 0, 0, 0, 0}}}});
    rows.push_back({"burn_hour", now / 60 - 5, "e2#1", {{"lookup", {300, 0, 0, 0, 0, 0}}}});
    rows.push_back({"burn_hour", now / 60 - 80, "e2#1", {{"lookup", {300, 300, 0, 0, 0, 0}}}});
    const std::vector<service_burn> burns = compute_burn(configuration, rows, at_minute(now));
    REQUIRE(burns.size() == 1);
    CHECK(burns[0].windows[0].rate == Approx(20.0));
    CHECK(burns[0].windows[1].rate == Approx(15.0));
    CHECK(burns[0].windows[2].rate == Approx(5.0));
    CHECK(burns[0].windows[3].rate == Approx(5.0));
    CHECK(burns[0].alarm == "fast_burn");
}

// Guards against a damaged row that makes the whole report fail.
TEST_CASE("malformed rows are refused with an error", "[report]")
{
    CHECK_FALSE(parse_counter_row("burn_minute/1", "{}"));
    CHECK_FALSE(parse_counter_row("burn_minute/x/e1#1", R"({"services":{}})"));
    CHECK_FALSE(parse_counter_row("burn_minute/1/e1#1", "not JSON"));
    CHECK_FALSE(parse_counter_row("burn_minute/1/e1#1", R"({"services":{"a":{"total":-1}}})"));
}
