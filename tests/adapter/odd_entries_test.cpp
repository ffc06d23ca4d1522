#include "job/progress.hpp"
#include "job/record_text.hpp"
#include "platform/decode.hpp"
#include "scheduler/admission.hpp"
#include "scheduler/scheduler.hpp"

#include <catch2/catch.hpp>
#include <rapidcheck/catch.h>

#include <optional>
#include <string>
#include <vector>

using namespace lacewingquay;
using namespace lacewingquay::adapter;

/// Entries of lists that another writer has left, or that are damaged.
namespace
{

template <typename Value, typename Parse>
std::optional<Value> parsed(Parse parse)
{
    return boost::leaf::try_handle_all(
        [&]() -> boost::leaf::result<std::optional<Value>>
        {
            BOOST_LEAF_AUTO(value, parse());
            return std::optional<Value>(std::move(value));
        },
        [] { return std::optional<Value>(); });
}

std::string any_odd_value()
{
    static const std::vector<std::string> values{
        "0",
        "-1",
        "1",
        "9223372036854775807",
        "-9223372036854775808",
        "18446744073709551615",
        "123456789012345678901234567890",
        "1e300",
        "-1e300",
        "1e999",
        "0.5",
        "4000000000000",
        "1000000000",
        "true",
        "null",
        "{}",
        "[]",
        R"("")",
        R"("-")",
        R"("text")",
        std::string(20'000, '[') + std::string(20'000, ']'),
        "\"\xff\xfe\"",
    };
    return *rc::gen::elementOf(values);
}

/// Returns `text` with the value of one of the fields replaced.
std::string replace_field(std::string text, const std::vector<std::string>& fields)
{
    const std::string field = "\"" + *rc::gen::elementOf(fields) + "\":";
    const std::size_t at = text.find(field);
    RC_ASSERT(at != std::string::npos);
    const std::size_t begin = at + field.size();
    const std::size_t end =
        text[begin] == '"' ? text.find('"', begin + 1) + 1 : text.find_first_of(",}]", begin);
    return text.replace(begin, end - begin, any_odd_value());
}

std::string server_text(const std::string& machine)
{
    return R"({"service":"pool","address":"10.128.0.9:8080","zone":"z","state":"ready",)"
           R"("drain-remaining-ms":0,"capacity":{"cpu":8000,"mem-mb":16000,"gpu":0},)"
           R"("labels":["a","r1"],"machine":")" +
           machine + R"(","clock-ms":1000,"born":1700000000000})";
}

constexpr std::string_view job_text =
    R"({"spec":"x","steps":[{"count":2,"cpu":500,"mem-mb":256,"gpu":0,"est-duration-ms":900,)"
    R"("max-per-server":1,"target-ms":5,"may-miss":1},{"count":1,"cpu":1,"after":[0]}],)"
    R"("times":0,"interval-ms":5,"start-at-ms":7})";

job::record make_record(const std::string& id, std::string_view text)
{
    job::record record;
    record.id = id;
    record.queue.pool = "pool";
    const std::optional<job::definition> work =
        parsed<job::definition>([&] { return parse_job(text); });
    record.work = work.value_or(job::definition{});
    return record;
}

} // namespace

TEST_CASE("an odd registration keeps no task from the other servers", "[adapter]")
{
    // Guards against a host that ends, or does not follow the list any more, because of one entry.
    rc::prop(
        "one odd field",
        []
        {
            const std::string text = replace_field(
                server_text("m9"), {"service", "address", "zone", "state", "cpu", "mem-mb", "gpu",
                                    "machine", "clock-ms", "born", "labels"});
            scheduler::scheduler owner{scheduler::settings{}};
            steady_time now{std::chrono::hours(1)};
            const std::optional<worker::server> odd =
                parsed<worker::server>([&] { return parse_server("i-odd", text); });
            const std::optional<worker::server> good =
                parsed<worker::server>([] { return parse_server("i-good", server_text("m1")); });
            RC_ASSERT(good);
            if (odd)
            {
                owner.update_server(*odd, now);
                owner.grant_lease(*owner.find_server("i-odd"), now);
            }
            owner.update_server(*good, now);
            owner.add_job(make_record("0000000000000001", job_text), nullptr, milliseconds(0), now);
            const scheduler::batch work = owner.prepare(now, 10);
            RC_ASSERT(std::any_of(work.starts.begin(), work.starts.end(),
                                  [](const worker::start_order& order)
                                  { return order.server == "i-good"; }));
            for (const auto& load : owner.pool_loads())
            {
                RC_ASSERT((load.first != "pool" || load.second.capacity.cpu >= 8'000));
            }
            owner.advance(now + milliseconds(100), wall_time{}, milliseconds(1));
        });
}

TEST_CASE("a registration with a later start than any clock shows does not replace a live server",
          "[adapter]")
{
    std::string text = server_text("m1");
    const std::string born = "1700000000000";
    text.replace(text.find(born), born.size(), "9223372036854775807");
    CHECK_FALSE(parsed<worker::server>([&] { return parse_server("i-odd", text); }));
}

TEST_CASE("a server whose id would damage a progress row is not used", "[adapter]")
{
    // Guards against stored progress that the next owner cannot read, so that all tasks run again.
    for (const std::string id : {"", "-", "a b", "a\nb", "a\rb", "\xff", "a\tb"})
    {
        CHECK_FALSE(parsed<worker::server>([&] { return parse_server(id, server_text("m1")); }));
    }
    CHECK_FALSE(parsed<worker::server>(
        [] { return parse_server(std::string(201, 'a'), server_text("m1")); }));
    CHECK_FALSE(parsed<worker::server>(
        [] { return parse_server("i-7f", server_text(std::string(60'000, 'm'))); }));
    CHECK(parsed<worker::server>([] { return parse_server("i-7f", server_text("m1")); }));
}

TEST_CASE("a job with odd numbers is refused, or is planned beside others", "[adapter]")
{
    rc::prop(
        "one odd field",
        []
        {
            const std::string text =
                replace_field(std::string(job_text),
                              {"count", "cpu", "mem-mb", "gpu", "est-duration-ms", "max-per-server",
                               "target-ms", "may-miss", "times", "interval-ms", "start-at-ms"});
            const std::optional<job::definition> work =
                parsed<job::definition>([&] { return parse_job(text); });
            if (!work)
            {
                return;
            }
            scheduler::admission_control admission{scheduler::admission_settings{}};
            scheduler::queue_load load;
            load.cpu = 1;
            load.drain = milliseconds(1'000'000);
            load.useful_drain = load.drain;
            steady_time now{std::chrono::hours(1)};
            job::queue queue;
            queue.stretch = 1'000.0;
            RC_ASSERT(admission.decide(*work, queue, load, 3, now).retry_after >= milliseconds(0));
            scheduler::scheduler owner{scheduler::settings{}};
            owner.update_server(
                *parsed<worker::server>([] { return parse_server("i-1", server_text("m1")); }),
                now);
            job::record odd = make_record("0000000000000001", text);
            odd.queue.stretch = 1'000.0;
            owner.add_job(std::move(odd), nullptr, milliseconds(0), now);
            owner.add_job(make_record("0000000000000002", job_text), nullptr, milliseconds(0), now);
            owner.advance(now, wall_time{}, milliseconds(1));
            const scheduler::batch planned = owner.prepare(now, 10);
            RC_ASSERT(std::any_of(planned.starts.begin(), planned.starts.end(),
                                  [](const worker::start_order& order)
                                  { return order.task.job == "0000000000000002"; }));
            RC_ASSERT(owner.load(now).waiting.size() <= 2);
            RC_ASSERT(owner.pool_loads().at("pool").waiting.cpu >= 0);
        });
}

TEST_CASE("a job of a queue with odd settings can be read back from its record", "[adapter]")
{
    // Guards against accepted jobs that no owner can read.
    rc::prop("one odd field",
             []
             {
                 const std::string text = replace_field(
                     R"({"version":7,"services":[],"routes":[{"host":"h","prefix":"/q/",)"
                     R"("service":"pool","priority":0,"max-attempts":4,"stretch":1.6,)"
                     R"("target-completion-ms":600}]})",
                     {"priority", "max-attempts", "stretch", "target-completion-ms"});
                 const std::optional<manager::configuration> read =
                     parsed<manager::configuration>([&] { return parse_configuration(text); });
                 if (!read)
                 {
                     return;
                 }
                 RC_ASSERT(read->queues.size() == 1);
                 const std::string stored =
                     job::serialize_record({read->queues.front(), milliseconds(5)}, job_text);
                 RC_ASSERT(parsed<job::parsed_record>([&] { return job::parse_record(stored); }));
             });
}

TEST_CASE("odd fields of reports, waves and machine lists are refused or bounded", "[adapter]")
{
    rc::prop("one odd field",
             []
             {
                 const std::string value = any_odd_value();
                 const std::optional<worker::report> report = parsed<worker::report>(
                     [&]
                     {
                         return parse_report(R"({"clock-ms":1,"born":7,"running":[["a.0.0.0",)" +
                                             value + R"(,"",)" + value +
                                             R"(]],"ended":[[1,"a.0.0.1",)" + value +
                                             R"(,"done",""]]})");
                     });
                 if (report)
                 {
                     const worker::running_task& running = report->running.front();
                     RC_ASSERT(running.run >= 0);
                     RC_ASSERT(running.percent >= 0);
                     RC_ASSERT(running.percent <= 100);
                     RC_ASSERT(report->ended.front().run >= 0);
                 }
                 const std::optional<fleet::wave> wave = parsed<fleet::wave>(
                     [&]
                     {
                         return parse_wave(R"({"wave":1,"machines":["m1"],"duration-s":)" + value +
                                           R"(,"cap":)" + value + "}");
                     });
                 if (wave)
                 {
                     RC_ASSERT(wave->duration >= milliseconds(0));
                     RC_ASSERT(wave->max_away >= 1);
                 }
             });
    const std::optional<machine_page> page = parsed<machine_page>(
        []
        {
            return parse_machines(
                R"({"machines":[5,{"machine":"m1","pool":"p","state":"up"},{"machine":7}]})");
        });
    REQUIRE(page);
    // One odd entry does not hide the other machines.
    REQUIRE(page->machines.size() == 1);
    CHECK(page->machines.front().name == "m1");
}
