#pragma once

#include "http/client.hpp"
#include "http/server.hpp"
#include "load/answer_body.hpp"
#include "standins/backend.hpp"
#include "traffic/caller_service.hpp"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/strand.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/use_future.hpp>

#include <algorithm>
#include <atomic>
#include <future>
#include <memory>
#include <mutex>
#include <set>
#include <string>
#include <thread>
#include <vector>

namespace lacewingquay::test
{

/// Runs an `io_context` on a number of threads until destroyed.
class thread_pool
{
public:
    explicit thread_pool(int threads)
    {
        for (int i = 0; i < threads; ++i)
        {
            threads_.emplace_back([this] { context_.run(); });
        }
    }

    ~thread_pool() { stop(); }

    void stop()
    {
        context_.stop();
        for (std::thread& thread : threads_)
        {
            thread.join();
        }
        threads_.clear();
    }

    boost::asio::io_context& context() { return context_; }

private:
    boost::asio::io_context context_;
    boost::asio::executor_work_guard<boost::asio::io_context::executor_type> work_{
        context_.get_executor()};
    std::vector<std::thread> threads_;
};

/// Grants slots immediately, in turn over the hosts that the request does not avoid.
class fake_slot_source final : public traffic::slot_source
{
public:
    struct host
    {
        std::string name;
        address where;
    };

    boost::asio::awaitable<traffic::slot_answer>
    acquire(traffic::slot_requirements requirements) override
    {
        const std::lock_guard<std::mutex> lock(mutex);
        traffic::slot_answer answer;
        for (std::size_t i = 0; i < hosts.size() && !answer.granted; ++i)
        {
            const host& candidate = hosts[next++ % hosts.size()];
            if (std::find(requirements.avoid.begin(), requirements.avoid.end(), candidate.name) ==
                requirements.avoid.end())
            {
                const steady_time now = std::chrono::steady_clock::now();
                answer.granted = traffic::slot{++last_grant, candidate.name, candidate.where,
                                               now + start_window, now + requirements.run_limit};
                outstanding.insert(last_grant);
            }
        }
        answer.refusal.reason = refusal_reason;
        co_return answer;
    }

    void release(const traffic::slot& granted, traffic::slot_outcome outcome,
                 std::chrono::milliseconds) override
    {
        const std::lock_guard<std::mutex> lock(mutex);
        double_releases += outstanding.erase(granted.grant_id) == 1 ? 0 : 1;
        outcomes.push_back(outcome);
    }

    std::mutex mutex;
    std::vector<host> hosts;
    std::size_t next = 0;
    std::uint64_t last_grant = 0;
    std::chrono::milliseconds start_window{1'000};
    std::string refusal_reason = "no_hosts";
    std::set<std::uint64_t> outstanding;
    std::vector<traffic::slot_outcome> outcomes;
    int double_releases = 0;
};

/// Answers every claim with `answer` and records reports.
class fake_claim_client final : public idempotency::claim_client
{
public:
    boost::asio::awaitable<idempotency::claim_answer> claim(std::string, std::uint64_t) override
    {
        co_return answer;
    }

    void report(const std::string& key, verdict outcome,
                const idempotency::stored_answer& stored) override
    {
        const std::lock_guard<std::mutex> lock(mutex);
        reports.emplace_back(key, outcome);
        last_stored = stored;
    }

    idempotency::claim_answer answer{idempotency::claim_decision::admitted, {}};
    std::mutex mutex;
    std::vector<std::pair<std::string, verdict>> reports;
    idempotency::stored_answer last_stored;
};

/// Counts observed requests.
class counting_observer final : public traffic::request_observer
{
public:
    void observe(const traffic::request_record& record) override
    {
        ++requests;
        within_target += record.within_target ? 1 : 0;
        caller_errors += record.caller_error ? 1 : 0;
    }

    std::atomic<int> requests{0};
    std::atomic<int> within_target{0};
    std::atomic<int> caller_errors{0};
};

/// Serves callers on loopback sockets as an entry host does, with stand-ins for backend servers.
class traffic_fixture
{
public:
    explicit traffic_fixture(std::size_t backend_count, int threads = 2)
        : pool(threads), backends(pool.context().get_executor(), {})
    {
        set_snapshot(std::chrono::milliseconds{150});
        for (std::size_t i = 0; i < backend_count; ++i)
        {
            standins::backend_settings settings;
            settings.name = "b" + std::to_string(i);
            settings.service_time = std::chrono::milliseconds{1};
            settings.late_time = std::chrono::milliseconds{300};
            settings.freeze_time = std::chrono::milliseconds{1'000};
            servers.push_back(standins::backend::listen(pool.context().get_executor(),
                                                        address{"127.0.0.1", 0}, settings)
                                  .value());
            slots.hosts.push_back({settings.name, servers.back()->where()});
        }
        traffic::caller_settings settings;
        settings.log_requests = false;
        service = std::make_unique<traffic::caller_service>(
            traffic::caller_environment{snapshot, slots, keys, backends, observer, clock}, "test",
            settings);
        entry = http::server::listen(pool.context().get_executor(), address{"127.0.0.1", 0}, {},
                                     [this](http::request message)
                                     { return service->handle(std::move(message)); })
                    .value();
    }

    ~traffic_fixture()
    {
        pool.stop();
        entry.reset();
        servers.clear();
    }

    /// Publishes a snapshot with the service `shop`.
    void set_snapshot(std::chrono::milliseconds request_timeout)
    {
        std::shared_ptr<routing::snapshot> published = std::make_shared<routing::snapshot>();
        config::service shop;
        shop.name = "shop";
        shop.request_timeout = request_timeout;
        published->services["shop"] = shop;
        snapshot.store(published);
    }

    void set_fault(standins::backend_fault_kind kind, double fraction = 1.0)
    {
        for (const std::shared_ptr<standins::backend>& server : servers)
        {
            server->set_fault({kind, 10.0, fraction});
        }
    }

    http::exchange_result send(http::request message)
    {
        return boost::asio::co_spawn(pool.context(), exchange(std::move(message)),
                                     boost::asio::use_future)
            .get();
    }

    http::exchange_result send(http::method method, std::string_view target,
                               std::initializer_list<std::pair<const char*, std::string>> headers)
    {
        http::request message = http::make_request(
            method, target, method == http::method::post ? "order" : std::string());
        for (const std::pair<const char*, std::string>& header : headers)
        {
            message.insert(header.first, header.second);
        }
        return send(std::move(message));
    }

    [[nodiscard]] std::uint64_t starts_of(std::string_view request_id) const
    {
        std::uint64_t starts = 0;
        for (const std::shared_ptr<standins::backend>& server : servers)
        {
            starts += server->journal().starts_of(request_id);
        }
        return starts;
    }

    boost::asio::awaitable<http::exchange_result> exchange(http::request message)
    {
        const address where = entry->where();
        http::client_connection connection(boost::asio::make_strand(pool.context().get_executor()),
                                           where);
        co_return co_await boost::asio::co_spawn(
            connection.executor(),
            connection.exchange(std::move(message), std::chrono::milliseconds{10'000}),
            boost::asio::use_awaitable);
    }

    system_clock_source clock;
    std::atomic<routing::snapshot_pointer> snapshot;
    fake_slot_source slots;
    fake_claim_client keys;
    counting_observer observer;
    std::vector<std::shared_ptr<standins::backend>> servers;
    std::unique_ptr<traffic::caller_service> service;
    std::shared_ptr<http::server> entry;
    thread_pool pool;
    traffic::backend_pool backends;
};

} // namespace lacewingquay::test
