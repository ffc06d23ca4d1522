#include "manager/feed.hpp"

#include "core/log.hpp"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <algorithm>
#include <exception>
#include <utility>

namespace lacewingquay::manager
{

namespace
{

/// Pause after a failed call; short compared with the time in which a new configuration must take
/// effect.
constexpr milliseconds retry_pause{150};
/// Partitions read concurrently. A takeover reads 32 of them, which would take 6 s one after
/// another on a slow store.
constexpr std::size_t parallel_reads = 8;

void record_store_call(context& shared, std::string_view table, bool answered,
                       std::string_view reason)
{
    if (answered && shared.store_unavailable)
    {
        shared.store_unavailable = false;
        log_event(log_level::info, "store_regained",
                  {{"table", table},
                   {"away_ms", std::chrono::duration_cast<milliseconds>(
                                   shared.now() - shared.store_unavailable_since)
                                   .count()}});
    }
    else if (!answered && !shared.store_unavailable)
    {
        shared.store_unavailable = true;
        shared.store_unavailable_since = shared.now();
        log_event(log_level::warning, "store_lost", {{"table", table}, {"reason", reason}});
    }
}

} // namespace

boost::asio::awaitable<void> sleep_for(context& shared, milliseconds time)
{
    boost::asio::steady_timer timer(shared.io.get_executor(), time);
    co_await timer.async_wait(boost::asio::as_tuple(boost::asio::use_awaitable));
}

namespace
{

/// State of a full read in progress, shared by the coroutines that read its partitions.
struct table_read_state
{
    std::string table;
    std::size_t next_part = 0;
    bool failed = false;
    table_read result;
};

/// Reads all pages of one partition.
boost::asio::awaitable<void> read_part(context& shared, table_read_state& reading, std::size_t part)
{
    std::string from;
    bool is_first = true;
    bool more = true;
    while (more)
    {
        adapter::read_result page =
            co_await shared.store.read(reading.table, part, from, read_timeout);
        record_store_call(shared, reading.table, page.ok, page.reason);
        if (!page.ok)
        {
            reading.failed = true;
            co_return;
        }
        shared.update_store_time(page.store_time, page.requested_at);
        table_read& result = reading.result;
        if (is_first)
        {
            // The feed continues from the earliest read, so that no later change is missed.
            result.version =
                result.version == 0 ? page.version : std::min(result.version, page.version);
            result.store_time = result.store_time.count() == 0
                                    ? page.store_time
                                    : std::min(result.store_time, page.store_time);
            is_first = false;
        }
        more = page.has_more && !page.rows.empty();
        if (more)
        {
            // Sorts directly after the last key that was read.
            from = page.rows.back().key + '\x01';
        }
        for (adapter::row& row : page.rows)
        {
            result.rows.push_back(std::move(row));
        }
    }
}

boost::asio::awaitable<void> read_next_parts(context& shared, table_read_state& reading)
{
    while (!reading.failed && reading.next_part < adapter::store::parts_of(reading.table))
    {
        co_await read_part(shared, reading, reading.next_part++);
    }
}

} // namespace

boost::asio::awaitable<table_read> read_table(context& shared, std::string table)
{
    table_read_state reading;
    reading.table = std::move(table);
    const std::size_t readers = std::min(parallel_reads, adapter::store::parts_of(reading.table));
    std::size_t running = readers;
    boost::asio::steady_timer finished(shared.io.get_executor(),
                                       std::chrono::steady_clock::time_point::max());
    for (std::size_t reader = 0; reader < readers; ++reader)
    {
        boost::asio::co_spawn(shared.io, read_next_parts(shared, reading),
                              [&](const std::exception_ptr& error)
                              {
                                  reading.failed = reading.failed || error != nullptr;
                                  --running;
                                  finished.cancel();
                              });
    }
    while (running > 0)
    {
        co_await finished.async_wait(boost::asio::as_tuple(boost::asio::use_awaitable));
    }
    reading.result.ok = !reading.failed;
    co_return std::move(reading.result);
}

namespace
{

/// Passes on changes. An exception would end the coroutine, and the table would not be followed any
/// more.
void apply_changes(const feed_settings& feed, const table_changes& changes)
{
    try
    {
        feed.apply(changes);
    }
    catch (const std::exception& error)
    {
        log_event(log_level::error, "changes_not_applied",
                  {{"table", feed.table},
                   {"rows", changes.rows.size()},
                   {"version", changes.position.version},
                   {"reason", error.what()}});
    }
}

} // namespace

boost::asio::awaitable<void> follow_table(context& shared, feed_settings feed)
{
    feed_position position;
    bool has_snapshot = false;
    bool is_behind = false;
    while (!feed.is_ended())
    {
        if (!has_snapshot)
        {
            table_read snapshot = co_await read_table(shared, feed.table);
            if (feed.is_ended())
            {
                co_return;
            }
            feed.after_call(snapshot.ok);
            if (!snapshot.ok || snapshot.version < position.version)
            {
                co_await sleep_for(shared, retry_pause);
                continue;
            }
            has_snapshot = true;
            position = {snapshot.version, snapshot.store_time};
            apply_changes(feed, {snapshot.rows, true, position});
            feed.advanced(position);
            feed.after_call(true);
        }
        const milliseconds call_pause = feed.pause();
        if (call_pause.count() > 0 && !is_behind)
        {
            co_await sleep_for(shared, call_pause);
        }
        adapter::read_result changes = co_await shared.store.watch(feed.table, position.version,
                                                                   feed.max_wait(), read_timeout);
        if (feed.is_ended())
        {
            co_return;
        }
        record_store_call(shared, feed.table, changes.ok || changes.history_lost, changes.reason);
        if (changes.history_lost)
        {
            log_event(log_level::info, "feed_history_lost",
                      {{"table", feed.table}, {"version", position.version}});
            has_snapshot = false;
            continue;
        }
        if (!changes.ok)
        {
            feed.after_call(false);
            co_await sleep_for(shared, retry_pause);
            continue;
        }
        shared.update_store_time(changes.store_time, changes.requested_at);
        // A lagging replica may answer with an earlier version; later changes can be missing then.
        is_behind = changes.has_more;
        if (changes.version >= position.version)
        {
            // Changes that were left out are older than the answer.
            position = {changes.version, is_behind ? position.store_time : changes.store_time};
        }
        if (!changes.rows.empty())
        {
            apply_changes(feed, {changes.rows, false, position});
        }
        feed.advanced(position);
        feed.after_call(true);
    }
}

} // namespace lacewingquay::manager
