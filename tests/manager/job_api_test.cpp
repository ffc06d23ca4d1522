#include "core/base64.hpp"
#include "http/server.hpp"
#include "manager/job_api.hpp"
#include "platform/loopback.hpp"
#include "store_limits.hpp"

#include <boost/asio/co_spawn.hpp>
#include <boost/json.hpp>
#include <catch2/catch.hpp>

#include <chrono>
#include <exception>
#include <map>
#include <memory>
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
    std::set<std::string> keys;
    /// Transactions that name it are rejected.
    std::string rejected_key = "none";

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
            const boost::json::value work = boost::json::parse(received.body());
            for (const boost::json::value& write : work.at("set-keys").as_array())
            {
                keys.emplace(write.at("key").as_string());
            }
        }
        for (const std::string& key : keys)
        {
            // Keys are percent-encoded in queries.
            if (target.find("from=j%2F" + key.substr(2)) != std::string::npos)
            {
                rows.emplace_back(boost::json::object{{"table", "jobs"},
                                                      {"key", key},
                                                      {"value", base64_encode("{}")},
                                                      {"row-version", 5}});
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
