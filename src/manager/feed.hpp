#pragma once

#include "manager/context.hpp"
#include "platform/store.hpp"

#include <boost/asio/awaitable.hpp>

#include <functional>
#include <string>
#include <vector>

namespace lacewingquay::manager
{

/// How far a feed has been delivered.
struct feed_position
{
    /// All changes up to this version have been delivered.
    std::int64_t version = 0;
    /// All changes before this time have been delivered; on the store's steady clock.
    milliseconds store_time{0};
};

/// A set of row changes of a table.
struct table_changes
{
    const std::vector<adapter::row>& rows;
    /// The rows come from a full read: rows that are not listed do not exist.
    bool is_snapshot = false;
    /// Position of the feed after these changes.
    feed_position position;
};

/// Parameters and callbacks of `follow_table`.
struct feed_settings
{
    std::string table;
    /// Returns the longest time that the next call waits for a change.
    std::function<milliseconds()> max_wait = []
    {
        return milliseconds(1'000);
    };
    /// Returns the pause before the next call.
    std::function<milliseconds()> pause;
    /// Receives the rows of a full read, then changed rows in order. Rows may be repeated.
    std::function<void(const table_changes& changes)> apply;
    /// Called after each successful call, also one without changes.
    std::function<void(const feed_position& position)> advanced = [](const feed_position&) {
    };
    /// Called after each call to the store with whether it succeeded.
    std::function<void(bool answered)> after_call;
    /// The feed ends once this returns true.
    std::function<bool()> is_ended;
};

/// All rows of a table and the version from which its change feed continues.
struct table_read
{
    bool ok = false;
    std::vector<adapter::row> rows;
    std::int64_t version = 0;
    /// Rows stored before this time are included; on the store's steady clock.
    milliseconds store_time{0};
};

/// Reads all pages of all partitions of a table.
boost::asio::awaitable<table_read> read_table(context& shared, std::string table);

/// Follows a table: reads it in full, then its change feed; reads it in full again if the store no
/// longer has the history. A full read older than the rows already delivered is repeated. Rows that
/// change during a full read are delivered after it, as the feed continues from where it began.
boost::asio::awaitable<void> follow_table(context& shared, feed_settings feed);

} // namespace lacewingquay::manager
