#include "core/log.hpp"
#include "manager/feed.hpp"
#include "manager/owner_session.hpp"

#include <algorithm>
#include <utility>

namespace lacewingquay::manager
{

namespace
{

/// Interval between a new owner's attempts to read the tables.
constexpr milliseconds load_retry_pause{100};
/// A host that has not loaded the tables in this time lets another one try.
constexpr milliseconds max_load_time{10'000};

} // namespace

boost::asio::awaitable<void> owner_session::load()
{
    const std::shared_ptr<owner_session> self = shared_from_this();
    table_read servers;
    table_read progress;
    while (!ended_)
    {
        servers = co_await read_table(shared_, std::string(servers_table));
        // Not a conditional expression: g++ 12 destroys temporaries of one with co_await twice.
        if (servers.ok)
        {
            progress = co_await read_table(shared_, std::string(progress_table));
        }
        if (servers.ok && progress.ok && shared_.current)
        {
            break;
        }
        co_await sleep_for(shared_, load_retry_pause);
    }
    if (ended_)
    {
        co_return;
    }
    configure();
    for (adapter::row& row : progress.rows)
    {
        std::string key = row.key;
        stored_progress_.emplace(std::move(key), std::move(row));
    }
    stored_servers_ = std::move(servers.rows);
    co_await follow_jobs();
}

boost::asio::awaitable<void> owner_session::renew_while_loading()
{
    const std::shared_ptr<owner_session> self = shared_from_this();
    const ownership_settings timing;
    const steady_time started = shared_.now();
    while (true)
    {
        co_await sleep_for(shared_, timing.renewal);
        if (ended_ || loaded_ || shared_.now() - started > max_load_time)
        {
            co_return;
        }
        const bool is_release = releasing_;
        adapter::transaction work;
        work.conditions.push_back(
            {std::string(owner_table), std::string(owner_key), owner_version_});
        work.writes.push_back(
            {std::string(owner_table), std::string(owner_key),
             serialize_owner({shared_.config.host, term_, is_release, shared_.store_time()})});
        const adapter::commit_result result = co_await shared_.store.commit(work, commit_timeout);
        if (ended_)
        {
            co_return;
        }
        if (result.outcome == adapter::commit_outcome::done)
        {
            shared_.update_store_time(result.store_time, result.requested_at);
            owner_version_ = std::max(owner_version_, result.version);
            last_renewal_ = result.requested_at;
            confirm_ownership(result.requested_at);
            if (is_release)
            {
                end("released");
            }
        }
        else if (result.outcome == adapter::commit_outcome::conflict)
        {
            apply_conflict(result);
        }
        else if (result.outcome == adapter::commit_outcome::unknown)
        {
            commit_in_doubt_ = true;
        }
    }
}

} // namespace lacewingquay::manager
