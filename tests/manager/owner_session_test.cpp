#include "core/base64.hpp"
#include "core/parse_or_log.hpp"
#include "http/server.hpp"
#include "manager/owner_session.hpp"
#include "platform/loopback.hpp"

#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/json.hpp>
#include <catch2/catch.hpp>

#include <memory>
#include <string>
#include <vector>

using namespace lacewingquay;
using namespace lacewingquay::manager;

namespace
{

/// A store without rows that takes some time for each transaction.
struct slow_store
{
    boost::asio::awaitable<http::response> handle(http::request received)
    {
        const std::string target(received.target());
        if (target.find("rows-tx") != std::string::npos)
        {
            ++commits_started;
            boost::asio::steady_timer timer(co_await boost::asio::this_coro::executor, commit_time);
            co_await timer.async_wait(boost::asio::use_awaitable);
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

    milliseconds commit_time{150};
    std::int64_t version = 10;
    int commits_started = 0;
    /// Values of the owner's row, in the order in which they were written.
    std::vector<std::string> owner_rows;
};

} // namespace

TEST_CASE("a release during a commit is stored before the term ends", "[manager]")
{
    // Guards against a term that ends without a released row, so that its successor waits 2.1 s.
    boost::asio::io_context io;
    slow_store store;
    settings values;
    values.host = "host-a";
    values.store = test::free_address();
    const std::shared_ptr<http::server> server = boost::leaf::try_handle_all(
        [&]() -> boost::leaf::result<std::shared_ptr<http::server>>
        {
            return http::server::listen(io.get_executor(), values.store, {},
                                        [&](http::request received)
                                        { return store.handle(std::move(received)); });
        },
        [] { return std::shared_ptr<http::server>(); });
    REQUIRE(server != nullptr);
    context shared(values, io);
    shared.current = std::make_shared<configuration>();
    const std::shared_ptr<owner_session> session =
        std::make_shared<owner_session>(shared, 1, store.version);
    session->start();
    const auto run_until = [&](const auto& reached)
    {
        const std::chrono::steady_clock::time_point deadline =
            std::chrono::steady_clock::now() + std::chrono::seconds(10);
        while (!reached() && std::chrono::steady_clock::now() < deadline)
        {
            io.run_one_until(deadline);
        }
        REQUIRE(reached());
    };
    run_until([&] { return store.commits_started == 1; });
    session->release("test");
    run_until([&] { return session->ended(); });
    REQUIRE_FALSE(store.owner_rows.empty());
    const std::optional<owner_row> last = parse_or_log(
        "owner_unreadable", "owner", 1, [&] { return parse_owner(store.owner_rows.back()); });
    REQUIRE(last);
    CHECK(last->released);
}
