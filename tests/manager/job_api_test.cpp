#include "core/base64.hpp"
#include "http/server.hpp"
#include "manager/job_api.hpp"
#include "platform/loopback.hpp"
#include "store_limits.hpp"

#include <boost/asio/co_spawn.hpp>
#include <boost/json.hpp>
#include <catch2/catch.hpp>

#include <algorithm>
#include <chrono>
#include <exception>
#include <map>
#include <memory>
#include <random>
#include <set>
#include <string>
#include <vector>

using namespace lacewingquay;
using namespace lacewingquay::manager;

namespace
{

constexpr std::string_view job_body =
    R"({"spec":"text","steps":[{"count":2,"cpu":1000,"mem-mb":64,"est-duration-ms":500}]})";

/// An in-memory store that accepts every job.
struct fake_store
{
    /// Of the jobs table.
    std::set<std::string> keys;
    /// Jobs that have a row in the cancellations table.
    std::set<std::string> cancellations;
    /// Transactions that name it are rejected.
    std::string rejected_key = "none";
    /// Transactions are not confirmed, and only performed by `perform_late`.
    bool loses_answers = false;
    std::vector<std::string> lost;
    /// Transactions with both a job and its cancellation.
    int mixed_transactions = 0;
    /// Jobs that were stored after their cancellation.
    int late_jobs = 0;

    /// Performs the transactions that were not confirmed, in this order.
    void perform_late(const std::vector<std::string>& transactions)
    {
        for (const std::string& work : transactions)
        {
            perform(work);
        }
    }

    http::response perform(const std::string& text)
    {
        const boost::json::value work = boost::json::parse(text);
        boost::json::array current;
        for (const boost::json::value& condition : work.at("precondition").as_array())
        {
            const std::string key(condition.at("key").as_string());
            if (keys.contains(key))
            {
                current.emplace_back(make_row(key));
            }
        }
        if (!current.empty())
        {
            return http::make_response(
                http::status::precondition_failed,
                boost::json::serialize(boost::json::object{
                    {"rows", std::move(current)}, {"row-version", 7}, {"now-ms", 1'000}}));
        }
        std::set<std::string> jobs;
        for (const boost::json::value& write : work.at("set-keys").as_array())
        {
            const std::string key(write.at("key").as_string());
            if (write.at("table").as_string() == cancellations_table)
            {
                cancellations.insert(key);
                continue;
            }
            mixed_transactions += jobs.insert(key.substr(2)).second ? 0 : 1;
            late_jobs += key.starts_with("j/") && keys.contains("c/" + key.substr(2)) ? 1 : 0;
            keys.insert(key);
        }
        return http::make_response(http::status::ok, boost::json::serialize(boost::json::object{
                                                         {"row-version", 7}, {"now-ms", 1'000}}));
    }

    static boost::json::object make_row(const std::string& key)
    {
        return {
            {"table", "jobs"}, {"key", key}, {"value", base64_encode("{}")}, {"row-version", 5}};
    }

    http::response handle(const http::request& received)
    {
        const std::string target(received.target());
        boost::json::array rows;
        if (target.find("rows-tx") != std::string::npos)
        {
            if (test::exceeds_store_limits(received) ||
                received.body().find(rejected_key) != std::string::npos)
            {
                return http::make_response(http::status::bad_request, "{}");
            }
            if (loses_answers)
            {
                lost.push_back(received.body());
                return http::make_response(http::status::gateway_timeout, "{}");
            }
            return perform(received.body());
        }
        for (const std::string& key : keys)
        {
            // Keys are percent-encoded in queries.
            if (target.find("from=" + key.substr(0, 1) + "%2F" + key.substr(2)) !=
                std::string::npos)
            {
                rows.emplace_back(make_row(key));
            }
        }
        return http::make_response(
            http::status::ok,
            boost::json::serialize(boost::json::object{
                {"rows", std::move(rows)}, {"row-version", 7}, {"now-ms", 1'000}}));
    }
};

/// An entry host with one queue, whose pool needs `drain` to finish the waiting work.
struct entry_host
{
    entry_host(fake_store& store, milliseconds drain)
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
                    { co_return store.handle(received); });
            },
            [] { return std::shared_ptr<http::server>(); });
        REQUIRE(server != nullptr);
        shared = std::make_unique<context>(values, io);
        configuration config;
        config.version = 1;
        config.queues.push_back({"h/q/", "h", "/q/", "pool"});
        shared->current = std::make_shared<configuration>(config);
        shared->load.observe(
            {1, milliseconds(1'000), {{}, {{"pool", {{0, {drain, 40'000, drain}}}}}}}, 1);
        callers = std::make_unique<job_api>(*shared);
        callers->start();
    }

    static http::request make_submission(const std::string& id, std::string body)
    {
        http::request message = http::make_request(http::method::post, "/q/" + id, std::move(body));
        message.set(boost::beast::http::field::host, "h");
        message.set("Deadline-Ms", "3000");
        return message;
    }

    http::response submit(const std::string& id)
    {
        return test::run(io, callers->handle(make_submission(id, std::string(job_body))));
    }

    /// Returns the status of the answer.
    unsigned request(http::method method, const std::string& id,
                     const std::string& deadline_ms = "3000")
    {
        http::request message = http::make_request(
            method, "/q/" + id, method == http::method::post ? std::string(job_body) : "");
        message.set(boost::beast::http::field::host, "h");
        message.set("Deadline-Ms", deadline_ms);
        return test::run(io, callers->handle(std::move(message))).result_int();
    }

    /// Submits jobs at the same time; returns the status of each answer, by id.
    std::map<std::string, unsigned> submit_together(const std::vector<std::string>& ids,
                                                    const std::string& body)
    {
        std::map<std::string, unsigned> answers;
        for (const std::string& id : ids)
        {
            boost::asio::co_spawn(
                io, callers->handle(make_submission(id, body)),
                [&answers, id](const std::exception_ptr&, const http::response& answer)
                { answers[id] = answer.result_int(); });
        }
        const std::chrono::steady_clock::time_point deadline =
            std::chrono::steady_clock::now() + std::chrono::seconds(10);
        while (answers.size() < ids.size() && std::chrono::steady_clock::now() < deadline)
        {
            io.run_one_until(deadline);
        }
        return answers;
    }

    boost::asio::io_context io;
    std::shared_ptr<http::server> server;
    std::unique_ptr<context> shared;
    std::unique_ptr<job_api> callers;
};

} // namespace

TEST_CASE("a job is accepted if its queue is short and refused with a Retry-After if it is long",
          "[manager]")
{
    fake_store store;
    entry_host idle(store, milliseconds(200));
    CHECK(idle.submit("00000000000000a1").result_int() == 200);
    CHECK(store.keys.contains("j/00000000000000a1"));
    entry_host busy(store, milliseconds(20'000));
    const http::response refused = busy.submit("00000000000000a2");
    CHECK(refused.result_int() == 503);
    CHECK(std::stoi(std::string(refused[boost::beast::http::field::retry_after])) >= 20);
    CHECK_FALSE(store.keys.contains("j/00000000000000a2"));
}

TEST_CASE("a job that another host has stored is not refused because of a long queue", "[manager]")
{
    // Guards against a 503 for a job that runs: another host has stored the caller's first attempt,
    // and the response was lost.
    fake_store store;
    store.keys.insert("j/00000000000000b1");
    entry_host busy(store, milliseconds(20'000));
    CHECK(busy.submit("00000000000000b1").result_int() == 200);
    CHECK(busy.submit("00000000000000b2").result_int() == 503);
}

namespace
{

/// Ids that share a transaction.
std::vector<std::string> ids_of_one_group(std::size_t count)
{
    std::vector<std::string> ids;
    for (int number = 0; ids.size() < count; ++number)
    {
        std::string id = std::to_string(1'000'000'000'000'000 + number);
        if (adapter::store::group_of("j/" + id) == 0)
        {
            ids.push_back(std::move(id));
        }
    }
    return ids;
}

} // namespace

TEST_CASE("large jobs that are submitted together are stored in several transactions", "[manager]")
{
    // Guards against refusing all of them, as one transaction would be larger than the store takes.
    fake_store store;
    entry_host host(store, milliseconds(200));
    const std::string body = R"({"spec":")" + std::string(45'000, 'x') +
                             R"(","steps":[{"count":2,"cpu":1000,"est-duration-ms":500}]})";
    for (const auto& answer : host.submit_together(ids_of_one_group(40), body))
    {
        CHECK(answer.second == 200);
    }
    CHECK(store.keys.size() == 40);
}

TEST_CASE("a job that the store rejects does not prevent others from being stored", "[manager]")
{
    fake_store store;
    entry_host host(store, milliseconds(200));
    const std::vector<std::string> ids = ids_of_one_group(20);
    store.rejected_key = "j/" + ids[7];
    for (const auto& answer : host.submit_together(ids, std::string(job_body)))
    {
        CHECK(answer.second == (answer.first == ids[7] ? 400 : 200));
    }
    CHECK(store.keys.size() == 19);
}

namespace
{

/// A deadline at which a write is tried only a few times.
constexpr const char* short_deadline = "350";

} // namespace

TEST_CASE("a job whose write is performed after its cancellation is not stored", "[manager]")
{
    // Guards against a job that runs though its caller was told that there is no such job.
    const std::string id = "00000000000000c1";
    fake_store store;
    entry_host host(store, milliseconds(200));
    store.loses_answers = true;
    REQUIRE(host.request(http::method::post, id, short_deadline) == 504);
    store.loses_answers = false;
    CHECK(host.request(http::method::delete_, id) == 410);
    store.perform_late(store.lost);
    CHECK_FALSE(store.keys.contains("j/" + id));
    CHECK(host.request(http::method::get, id) == 410);
}

TEST_CASE("a job that is submitted after its cancellation is refused", "[manager]")
{
    const std::string id = "00000000000000c2";
    fake_store store;
    entry_host host(store, milliseconds(200));
    CHECK(host.request(http::method::delete_, id) == 410);
    CHECK(host.request(http::method::delete_, id) == 410);
    CHECK(host.request(http::method::post, id) == 410);
    CHECK_FALSE(store.keys.contains("j/" + id));
    CHECK(store.keys.size() == 1);
}

TEST_CASE("a cancellation is stored in both of its tables", "[manager]")
{
    const std::string id = "00000000000000c5";
    fake_store store;
    entry_host host(store, milliseconds(200));
    REQUIRE(host.request(http::method::post, id) == 200);
    CHECK(store.cancellations.empty());
    CHECK(host.request(http::method::delete_, id) == 200);
    CHECK(store.keys.contains("c/" + id));
    CHECK(store.cancellations == std::set<std::string>{id});
}

TEST_CASE("a repeated submission of a job that was cancelled later finds the job", "[manager]")
{
    const std::string id = "00000000000000c3";
    fake_store store;
    entry_host host(store, milliseconds(200));
    entry_host other(store, milliseconds(200));
    REQUIRE(host.request(http::method::post, id) == 200);
    CHECK(other.request(http::method::delete_, id) == 200);
    entry_host third(store, milliseconds(200));
    CHECK(third.request(http::method::post, id) == 200);
}

TEST_CASE("a job and its cancellation do not share a transaction", "[manager]")
{
    // Guards against a reader of the table that sees the cancellation before the job.
    const std::string id = "00000000000000c4";
    fake_store store;
    entry_host host(store, milliseconds(200));
    for (const http::method method : {http::method::post, http::method::delete_})
    {
        http::request message = entry_host::make_submission(id, std::string(job_body));
        message.method(method);
        boost::asio::co_spawn(host.io, host.callers->handle(std::move(message)),
                              [](const std::exception_ptr&, const http::response&) {});
    }
    host.io.run_for(std::chrono::milliseconds(300));
    CHECK(store.keys.size() == 2);
    CHECK(store.mixed_transactions == 0);
}

TEST_CASE("no order of late writes stores a job after its cancellation", "[manager]")
{
    fake_store store;
    entry_host host(store, milliseconds(200));
    std::mt19937 random(20261204);
    for (int number = 0; number < 12; ++number)
    {
        const std::string id = std::to_string(1'000'000'000'000'000 + number);
        store.lost.clear();
        store.loses_answers = random() % 4 != 0;
        host.request(http::method::post, id, short_deadline);
        store.loses_answers = random() % 2 != 0;
        host.request(http::method::delete_, id, short_deadline);
        store.loses_answers = false;
        std::shuffle(store.lost.begin(), store.lost.end(), random);
        store.perform_late(store.lost);
        CAPTURE(id);
        CHECK(store.keys.contains("c/" + id));
    }
    CHECK(store.late_jobs == 0);
}
