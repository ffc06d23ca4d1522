#pragma once

#include "manager/context.hpp"
#include "platform/store.hpp"

#include <boost/asio/awaitable.hpp>

#include <functional>
#include <string>
#include <vector>

namespace lacewingquay::manager
{

/// Changes of a table.
struct table_news
{
    const std::vector<adapter::row>& rows;
    /// After a full read: rows that are not named do not exist.
    bool complete = false;
    /// All changes up to this version have been told.
    std::int64_t version = 0;
};

/// How a table is followed.
struct feed_settings
{
    std::string table;
    /// Longest wait of one call for a change; asked before each.
    std::function<milliseconds()> wait = []
    {
        return milliseconds(1'000);
    };
    /// Least time between two calls; asked before each.
    std::function<milliseconds()> pause;
    /// Takes changed rows in order.
    std::function<void(const table_news& news)> apply;
    /// Called after each call, with whether it was answered.
    std::function<void(bool answered)> after_call;
    /// Ends the feed once it returns true.
    std::function<bool()> ended;
};

/// All rows of a table and the version from which its feed continues.
struct table_read
{
    bool ok = false;
    std::vector<adapter::row> rows;
    std::int64_t version = 0;
};

/// Reads a table over all pages.
boost::asio::awaitable<table_read> read_table(context& shared, std::string table);

/// Follows a table: reads it in full, then its changes; reads it again when the store has dropped
/// the history. Reads that are older than what was seen are repeated. A row that changes during a
/// full read is told after it, as the changes continue from where the read began.
boost::asio::awaitable<void> follow_table(context& shared, feed_settings feed);

} // namespace lacewingquay::manager
