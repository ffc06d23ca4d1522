#include "core/base64.hpp"
#include "http/server.hpp"
#include "manager/feed.hpp"
#include "platform/loopback.hpp"

#include <boost/json.hpp>
#include <catch2/catch.hpp>

#include <map>
#include <stdexcept>
#include <string>
#include <vector>

using namespace lacewingquay;
using namespace lacewingquay::manager;

namespace
{

/// The store cuts off an answer of a feed behind this many rows.
constexpr std::size_t max_feed_rows = 500;

/// An in-memory store with the part of its HTTP interface that feeds use.
class fake_store
{
public:
    /// Called before a partition is read.
    std::function<void(std::string_view part)> before_read;
    /// Feeds that start before this version are refused.
    std::int64_t oldest_history = 0;
    int full_reads = 0;
    /// Added to the store's clock with each answer.
    std::int64_t clock_step = 0;

    void write(const std::string& part, const std::string& key)
    {
        rows_.push_back({part, key, ++version_});
    }

    /// Later answers show the rows as of an earlier version.
    void fall_back() { --version_; }

    /// Another table changes.
    void write_elsewhere() { ++version_; }

    http::response handle(const http::request& received)
    {
        const std::string target(received.target());
        if (target.find("rows-feed") != std::string::npos)
        {
            const std::int64_t after = std::stoll(value_of(target, "after"));
            return after < oldest_history
                       ? http::make_response(http::status::gone, "{}")
                       : rows([&](const entry& row) { return row.version > after; }, max_feed_rows);
        }
        const std::string part = value_of(target, "part");
        before_read(part);
        ++full_reads;
        return rows([&](const entry& row) { return row.part == part; });
    }

private:
    struct entry
    {
        std::string part;
        std::string key;
        std::int64_t version = 0;
    };

    static std::string value_of(const std::string& target, const std::string& name)
    {
        const std::size_t begin = target.find(name + "=") + name.size() + 1;
        return target.substr(begin, target.find('&', begin) - begin);
    }

    template <typename Filter>
    [[nodiscard]] http::response rows(Filter&& filter, std::size_t max_rows = 1'000'000)
    {
        clock_ += clock_step;
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
                listed.emplace_back(boost::json::object{{"table", "jobs"},
                                                        {"part", row.part},
                                                        {"key", row.key},
                                                        {"value", base64_encode("{}")},
                                                        {"row-version", row.version}});
            }
        }
        return http::make_response(
            http::status::ok, boost::json::serialize(boost::json::object{
                                  {"rows", listed}, {"row-version", version}, {"now-ms", clock_}}));
    }

    std::vector<entry> rows_;
    std::int64_t version_ = 0;
    std::int64_t clock_ = 1'000;
};

/// Applying this row throws an exception.
constexpr std::string_view throwing_key = "j/throws";

/// What a feed has delivered.
struct followed
{
    std::vector<std::string> keys;
    std::vector<feed_position> positions;
};

/// Follows the jobs table of `store` until `is_complete`, or for one second.
followed follow_until(fake_store& store,
                      const std::function<bool(const followed& delivered)>& is_complete)
{
    boost::asio::io_context io;
    settings values;
    values.host = "host-a";
    values.store = test::free_address();
    std::shared_ptr<http::server> server = boost::leaf::try_handle_all(
        [&]() -> boost::leaf::result<std::shared_ptr<http::server>>
        {
            return http::server::listen(
                io.get_executor(), values.store, {},
                [&](http::request received) -> boost::asio::awaitable<http::response>
                { co_return store.handle(received); });
        },
        [] { return std::shared_ptr<http::server>(); });
    REQUIRE(server != nullptr);
    context shared(values, io);
    followed delivered;
    const steady_time deadline = shared.now() + std::chrono::seconds(1);
    feed_settings feed;
    feed.table = std::string(jobs_table);
    feed.max_wait = []
    {
        return milliseconds(0);
    };
    feed.pause = []
    {
        return milliseconds(5);
    };
    feed.apply = [&](const table_changes& changes)
    {
        for (const adapter::row& row : changes.rows)
        {
            delivered.keys.push_back(row.key);
            if (row.key == throwing_key)
            {
                throw std::runtime_error("this row cannot be used");
            }
        }
    };
    feed.advanced = [&](const feed_position& position)
    {
        delivered.positions.push_back(position);
    };
    feed.after_call = [](bool) {
    };
    feed.is_ended = [&]
    {
        return is_complete(delivered) || shared.now() > deadline;
    };
    test::run(io,
              [&]() -> boost::asio::awaitable<bool>
              {
                  co_await follow_table(shared, std::move(feed));
                  co_return true;
              }());
    return delivered;
}

/// Follows the jobs table of `store` until `expected` keys were delivered, or for one second.
std::vector<std::string> follow(fake_store& store, std::size_t expected)
{
    return follow_until(store, [expected](const followed& delivered)
                        { return delivered.keys.size() >= expected; })
        .keys;
}

} // namespace

TEST_CASE("a job stored during a full read of the table is delivered after it", "[manager]")
{
    // Guards against jobs that the owner never learns of: they are stored in a partition that a new
    // owner has already read while it still reads the others from a slow store.
    fake_store store;
    store.write("j0", "j/a");
    store.write("j2", "j/b");
    bool added = false;
    store.before_read = [&](std::string_view part)
    {
        if (part == "j3" && !added)
        {
            added = true;
            store.write("j0", "j/late");
        }
    };
    const std::vector<std::string> delivered = follow(store, 3);
    CHECK(std::count(delivered.begin(), delivered.end(), "j/late") == 1);
    CHECK(std::count(delivered.begin(), delivered.end(), "j/a") == 1);
}

TEST_CASE("a feed whose history is lost reads the table again", "[manager]")
{
    fake_store store;
    store.write("j0", "j/a");
    store.before_read = [](std::string_view) {
    };
    store.oldest_history = 100;
    const std::vector<std::string> delivered = follow(store, 2);
    CHECK(delivered.size() >= 2);
    CHECK(store.full_reads >= 8);
}

TEST_CASE("a feed without changes advances, and a full read is as old as its first page",
          "[manager]")
{
    // Guards against positions that stay behind while nothing changes, until their history is
    // dropped, and against counts that pass as newer than what they cover.
    fake_store store;
    store.clock_step = 10;
    store.before_read = [](std::string_view) {
    };
    store.write("j0", "j/a");
    const followed delivered = follow_until(store,
                                            [&](const followed& current)
                                            {
                                                if (current.positions.size() == 2)
                                                {
                                                    store.write_elsewhere();
                                                }
                                                return current.positions.size() >= 4;
                                            });
    REQUIRE(delivered.positions.size() >= 4);
    CHECK(delivered.positions[0].store_time == milliseconds(1'010));
    CHECK(delivered.positions[1].store_time > milliseconds(1'010 + 31 * 10));
    CHECK(delivered.positions[2].store_time > delivered.positions[1].store_time);
    CHECK(delivered.positions[3].version > delivered.positions[1].version);
}

TEST_CASE("an answer that shows an earlier version does not advance a feed", "[manager]")
{
    fake_store store;
    store.clock_step = 10;
    store.before_read = [](std::string_view) {
    };
    store.write_elsewhere();
    store.write_elsewhere();
    const followed delivered = follow_until(store,
                                            [&](const followed& current)
                                            {
                                                if (current.positions.size() == 2)
                                                {
                                                    store.fall_back();
                                                }
                                                return current.positions.size() >= 4;
                                            });
    REQUIRE(delivered.positions.size() >= 4);
    CHECK(delivered.positions[3].version == 2);
    CHECK(delivered.positions[3].store_time == delivered.positions[1].store_time);
}

TEST_CASE("a feed is as old as its last complete answer while changes are left out", "[manager]")
{
    // Guards against an owner that starts cancelled jobs, and against counts that pass as current,
    // as the store cuts off long answers: they show their own time, not that of their last change.
    fake_store store;
    store.clock_step = 10;
    store.before_read = [](std::string_view) {
    };
    bool added = false;
    const followed delivered =
        follow_until(store,
                     [&](const followed& current)
                     {
                         if (!current.positions.empty() && !added)
                         {
                             added = true;
                             for (int row = 0; row < 1'200; ++row)
                             {
                                 store.write("j0", "j/" + std::to_string(row));
                             }
                         }
                         return current.keys.size() >= 1'200;
                     });
    REQUIRE(delivered.keys.size() == 1'200);
    REQUIRE(delivered.positions.size() >= 4);
    const std::size_t last = delivered.positions.size() - 1;
    // Two answers of 500 rows, then the rest.
    CHECK(delivered.positions[last - 1].version < delivered.positions[last].version);
    CHECK(delivered.positions[last - 1].store_time == delivered.positions[last - 2].store_time);
    CHECK(delivered.positions[last - 2].store_time == delivered.positions[last - 3].store_time);
    CHECK(delivered.positions[last].store_time > delivered.positions[last - 1].store_time);
}

TEST_CASE("a feed goes on after a change that cannot be applied", "[manager]")
{
    // Guards against a host that follows a list no more, without ending, because of one entry.
    fake_store store;
    store.before_read = [](std::string_view) {
    };
    store.write("j0", std::string(throwing_key));
    bool added = false;
    const followed delivered =
        follow_until(store,
                     [&](const followed& current)
                     {
                         if (!current.keys.empty() && !added)
                         {
                             added = true;
                             store.write("j0", "j/next");
                         }
                         return std::count(current.keys.begin(), current.keys.end(), "j/next") > 0;
                     });
    CHECK(std::count(delivered.keys.begin(), delivered.keys.end(), "j/next") == 1);
}
