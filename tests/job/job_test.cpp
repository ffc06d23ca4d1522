#include "job/progress.hpp"
#include "job/record_text.hpp"

#include <catch2/catch.hpp>
#include <rapidcheck/catch.h>

using namespace lacewingquay;
using namespace lacewingquay::job;

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

std::string any_text()
{
    const std::vector<std::string> samples{"",      "-",      "i-7f3a91c2", "step=1\nrun=2",
                                           "a b/c", "\n",     "\r",         "%0A",
                                           "@m",    "\"\\\t", "\xff",       std::string(1, '\0')};
    return *rc::gen::oneOf(rc::gen::elementOf(samples), rc::gen::arbitrary<std::string>());
}

progress any_progress()
{
    progress value;
    value.reported_state = static_cast<state>(*rc::gen::inRange(0, 5));
    value.ended = milliseconds(*rc::gen::inRange(0, 1'000'000));
    value.begun = *rc::gen::arbitrary<bool>();
    const int count = *rc::gen::inRange(0, 20);
    for (int index = 0; index < count; ++index)
    {
        task_progress task;
        task.position = {*rc::gen::inRange(0, 5), *rc::gen::inRange(0, 5), index};
        task.done = *rc::gen::arbitrary<bool>();
        task.run = *rc::gen::inRange(0, 100);
        task.failures = *rc::gen::inRange(0, 4);
        task.failed_run = *rc::gen::inRange(0, 100);
        task.server = *rc::gen::arbitrary<bool>() ? "i-7f3a91c2" : "";
        task.server_born = *rc::gen::inRange<std::int64_t>(0, 2'000'000'000'000);
        task.checkpoint = *rc::gen::arbitrary<bool>() ? "00000bb87a21d94b" : "";
        if (*rc::gen::arbitrary<bool>())
        {
            task.crashes.crashes = *rc::gen::inRange(0, 4);
            task.crashes.crashed_run = *rc::gen::inRange(0, 100);
            task.crashes.suspect = *rc::gen::arbitrary<bool>();
            const int suspicions = *rc::gen::inRange(0, 4);
            for (int number = 0; number < suspicions; ++number)
            {
                suspected_crash crash;
                crash.run = *rc::gen::inRange(1, 100);
                crash.at_start = *rc::gen::arbitrary<bool>();
                crash.alone = *rc::gen::arbitrary<bool>();
                crash.machine = *rc::gen::arbitrary<bool>() ? "m-17" : "";
                crash.server = *rc::gen::arbitrary<bool>() ? "i-7f3a91c2" : "";
                crash.born = *rc::gen::inRange<std::int64_t>(0, 2'000'000'000'000);
                task.crashes.suspicions.push_back(crash);
            }
        }
        task.machine = *rc::gen::arbitrary<bool>() ? "m-18" : "";
        value.tasks.push_back(task);
    }
    return value;
}

} // namespace

TEST_CASE("stored progress survives a round trip", "[job]")
{
    rc::prop("round trip",
             []
             {
                 const progress value = any_progress();
                 const std::string text = serialize_progress(value);
                 RC_ASSERT(parsed<progress>([&] { return parse_progress(text); }) == value);
                 RC_ASSERT(parsed<state>([&] { return parse_progress_state(text); }) ==
                           value.reported_state);
             });
}

TEST_CASE("no text of a task makes stored progress unreadable", "[job]")
{
    rc::prop("round trip of any bytes",
             []
             {
                 progress value = any_progress();
                 for (task_progress& task : value.tasks)
                 {
                     task.server = any_text();
                     task.machine = any_text();
                     task.checkpoint = any_text();
                     for (suspected_crash& crash : task.crashes.suspicions)
                     {
                         crash.machine = any_text();
                         crash.server = any_text();
                     }
                 }
                 const std::string text = serialize_progress(value);
                 RC_ASSERT(parsed<progress>([&] { return parse_progress(text); }) == value);
             });
}

TEST_CASE("a line feed that an earlier version stored in a checkpoint is read as part of it",
          "[job]")
{
    const std::optional<progress> value = parsed<progress>(
        []
        {
            return parse_progress("running 0 1\n0.0.0 1 1 0 0 - 0 -\n"
                                  "0.1.0 0 2 0 0 i-7f 1700 step=a\nrun=1\n\n"
                                  "0.1.1 0 1 0 0 i-7f 1700 %0A");
        });
    REQUIRE(value);
    REQUIRE(value->tasks.size() == 3);
    CHECK(value->tasks[0].done);
    CHECK(value->tasks[1].checkpoint == "step=a\nrun=1\n");
    CHECK(value->tasks[2].checkpoint == "%0A");
    for (const std::string_view damaged : {"0.0.0 1 1 0 0 - 0 -\n0.1.0", "run=1",
                                           "%0.1.0 0 2 0 0 - 0 %4", "%0.1.0 0 2 0 0 - 0 a\nb"})
    {
        CAPTURE(damaged);
        CHECK_FALSE(parsed<std::vector<task_progress>>([&] { return parse_tasks(damaged); }));
    }
}

TEST_CASE("progress stored by an earlier version shows a job as begun only if its tasks prove it",
          "[job]")
{
    const auto begun = [](const std::string& text)
    {
        const std::optional<progress> read = parsed<progress>([&] { return parse_progress(text); });
        REQUIRE(read);
        return read->begun;
    };
    CHECK_FALSE(begun("queued 0"));
    CHECK_FALSE(begun("running 0\n0.0.0 0 1 0 0 i-1 5 -"));
    CHECK(begun("running 0\n0.0.0 1 1 0 0 - 0 -"));
    CHECK(begun("running 0\n0.0.0 0 2 1 1 i-1 5 -"));
    CHECK(begun("running 0\n0.0.0 0 2 0 0 i-1 5 00ab"));
    CHECK_FALSE(parsed<progress>([] { return parse_progress("running 0 x"); }));
}

TEST_CASE("progress that was stored without crashes is still read", "[job]")
{
    const std::optional<progress> value =
        parsed<progress>([] { return parse_progress("running 0\n0.0.1 0 2 0 0 i-7f 1700 check"); });
    REQUIRE(value);
    CHECK(value->tasks.front().server_born == 1'700);
    CHECK(value->tasks.front().checkpoint == "check");
    CHECK(value->tasks.front().crashes == crash_history{});
    CHECK_FALSE(parsed<progress>(
        [] { return parse_progress("running 0\n0.0.1 0 2 0 0 i-7f 1700/1 check"); }));
}

TEST_CASE("a crash that an earlier version stored as suspected is still read", "[job]")
{
    const std::optional<progress> value = parsed<progress>(
        []
        { return parse_progress("running 0 1\n0.0.1 0 2 0 0 i-7f 1700/1/1/1/2/1/0/m-17 check"); });
    REQUIRE(value);
    const crash_history& crashes = value->tasks.front().crashes;
    CHECK(crashes.crashes == 1);
    CHECK(crashes.crashed_run == 1);
    CHECK(crashes.suspect);
    REQUIRE(crashes.suspicions.size() == 1);
    CHECK(crashes.suspicions.front() == suspected_crash{2, true, false, "m-17", "", 0});
    CHECK(value->tasks.front().checkpoint == "check");
    const std::optional<progress> none = parsed<progress>(
        [] { return parse_progress("running 0 1\n0.0.1 0 2 0 0 i-7f 1700/1/1/0/0/0/0/- -"); });
    REQUIRE(none);
    CHECK(none->tasks.front().crashes == crash_history{1, 1, false, {}});
    for (const std::string_view cut : {"1700/1/1/1", "1700/1/1/1/2/1/0", "1700/1/1/1/2/1/0/m/5",
                                       "1700/1/1/1/2/1/0/m/5/s/3", "1700/1/1/1/2/1/0/m/x/s"})
    {
        CAPTURE(cut);
        const std::string text = "running 0 1\n0.0.1 0 2 0 0 i-7f " + std::string(cut) + " -";
        CHECK_FALSE(parsed<progress>([&] { return parse_progress(text); }));
    }
}

TEST_CASE("corrupt progress is rejected or parsed, but never crashes the parser", "[job]")
{
    rc::prop("random bytes",
             []
             {
                 std::string text = serialize_progress(any_progress());
                 const std::size_t at = *rc::gen::inRange<std::size_t>(0, text.size());
                 text[at] = *rc::gen::arbitrary<char>();
                 parsed<progress>([&] { return parse_progress(text); });
                 const std::string random_text = *rc::gen::arbitrary<std::string>();
                 parsed<progress>([&] { return parse_progress(random_text); });
             });
    CHECK_FALSE(parsed<progress>([] { return parse_progress(""); }));
    CHECK_FALSE(parsed<progress>([] { return parse_progress("running 0\n0.0 1"); }));
}

TEST_CASE("a stored job keeps its queue and its body", "[job]")
{
    record_header header;
    header.source_queue.host = "a.example";
    header.source_queue.prefix = "/q/";
    header.source_queue.name = "a.example/q/";
    header.source_queue.pool = "pool";
    header.source_queue.priority = 1;
    header.source_queue.max_attempts = 4;
    header.source_queue.stretch = 1.6;
    header.source_queue.objective = milliseconds(600);
    header.accepted = milliseconds(123'456);
    const std::string body = "{\"spec\":\"a\nb\"}";
    const std::string text = serialize_record(header, body);
    const std::optional<parsed_record> read =
        parsed<parsed_record>([&] { return parse_record(text); });
    REQUIRE(read);
    CHECK(read->body == body);
    CHECK(read->header.source_queue.name == header.source_queue.name);
    CHECK(read->header.source_queue.pool == "pool");
    CHECK(read->header.source_queue.max_attempts == 4);
    CHECK(read->header.source_queue.stretch == Approx(1.6));
    CHECK(read->header.accepted == header.accepted);
    CHECK_FALSE(parsed<parsed_record>([] { return parse_record("no head"); }));
    CHECK_FALSE(parsed<parsed_record>([] { return parse_record("{}\n{}"); }));
}

TEST_CASE("a cancellation names its time, and one without a time can be read", "[job]")
{
    using cancellation = std::optional<std::chrono::milliseconds>;
    const std::string text = serialize_cancellation(std::chrono::milliseconds(1'234));
    const std::optional<cancellation> read =
        parsed<cancellation>([&] { return parse_cancellation(text); });
    REQUIRE(read);
    CHECK(*read == std::chrono::milliseconds(1'234));
    const std::optional<cancellation> unnamed =
        parsed<cancellation>([] { return parse_cancellation("{}"); });
    REQUIRE(unnamed);
    CHECK_FALSE(*unnamed);
    for (const std::string_view damaged :
         {"", "[]", R"({"cancelled_ms":"soon"})", R"({"cancelled_ms":-1})"})
    {
        CHECK_FALSE(parsed<cancellation>([&] { return parse_cancellation(damaged); }));
    }
}
