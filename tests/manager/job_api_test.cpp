#include "core/base64.hpp"
#include "http/server.hpp"
#include "manager/job_api.hpp"
#include "platform/loopback.hpp"

#include <boost/json.hpp>
#include <catch2/catch.hpp>

#include <memory>
#include <set>
#include <string>

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

    http::response handle(const http::request& received)
    {
        const std::string target(received.target());
        boost::json::array rows;
        if (target.find("rows-tx") != std::string::npos)
        {
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

    http::response submit(const std::string& id)
    {
        http::request message =
            http::make_request(http::method::post, "/q/" + id, std::string(job_body));
        message.set(boost::beast::http::field::host, "h");
        message.set("Deadline-Ms", "3000");
        return test::run(io, callers->handle(std::move(message)));
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
