#include "core/base64.hpp"
#include "platform/decode.hpp"
#include "platform/settings.hpp"
#include "platform/store.hpp"

#include <catch2/catch.hpp>
#include <rapidcheck/catch.h>

#include <array>
#include <optional>

using namespace lacewingquay;
using namespace lacewingquay::adapter;

namespace
{

/// The value, or the message of the error.
template <typename Parse>
std::string error_of(Parse parse)
{
    return boost::leaf::try_handle_all(
        [&]() -> boost::leaf::result<std::string>
        {
            BOOST_LEAF_CHECK(parse());
            return std::string();
        },
        [](const input_error& error) { return error.message(); },
        [] { return std::string("other error"); });
}

template <typename Value, typename Parse>
Value value_of(Parse parse)
{
    return boost::leaf::try_handle_all([&]() -> boost::leaf::result<Value> { return parse(); },
                                       [](const input_error& error) -> Value
                                       { throw std::runtime_error(error.message()); },
                                       []() -> Value { throw std::runtime_error("other error"); });
}

constexpr std::string_view server_text =
    R"({"service":"p","address":"10.128.0.9:8080","zone":"z","version":"v1","slots":8,)"
    R"("state":"draining","drain-remaining-ms":1500,"capacity":{"cpu":16000,"mem-mb":32768,)"
    R"("gpu":0},"labels":["a","r1-3"],"machine":"m-1","clock-ms":482113,"born":7,"seq":4})";

constexpr std::string_view job_text =
    R"({"spec":"text","steps":[{"count":4,"cpu":500,"mem-mb":256,"est-duration-ms":900,)"
    R"("data-rack":"r1-3"},{"count":2,"cpu":2000,"long-running":true,"max-per-server":1,)"
    R"("may-miss":1,"after":[0],"checkpoints":true}]})";

constexpr std::string_view report_text =
    R"({"clock-ms":482113,"born":7,"running":[["5c0e7a21d94b36f8.0.1.17",2,"00b",41,7]],)"
    R"("ended":[[58,"5c0e7a21d94b36f8.0.1.9",1,"done",""]]})";

} // namespace

TEST_CASE("a registration is decoded into what its fields hold", "[adapter]")
{
    const worker::server server =
        value_of<worker::server>([] { return parse_server("i-1", server_text); });
    CHECK(server.pool == "p");
    CHECK(server.endpoint.port == 8080);
    CHECK(server.draining);
    CHECK(server.drain_remaining == std::chrono::milliseconds(1'500));
    CHECK(server.rack == "r1-3");
    CHECK(server.machine == "m-1");
    CHECK(server.born == 7);
    CHECK(server.capacity.memory == 32'768);
}

TEST_CASE("registrations of another writer name no server to use", "[adapter]")
{
    for (const std::string_view text :
         {R"({"service":"p"})", R"([])", R"({"service":1,"state":"ready"})", "\xff\x00",
          R"({"service":"p","address":"10.0.0.1:1","state":"unheard","capacity":{},"born":1})",
          R"({"service":"p","address":"nowhere","state":"ready","capacity":{},"born":1})",
          R"({"service":"p","address":"10.0.0.1:1","state":"ready","capacity":{},"born":1.5})"})
    {
        CHECK_FALSE(error_of([&] { return parse_server("i-1", text); }).empty());
    }
}

TEST_CASE("a job is decoded with its steps", "[adapter]")
{
    const job::definition work = value_of<job::definition>([] { return parse_job(job_text); });
    REQUIRE(work.steps.size() == 2);
    CHECK(work.payload == "text");
    CHECK(work.steps[0].count == 4);
    CHECK(work.steps[0].data_rack == "r1-3");
    CHECK(work.steps[0].disruption_budget == -1);
    CHECK(work.steps[1].long_running);
    CHECK(work.steps[1].checkpoints);
    CHECK(work.steps[1].disruption_budget == 1);
    CHECK(work.steps[1].after == std::vector<std::size_t>{0});
}

TEST_CASE("jobs that cannot be run are refused with the field's name", "[adapter]")
{
    CHECK(error_of([] { return parse_job(R"({"spec":"x"})"); }).find("steps") != std::string::npos);
    CHECK(error_of([] { return parse_job(R"({"steps":[{"count":0}]})"); }).find("count") !=
          std::string::npos);
    CHECK(error_of([] { return parse_job(R"({"steps":[{"count":1,"after":[0]}]})"); })
              .find("after") != std::string::npos);
    CHECK_FALSE(error_of([] { return parse_job(R"({"steps":[{"count":1,"cpu":-1}]})"); }).empty());
}

TEST_CASE("a server report is decoded, and a damaged row refuses all of it", "[adapter]")
{
    const worker::report report =
        value_of<worker::report>([] { return parse_report(report_text); });
    REQUIRE(report.running.size() == 1);
    CHECK(report.running[0].task.position == job::task_position{0, 1, 17});
    CHECK(report.running[0].checkpoint == "00b");
    CHECK(report.running[0].percent == 41);
    REQUIRE(report.ended.size() == 1);
    CHECK(report.ended[0].kind == worker::end_kind::done);
    // A report that leaves out one end could make a finished task run again.
    CHECK_FALSE(
        error_of(
            []
            {
                return parse_report(
                    R"({"clock-ms":1,"born":7,"running":[],"ended":[[1,"a.0.0.0",1,"odd",""]]})");
            })
            .empty());
}

TEST_CASE("task names read back as they were written", "[adapter]")
{
    const worker::task_name name{"5c0e7a21d94b36f8", {3, 1, 17}};
    CHECK(task_text(name) == "5c0e7a21d94b36f8.3.1.17");
    CHECK(value_of<worker::task_name>([&] { return parse_task_name(task_text(name)); }) == name);
    for (const std::string_view text : {"", "a", "a.1", "a.1.2", "a.1.2.3.4", "a.1.2.x", ".1.2.3"})
    {
        CHECK_FALSE(error_of([&] { return parse_task_name(text); }).empty());
    }
}

TEST_CASE("no damaged text crashes a decoder", "[adapter]")
{
    rc::prop("one byte changed, or cut",
             []
             {
                 const std::array<std::string_view, 3> texts{server_text, job_text, report_text};
                 std::string text(texts[*rc::gen::inRange<std::size_t>(0, texts.size())]);
                 const std::size_t at = *rc::gen::inRange<std::size_t>(0, text.size());
                 text[at] = *rc::gen::arbitrary<char>();
                 text.resize(*rc::gen::inRange<std::size_t>(at, text.size() + 1));
                 error_of([&] { return parse_server("i", text); });
                 error_of([&] { return parse_job(text); });
                 error_of([&] { return parse_report(text); });
                 error_of([&] { return parse_configuration(text); });
                 error_of([&] { return parse_wave(text); });
                 error_of([&] { return parse_machines(text); });
                 error_of([&] { return parse_settings(text); });
             });
}

TEST_CASE("base64 reads back as it was", "[adapter]")
{
    rc::prop("round trip", [](const std::string& bytes)
             { RC_ASSERT(base64_decode(base64_encode(bytes)) == bytes); });
    CHECK(base64_encode("node-1") == "bm9kZS0x");
    CHECK_FALSE(base64_decode("bm9"));
    CHECK_FALSE(base64_decode("b*9k"));
}

TEST_CASE("settings of the platform are checked", "[adapter]")
{
    CHECK(error_of([] { return parse_settings("{}"); }).find("node") != std::string::npos);
    const std::string text =
        R"({"node":"n","zone":"z","listen":{"front":"10.0.0.1:1","readiness":"10.0.0.1:2"},)"
        R"("platform":{"address":"10.0.0.2:3"},"bounds":{"grace-s":4,"lease-ms":2500}})";
    const manager::settings values =
        value_of<manager::settings>([&] { return parse_settings(text); });
    CHECK(values.stop_grace == std::chrono::milliseconds(4'000));
    CHECK(values.machine_lease == std::chrono::milliseconds(2'500));
    CHECK(values.machines.port == 0);
    CHECK(values.store.port == 3);
    CHECK(values.max_row_bytes == 65'536);
    const auto with_row_bytes = [&](const std::string& bytes)
    {
        const std::string found = R"("address":"10.0.0.2:3")";
        return std::string(text).replace(text.find(found), found.size(),
                                         found + R"(,"row-bytes":)" + bytes);
    };
    CHECK(value_of<manager::settings>([&] { return parse_settings(with_row_bytes("32768")); })
              .max_row_bytes == 32'768);
    for (const std::string bytes : {"100", "-1", "1e30", "\"x\""})
    {
        CHECK(error_of([&] { return parse_settings(with_row_bytes(bytes)); }).find("row-bytes") !=
              std::string::npos);
    }
}

TEST_CASE("a job and its cancellation share a transaction group, the owner's rows have their own",
          "[adapter]")
{
    // A transaction covers one part only, and the owner must not wait behind callers.
    rc::prop("ids",
             []
             {
                 const std::string id =
                     "5c0e7a21d94b36f" +
                     std::string(1, *rc::gen::elementOf(std::string("0123456789abcdefABCDEF")));
                 RC_ASSERT(store::group_of("j/" + id) == store::group_of("c/" + id));
                 RC_ASSERT(store::part_of("jobs", "j/" + id) != store::part_of("owner", "owner"));
                 RC_ASSERT(store::group_of("j/" + id) < store::parts_of("jobs"));
             });
}
