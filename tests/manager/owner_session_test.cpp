#include "core/base64.hpp"
#include "core/parse_or_log.hpp"
#include "http/server.hpp"
#include "manager/owner_session.hpp"
#include "platform/loopback.hpp"
#include "store_limits.hpp"

#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/json.hpp>
#include <catch2/catch.hpp>

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <thread>
#include <vector>

using namespace lacewingquay;
using namespace lacewingquay::manager;

namespace
{

/// A store without rows that takes some time for each call.
struct slow_store
{
    boost::asio::awaitable<http::response> handle(http::request received)
    {
        const std::string target(received.target());
        const bool is_commit = target.find("rows-tx") != std::string::npos;
        if (is_commit ? refuses_commits : refuses_reads)
        {
            co_return http::make_response(http::status::service_unavailable, "{}");
        }
        commits_started += is_commit ? 1 : 0;
        if (is_commit)
        {
            on_commit();
        }
        if (is_commit && test::exceeds_store_limits(received))
        {
            co_return http::make_response(http::status::bad_request, "{}");
        }
        const milliseconds time = is_commit ? commit_time : read_time;
        if (time.count() > 0)
        {
            boost::asio::steady_timer timer(co_await boost::asio::this_coro::executor, time);
            co_await timer.async_wait(boost::asio::use_awaitable);
        }
        if (is_commit)
        {
            ++version;
            const boost::json::value work = boost::json::parse(received.body());
            for (const boost::json::value& write : work.at("set-keys").as_array())
            {
                if (write.at("key").as_string() == owner_key)
                {
                    owner_rows.push_back(base64_decode(write.at("value").as_string()).value_or(""));
                }
            }
        }
        co_return http::make_response(
            http::status::ok,
            boost::json::serialize(boost::json::object{
                {"rows", boost::json::array{}}, {"row-version", version}, {"now-ms", 1'000}}));
    }

    std::function<void()> on_commit = [] {
    };
    milliseconds commit_time{0};
    milliseconds read_time{0};
    bool refuses_commits = false;
    bool refuses_reads = false;
    std::int64_t version = 10;
    int commits_started = 0;
    /// Values of the owner's row, in the order in which they were written.
    std::vector<std::string> owner_rows;
};

/// A host that has just taken over.
struct new_owner
{
    explicit new_owner(slow_store& store)
    {
        settings values;
        values.host = "host-a";
        values.store = test::free_address();
        server = boost::leaf::try_handle_all(
            [&]() -> boost::leaf::result<std::shared_ptr<http::server>>
            {
                return http::server::listen(io.get_executor(), values.store, {},
                                            [&](http::request received)
                                            { return store.handle(std::move(received)); });
            },
            [] { return std::shared_ptr<http::server>(); });
        REQUIRE(server != nullptr);
        shared = std::make_unique<context>(values, io);
        shared->current = std::make_shared<configuration>();
        session = std::make_shared<owner_session>(*shared, 1, store.version, shared->now());
        session->start();
    }

    template <typename Predicate>
    void run_until(Predicate reached)
    {
        const std::chrono::steady_clock::time_point deadline =
            std::chrono::steady_clock::now() + std::chrono::seconds(10);
        while (!reached() && std::chrono::steady_clock::now() < deadline)
        {
            io.run_one_until(deadline);
        }
        REQUIRE(reached());
    }

    boost::asio::io_context io;
    std::shared_ptr<http::server> server;
    std::unique_ptr<context> shared;
    std::shared_ptr<owner_session> session;
};

std::optional<owner_row> last_owner_row(const slow_store& store)
{
    REQUIRE_FALSE(store.owner_rows.empty());
    return parse_or_log("owner_unreadable", "owner", 1,
                        [&] { return parse_owner(store.owner_rows.back()); });
}

} // namespace

TEST_CASE("a release during a commit is stored before the term ends", "[manager]")
{
    // Guards against a term that ends without a released row, so that its successor waits 2.1 s.
    slow_store store;
    store.commit_time = milliseconds(150);
    new_owner owner(store);
    owner.run_until([&] { return store.commits_started == 1; });
    owner.session->release("test");
    owner.run_until([&] { return owner.session->ended(); });
    const std::optional<owner_row> last = last_owner_row(store);
    REQUIRE(last);
    CHECK(last->released);
}

TEST_CASE("an owner that needs long to load is not taken for failed", "[manager]")
{
    // Guards against hosts that depose each other while each of them loads.
    slow_store store;
    store.read_time = milliseconds(350);
    new_owner owner(store);
    owner.run_until([&] { return owner.session->is_loaded(); });
    REQUIRE(store.owner_rows.size() >= 2);
    CHECK_FALSE(owner.session->ended());
    owner.run_until([&] { return store.owner_rows.size() >= 4; });
    CHECK_FALSE(owner.session->ended());
    CHECK_FALSE(last_owner_row(store)->released);
}

TEST_CASE("an owner that loads can hand over", "[manager]")
{
    slow_store store;
    store.read_time = milliseconds(350);
    new_owner owner(store);
    owner.session->release("test");
    owner.run_until([&] { return owner.session->ended(); });
    CHECK_FALSE(owner.session->is_loaded());
    CHECK(last_owner_row(store)->released);
}

TEST_CASE("an answer that waited while the host was paused does not renew its permissions",
          "[manager]")
{
    // Guards against an owner that wakes from a pause and gives orders after its successor.
    constexpr milliseconds pause{900};
    slow_store store;
    new_owner owner(store);
    owner.run_until([&] { return owner.session->is_loaded(); });
    const int commits = store.commits_started;
    store.on_commit = [&]
    {
        // The whole process stands still while the call is under way.
        std::this_thread::sleep_for(pause);
        store.on_commit = [] {
        };
    };
    const std::int64_t version = owner.session->owner_version();
    owner.run_until([&] { return owner.session->owner_version() != version; });
    REQUIRE(store.commits_started == commits + 1);
    CHECK(owner.session->evidence().confirmed_age >= pause);
}

TEST_CASE("an owner that was paused during its takeover starts with an old permission", "[manager]")
{
    slow_store store;
    new_owner owner(store);
    const owner_session late(*owner.shared, 1, store.version,
                             owner.shared->now() - milliseconds(5'000));
    CHECK_FALSE(late.may_order_machines());
}

TEST_CASE("an owner that loses the store a second time extends no lease without a confirmation",
          "[manager]")
{
    // Guards against a former owner in a zone that is cut off, back for a moment, and cut off
    // again: it kept runs alive that its successor had started elsewhere.
    slow_store store;
    new_owner owner(store);
    owner.run_until([&] { return owner.session->is_loaded(); });
    store.refuses_commits = true;
    const auto age = [&]
    {
        return owner.session->evidence().confirmed_age;
    };
    owner.run_until([&] { return age() > permission_settings{}.lease_age; });
    store.refuses_reads = true;
    owner.run_until([&] { return owner.shared->store_unavailable; });
    CHECK_FALSE(may_extend_leases(owner.session->evidence()));
    store.refuses_commits = false;
    owner.run_until([&] { return age() < milliseconds(500); });
    CHECK(may_extend_leases(owner.session->evidence()));
}

TEST_CASE("an owner that learns of a later term ends its own", "[manager]")
{
    slow_store store;
    new_owner owner(store);
    owner.session->observe_term(owner.session->term());
    CHECK_FALSE(owner.session->ended());
    SECTION("from the store")
    {
        owner.session->observe_term(owner.session->term() + 1);
    }
    SECTION("from another host")
    {
        outage_check check;
        check.owner_term = owner.session->term() + 1;
        owner.session->apply_outage_check(check);
    }
    CHECK(owner.session->ended());
}
