#include "core/base64.hpp"
#include "http/server.hpp"
#include "job/record_text.hpp"
#include "manager/job_api.hpp"
#include "platform/loopback.hpp"

#include <boost/json.hpp>
#include <catch2/catch.hpp>

#include <functional>
#include <memory>
#include <string>
#include <vector>

using namespace lacewingquay;
using namespace lacewingquay::manager;

namespace
{

/// The store cuts off an answer of a feed behind this many rows.
constexpr std::size_t max_feed_rows = 500;

const job::queue tested_queue{"h/q/", "h", "/q/", "pool"};

/// An in-memory store with the reads that counts of waiting jobs need.
class fake_store
{
public:
    /// Feeds that start before this version are refused.
    std::int64_t oldest_history = 0;
    bool answers_feeds = true;
    bool answers_reads = true;
    int feeds = 0;
    int reads = 0;
    milliseconds now{20'000};
    /// Time until an answer.
    milliseconds delay{0};
    std::function<void()> before_feed = [] {
    };

    void write(const std::string& table, const std::string& key, const std::string& value)
    {
        rows_.push_back({table, key, value, ++version_});
    }

    void add_job(const std::string& id)
    {
        write("jobs", "j/" + id, job::serialize_record({tested_queue, milliseconds(1)}, "{}"));
    }

    http::response handle(const http::request& received)
    {
        const std::string target(received.target());
        const std::string table = value_of(target, "table");
        if (target.find("rows-feed") != std::string::npos)
        {
            ++feeds;
            before_feed();
            const std::int64_t after = std::stoll(value_of(target, "after"));
            if (after < oldest_history || !answers_feeds)
            {
                return http::make_response(
                    answers_feeds ? http::status::gone : http::status::service_unavailable, "{}");
            }
            return rows([&](const entry& row) { return row.table == table && row.version > after; },
                        max_feed_rows);
        }
        ++reads;
        if (!answers_reads)
        {
            return http::make_response(http::status::service_unavailable, "{}");
        }
        const std::string part = value_of(target, "part");
        return rows(
            [&](const entry& row)
            { return row.table == table && adapter::store::part_of(table, row.key) == part; });
    }

private:
    struct entry
    {
        std::string table;
        std::string key;
        std::string value;
        std::int64_t version = 0;
    };

    static std::string value_of(const std::string& target, const std::string& name)
    {
        const std::size_t begin = target.find(name + "=") + name.size() + 1;
        return target.substr(begin, target.find('&', begin) - begin);
    }

    template <typename Filter>
    [[nodiscard]] http::response rows(Filter&& filter, std::size_t max_rows = 1'000'000) const
    {
        boost::json::array listed;
        std::int64_t version = version_;
        std::size_t listed_until = 0;
        for (const entry& row : rows_)
        {
            if (listed.size() == max_rows)
            {
                version = rows_[listed_until].version;
                break;
            }
            if (filter(row))
            {
                listed_until = static_cast<std::size_t>(&row - rows_.data());
                listed.emplace_back(boost::json::object{{"table", row.table},
                                                        {"key", row.key},
                                                        {"value", base64_encode(row.value)},
                                                        {"row-version", row.version}});
            }
        }
        return http::make_response(
            http::status::ok,
            boost::json::serialize(boost::json::object{
                {"rows", std::move(listed)}, {"row-version", version}, {"now-ms", now.count()}}));
    }

    std::vector<entry> rows_;
    std::int64_t version_ = 0;
};

/// An entry host with one queue that follows no table.
struct entry_host
{
    explicit entry_host(fake_store& store)
    {
        settings values;
        values.host = "host-a";
        values.store = test::free_address();
        server = boost::leaf::try_handle_all(
            [&]() -> boost::leaf::result<std::shared_ptr<http::server>>
            {
                return http::server::listen(
                    io.get_executor(), values.store, {},
                    [&](http::request received) -> boost::asio::awaitable<http::response>
                    {
                        boost::asio::steady_timer timer(io.get_executor(), store.delay);
                        co_await timer.async_wait(boost::asio::use_awaitable);
                        co_return store.handle(received);
                    });
            },
            [] { return std::shared_ptr<http::server>(); });
        REQUIRE(server != nullptr);
        shared = std::make_unique<context>(values, io);
        configuration config;
        config.version = 1;
        config.queues.push_back(tested_queue);
        shared->current = std::make_shared<configuration>(config);
        shared->update_store_time(store.now, shared->now());
        callers = std::make_unique<job_api>(*shared);
        callers->start();
    }

    /// Delivers the owner's load row, which may have been written long ago.
    void deliver(const std::string& text, std::int64_t row_version)
    {
        boost::leaf::try_handle_all(
            [&]() -> boost::leaf::result<void>
            {
                BOOST_LEAF_AUTO(summary, parse_load(text));
                shared->load.observe(std::move(summary), row_version);
                return {};
            },
            [] { FAIL("the load row cannot be read"); });
    }

    [[nodiscard]] http::request question(const std::string& deadline = "3000") const
    {
        http::request message = http::make_request(http::method::get, "/q/", "");
        message.set(boost::beast::http::field::host, "h");
        message.set("Deadline-Ms", deadline);
        return message;
    }

    http::response ask(const std::string& deadline = "3000")
    {
        return test::run(io, callers->handle(question(deadline)));
    }

    boost::asio::io_context io;
    std::shared_ptr<http::server> server;
    std::unique_ptr<context> shared;
    std::unique_ptr<job_api> callers;
};

std::string count(std::int64_t value)
{
    return R"({"waiting":)" + std::to_string(value) + "}";
}

/// Load row without waiting jobs that covers version 1, complete at `complete_at`.
std::string load_row(milliseconds complete_at)
{
    return R"({"covered_version":1,"complete_at_ms":)" + std::to_string(complete_at.count()) +
           R"(,"waiting":{},"pools":{}})";
}

void add_three_jobs(fake_store& store)
{
    store.write("op", "config", "{}");
    store.add_job("00000000000000a1");
    store.add_job("00000000000000a2");
    store.add_job("00000000000000a3");
}

} // namespace

TEST_CASE("a load row that arrives late does not make its counts current", "[manager]")
{
    fake_store store;
    add_three_jobs(store);
    entry_host host(store);
    host.deliver(load_row(store.now - milliseconds(6'000)), 1);
    CHECK(host.ask().body() == count(3));
}

TEST_CASE("a load row that does not tell its age is brought up to date before it is used",
          "[manager]")
{
    fake_store store;
    add_three_jobs(store);
    entry_host host(store);
    host.deliver(R"({"covered_version":1,"waiting":{},"pools":{}})", 1);
    CHECK(host.ask().body() == count(3));
}

TEST_CASE("counts are brought up to date over answers that the store cuts off", "[manager]")
{
    // Guards against counts that leave out the latest jobs and pass as current.
    fake_store store;
    store.write("op", "config", "{}");
    for (int number = 0; number < 1'200; ++number)
    {
        store.add_job(std::to_string(1'000'000'000'000'000 + number));
    }
    entry_host host(store);
    host.deliver(load_row(store.now - milliseconds(6'000)), 1);
    CHECK(host.ask().body() == count(1'200));
    CHECK(store.feeds == 3);
}

TEST_CASE("a job whose progress cannot be read does not count as waiting", "[manager]")
{
    fake_store store;
    add_three_jobs(store);
    store.add_job("2000000000000000");
    store.write("progress", "2000000000000000", "running 0 1\n0.0.0 1");
    store.oldest_history = 5;
    entry_host host(store);
    CHECK(host.ask().body() == count(3));
}

TEST_CASE("counts that were complete a moment ago are answered without a read", "[manager]")
{
    fake_store store;
    add_three_jobs(store);
    entry_host host(store);
    host.deliver(load_row(store.now - milliseconds(500)), 1);
    CHECK(host.ask().body() == count(0));
    CHECK(store.feeds + store.reads == 0);
}

TEST_CASE("a host that cannot read the new jobs refuses instead of answering an old count",
          "[manager]")
{
    fake_store store;
    add_three_jobs(store);
    store.answers_feeds = false;
    entry_host restarted(store);
    const http::response refused = restarted.ask();
    CHECK(refused.result_int() == 503);
    CHECK(refused[boost::beast::http::field::retry_after] == "1");
    entry_host late(store);
    late.deliver(load_row(store.now - milliseconds(6'000)), 1);
    CHECK(late.ask().result_int() == 503);
    // Nearly two seconds are allowed.
    entry_host recent(store);
    recent.deliver(load_row(store.now - milliseconds(1'600)), 1);
    CHECK(recent.ask().body() == count(0));
}

TEST_CASE("a host without the store refuses counts that are too old", "[manager]")
{
    fake_store store;
    entry_host host(store);
    host.shared->store_unavailable = true;
    host.deliver(load_row(store.now - milliseconds(1'600)), 1);
    CHECK(host.ask().body() == count(0));
    host.deliver(load_row(store.now - milliseconds(2'500)), 2);
    CHECK(host.ask().result_int() == 503);
    CHECK(store.feeds + store.reads == 0);
}

TEST_CASE("a read from before the counts' version does not make them current", "[manager]")
{
    fake_store store;
    add_three_jobs(store);
    const std::string row =
        R"({"covered_version":100,"complete_at_ms":14000,"waiting":{},"pools":{}})";
    entry_host host(store);
    host.deliver(row, 1);
    CHECK(host.ask().result_int() == 503);
    // The full read is as old.
    store.oldest_history = 101;
    entry_host recounting(store);
    recounting.deliver(row, 1);
    CHECK(recounting.ask().result_int() == 503);
}

TEST_CASE("jobs are counted anew if the store has dropped the history", "[manager]")
{
    fake_store store;
    store.add_job("00000000000000a0");
    add_three_jobs(store);
    store.add_job("00000000000000a4");
    store.add_job("00000000000000a5");
    store.write("jobs", "j/00000000000000a6", "");
    store.write("progress", "00000000000000a1", "running 0 0\n0.0.0 0 1 0 0 i-1 5 -");
    store.write("progress", "00000000000000a2", "running 0 1\n0.0.0 0 1 0 0 i-1 5 -");
    store.write("progress", "00000000000000a3", "completed 900 1");
    store.write("jobs", "c/00000000000000a4", "{}");
    store.oldest_history = 5;
    entry_host restarted(store);
    CHECK(restarted.ask().body() == count(3));
    entry_host late(store);
    late.deliver(load_row(store.now - milliseconds(6'000)), 1);
    CHECK(late.ask().body() == count(3));
    store.answers_reads = false;
    entry_host refusing(store);
    CHECK(refusing.ask().result_int() == 503);
}

TEST_CASE("jobs are counted anew for a queue that the owner's row has no space for", "[manager]")
{
    fake_store store;
    add_three_jobs(store);
    entry_host host(store);
    const std::string row =
        R"({"covered_version":4,"complete_at_ms":19900,"waiting_complete":false,)"
        R"("waiting":{"other":9},"pools":{}})";
    host.deliver(row, 1);
    CHECK(host.ask().body() == count(3));
    // The owner's next row does not make another full read necessary.
    const int reads = store.reads;
    host.deliver(row, 2);
    CHECK(host.ask().body() == count(3));
    CHECK(store.reads == reads);
    store.answers_reads = false;
    entry_host refusing(store);
    refusing.deliver(row, 1);
    CHECK(refusing.ask().result_int() == 503);
}

TEST_CASE("a new job does not list a queue that the owner's row has no space for", "[manager]")
{
    load_tracker tracker;
    load_summary incomplete{1, milliseconds(1'000), {}};
    incomplete.load.waiting["other"] = 9;
    incomplete.waiting_complete = false;
    tracker.observe(incomplete, 1);
    tracker.add_waiting({{tested_queue.name, 1}, {"other", 1}}, 5, milliseconds(3'000));
    const auto waiting = [&](const job::queue& queue)
    {
        return tracker.waiting(queue, milliseconds(2'000), milliseconds(3'100));
    };
    CHECK_FALSE(waiting(tested_queue));
    CHECK(waiting({"other", "h", "/", "pool"}) == 10);
}

TEST_CASE("a load row that replaces the counts during a refresh is itself brought up to date",
          "[manager]")
{
    fake_store store;
    add_three_jobs(store);
    entry_host host(store);
    host.deliver(R"({"covered_version":0,"waiting":{},"pools":{}})", 1);
    store.before_feed = [&]
    {
        if (store.feeds == 1)
        {
            host.deliver(load_row(store.now - milliseconds(6'000)), 2);
        }
    };
    CHECK(host.ask().body() == count(3));
}

TEST_CASE("a request for a count does not outlast its deadline while a refresh hangs", "[manager]")
{
    fake_store store;
    add_three_jobs(store);
    store.delay = milliseconds(400);
    entry_host host(store);
    CHECK(host.ask("350").result_int() == 503);
    CHECK(store.feeds == 0);
    // The refresh goes on for later requests.
    CHECK(host.ask().body() == count(3));
    CHECK(store.feeds == 1);
}

TEST_CASE("concurrent requests for a count share one refresh", "[manager]")
{
    fake_store store;
    add_three_jobs(store);
    entry_host host(store);
    std::vector<std::string> answers;
    for (int request = 0; request < 5; ++request)
    {
        boost::asio::co_spawn(host.io, host.callers->handle(host.question()),
                              [&](const std::exception_ptr&, const http::response& response)
                              { answers.push_back(response.body()); });
    }
    const std::chrono::steady_clock::time_point deadline =
        std::chrono::steady_clock::now() + std::chrono::seconds(5);
    while (answers.size() < 5 && std::chrono::steady_clock::now() < deadline)
    {
        host.io.run_one_until(deadline);
    }
    CHECK(answers == std::vector<std::string>(5, count(3)));
    CHECK(store.feeds == 1);
}
