#pragma once

#include "core/base64.hpp"
#include "http/server.hpp"
#include "job/record_text.hpp"
#include "manager/owner_session.hpp"
#include "platform/loopback.hpp"
#include "store_limits.hpp"

#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/json.hpp>
#include <catch2/catch.hpp>

#include <algorithm>
#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <utility>

namespace lacewingquay::manager::test_support
{

inline constexpr std::int64_t born = 1'000;

inline std::int64_t clock_now()
{
    return std::chrono::duration_cast<milliseconds>(
               std::chrono::steady_clock::now().time_since_epoch())
        .count();
}

inline boost::asio::awaitable<void> wait_until(std::chrono::steady_clock::time_point time)
{
    boost::asio::steady_timer timer(co_await boost::asio::this_coro::executor, time);
    co_await timer.async_wait(boost::asio::use_awaitable);
}

inline http::response make_reply(const boost::json::object& body)
{
    return http::make_response(http::status::ok, boost::json::serialize(body));
}

/// A store with the registrations of some servers and one job.
struct stand_in_store
{
    boost::asio::awaitable<http::response> handle(http::request received)
    {
        const std::string target(received.target());
        const bool is_read = target.find("rows-get") != std::string::npos;
        if (target.find("rows-feed?table=jobs") != std::string::npos)
        {
            if (feed_fails)
            {
                co_return http::make_response(http::status::service_unavailable, "{}");
            }
            if (feed_time.count() > 0)
            {
                co_await wait_until(std::chrono::steady_clock::now() + feed_time);
            }
            co_return make_reply({{"rows", std::exchange(changed_jobs, {})},
                                  {"row-version", version},
                                  {"now-ms", clock_now()}});
        }
        if (!is_read && target.find("rows-tx") != std::string::npos && commit_time.count() > 0)
        {
            co_await wait_until(std::chrono::steady_clock::now() + commit_time);
        }
        if (target.find("rows-feed?table=cancellations") != std::string::npos)
        {
            co_return make_reply({{"rows", std::exchange(cancellations, {})},
                                  {"row-version", version},
                                  {"now-ms", clock_now()}});
        }
        boost::json::array rows;
        if (is_read && target.find("table=servers") != std::string::npos)
        {
            rows = servers;
        }
        else if (is_read && target.find("table=jobs") != std::string::npos)
        {
            rows = jobs;
        }
        else if (is_read && target.find("table=progress") != std::string::npos)
        {
            rows = std::exchange(progress, {});
        }
        else if (!is_read && target.find("rows-tx") != std::string::npos)
        {
            const bool renews =
                received.body().find("\"key\":\"owner\",\"value\"") != std::string::npos;
            if (test::exceeds_store_limits(received) ||
                received.body().find(rejected_key) != std::string::npos)
            {
                ++rejections;
                co_return http::make_response(http::status::bad_request, "{}");
            }
            renewals += renews ? 1 : 0;
            ++version;
        }
        co_return make_reply(
            {{"rows", std::move(rows)}, {"row-version", version}, {"now-ms", clock_now()}});
    }

    /// A row of the cancellations table that is newer than what the feed of the jobs shows.
    [[nodiscard]] boost::json::object make_cancellation(const std::string& job) const
    {
        boost::json::object row = make_row("cancellations", job, "{}");
        row["row-version"] = version + 1'000;
        return row;
    }

    static boost::json::object make_row(std::string_view table, const std::string& key,
                                        const std::string& value)
    {
        return {{"table", table},
                {"part", ""},
                {"key", key},
                {"value", base64_encode(value)},
                {"row-version", 5}};
    }

    boost::json::array servers;
    boost::json::array jobs;
    /// Delivered by the next read of that table.
    boost::json::array progress;
    std::int64_t version = 10;
    /// Transactions that name it are rejected.
    std::string rejected_key = "none";
    int rejections = 0;
    int renewals = 0;
    /// The feed of the jobs table answers with an error.
    bool feed_fails = false;
    /// Delivered by the next call of that feed.
    boost::json::array changed_jobs;
    /// How long each call of that feed takes.
    milliseconds feed_time{0};
    /// Delivered by the next call of the feed of the cancellations.
    boost::json::array cancellations;
    milliseconds commit_time{0};
};

/// Backend servers behind a link that passes one call at a time. A call that its sender gives up is
/// still executed.
struct stand_in_servers
{
    boost::asio::awaitable<http::response> handle(http::request received)
    {
        link_free_at = std::max(link_free_at, std::chrono::steady_clock::now()) + call_time;
        co_await wait_until(link_free_at);
        const std::string server(received["Expect-Instance"]);
        const std::string target(received.target());
        const boost::json::object body = boost::json::parse(received.body()).as_object();
        boost::json::object reply{{"clock-ms", clock_now()}, {"born", born}};
        if (target == "/lacewingquay/hold")
        {
            const boost::json::value* wait = body.if_contains("wait-ms");
            const bool waits = waits_for_ends && wait != nullptr;
            co_await wait_until(std::chrono::steady_clock::now() +
                                milliseconds(waits ? wait->as_int64() : 0));
            boost::json::array list;
            for (const auto& entry : running[server])
            {
                list.push_back(boost::json::array{entry.first, entry.second, "", 100, 0});
            }
            reply["running"] = std::move(list);
            reply["ended"] = boost::json::array{};
            co_return make_reply(reply);
        }
        const std::string task(body.at("task").as_string());
        const std::int64_t run = body.at("run").as_int64();
        std::int64_t& closed = closed_runs[server][task];
        stops += target == "/lacewingquay/run-stop" ? 1 : 0;
        if (target == "/lacewingquay/run-stop" && lost_stops > 0)
        {
            --lost_stops;
            co_await wait_until(std::chrono::steady_clock::now() + std::chrono::seconds(5));
        }
        else if (target == "/lacewingquay/run-stop")
        {
            closed = std::max(closed, run);
            if (running[server].erase(task) > 0)
            {
                stopped_at = std::chrono::steady_clock::now();
            }
        }
        else if (run > closed && running[server][task] != run)
        {
            ++starts;
            running[server][task] = run;
        }
        co_return make_reply(reply);
    }

    [[nodiscard]] std::size_t running_tasks() const
    {
        std::size_t count = 0;
        for (const auto& entry : running)
        {
            count += entry.second.size();
        }
        return count;
    }

    milliseconds call_time{0};
    std::chrono::steady_clock::time_point link_free_at{};
    std::map<std::string, std::map<std::string, std::int64_t>> running;
    std::map<std::string, std::map<std::string, std::int64_t>> closed_runs;
    std::size_t starts = 0;
    std::size_t stops = 0;
    /// When the latest run was ended by a stop.
    std::chrono::steady_clock::time_point stopped_at{};
    /// So many stop orders are neither executed nor answered.
    int lost_stops = 0;
    /// Polls are answered once a run ends or their wait is over, else at once.
    bool waits_for_ends = true;
};

template <typename Handler>
std::shared_ptr<http::server> serve(boost::asio::io_context& io, const address& where,
                                    Handler& handler)
{
    std::shared_ptr<http::server> server = boost::leaf::try_handle_all(
        [&]() -> boost::leaf::result<std::shared_ptr<http::server>>
        {
            return http::server::listen(io.get_executor(), where, {},
                                        [&handler](http::request received)
                                        { return handler.handle(std::move(received)); });
        },
        [] { return std::shared_ptr<http::server>(); });
    REQUIRE(server != nullptr);
    return server;
}

/// A host with a slow link that has taken over a pool in which all tasks have to be started.
struct overloaded_owner
{
    explicit overloaded_owner(int server_count, int tasks, int cpu = 2'000)
    {
        settings values;
        values.host = "host-a";
        values.resources = {0.12, 10.0};
        values.store = test::free_address();
        const address backend = test::free_address();
        for (int index = 0; index < server_count; ++index)
        {
            const boost::json::object registration{
                {"machine", "m" + std::to_string(index)},
                {"service", "pool"},
                {"zone", "zone"},
                {"state", "ready"},
                {"address", backend.text()},
                {"born", born},
                {"clock-ms", clock_now()},
                {"capacity", boost::json::object{{"cpu", 8'000}, {"mem-mb", 16'000}}}};
            store.servers.push_back(stand_in_store::make_row("servers", "s" + std::to_string(index),
                                                             boost::json::serialize(registration)));
        }
        add_job("job", tasks, cpu);
        store_server = serve(io, values.store, store);
        backend_server = serve(io, backend, servers);
        shared = std::make_unique<context>(values, io);
        configuration current;
        current.pools.push_back({"pool", false});
        shared->current = std::make_shared<configuration>(current);
        session = std::make_shared<owner_session>(*shared, 1, store.version, shared->now());
    }

    ~overloaded_owner() { session->release("the test is over"); }

    void add_job(const std::string& id, int tasks, int cpu)
    {
        job::queue queue;
        queue.name = "host/queue/";
        queue.host = "host";
        queue.prefix = "/queue/";
        queue.pool = "pool";
        const std::string body = R"({"spec":"payload","steps":[{"count":)" + std::to_string(tasks) +
                                 R"(,"cpu":)" + std::to_string(cpu) +
                                 R"(,"mem-mb":10,"est-duration-ms":1000,"long-running":true}]})";
        store.jobs.push_back(stand_in_store::make_row(
            "jobs", "j/" + id, job::serialize_record({queue, milliseconds(1)}, body)));
    }

    /// Returns just after the owner has sent a transaction that takes 1.15 s, as do all that
    /// follow.
    void begin_slow_transaction()
    {
        store.commit_time = milliseconds(1'150);
        const int renewals = store.renewals;
        while (store.renewals == renewals)
        {
            time_to_run(servers.running_tasks() + 1, milliseconds(10));
        }
        time_to_run(servers.running_tasks() + 1, milliseconds(100));
    }

    /// Returns after which time at most `tasks` tasks were running, or `limit`.
    milliseconds time_to_stop(std::size_t tasks, milliseconds limit)
    {
        const std::chrono::steady_clock::time_point started = std::chrono::steady_clock::now();
        while (servers.running_tasks() > tasks &&
               std::chrono::steady_clock::now() < started + limit)
        {
            io.run_one_until(started + limit);
        }
        return std::chrono::duration_cast<milliseconds>(std::chrono::steady_clock::now() - started);
    }

    /// Returns after which time `tasks` tasks were running, or `limit`.
    milliseconds time_to_run(std::size_t tasks, milliseconds limit)
    {
        const std::chrono::steady_clock::time_point started = std::chrono::steady_clock::now();
        if (!started_)
        {
            session->start();
            started_ = true;
        }
        while (servers.running_tasks() < tasks &&
               std::chrono::steady_clock::now() < started + limit)
        {
            io.run_one_until(started + limit);
        }
        return std::chrono::duration_cast<milliseconds>(std::chrono::steady_clock::now() - started);
    }

    stand_in_store store;
    stand_in_servers servers;
    boost::asio::io_context io;
    std::shared_ptr<http::server> store_server;
    std::shared_ptr<http::server> backend_server;
    std::unique_ptr<context> shared;
    std::shared_ptr<owner_session> session;
    bool started_ = false;
};

} // namespace lacewingquay::manager::test_support
