#include "core/log.hpp"
#include "core/parse_or_log.hpp"
#include "job/record_text.hpp"
#include "manager/owner_session.hpp"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <algorithm>
#include <map>
#include <string_view>
#include <utility>

namespace lacewingquay::manager
{

namespace
{

constexpr auto nothrow_awaitable = boost::asio::as_tuple(boost::asio::use_awaitable);

/// Longest time until a stop that has become due is sent or repeated.
constexpr milliseconds stop_check_interval{100};
/// Bound of one long poll for cancellations.
constexpr milliseconds max_cancellations_wait{500};
/// Pause between reads of cancellations, so that those that arrive together are read together.
constexpr milliseconds cancellations_read_interval{10};
/// Pause after a failed read of cancellations.
constexpr milliseconds failed_read_pause{150};

/// Writes one line for each job, as a cancelled job may have many runs.
void log_stops(std::span<const worker::stop_order> orders)
{
    struct summary
    {
        std::size_t runs = 0;
        std::size_t repeated = 0;
        milliseconds due_for{0};
    };
    std::map<std::string_view, summary> jobs;
    for (const worker::stop_order& order : orders)
    {
        summary& job = jobs[order.task.job];
        ++job.runs;
        job.repeated += order.attempt > 1 ? 1 : 0;
        job.due_for = std::max(job.due_for, order.due_for);
    }
    for (const std::pair<const std::string_view, summary>& entry : jobs)
    {
        log_event(log_level::info, "stops_sent",
                  {{"job", entry.first},
                   {"runs", entry.second.runs},
                   {"repeated", entry.second.repeated},
                   {"due_for_ms", entry.second.due_for.count()}});
    }
}

} // namespace

std::optional<milliseconds> owner_session::cancellation_age(const adapter::row& row) const
{
    const std::optional<std::optional<milliseconds>> cancelled =
        parse_or_log("cancellation_unreadable", row.key, row.version,
                     [&] { return job::parse_cancellation(row.value); });
    if (!cancelled || !*cancelled)
    {
        return std::nullopt;
    }
    return std::max(milliseconds(0), shared_.store_time() - **cancelled);
}

void owner_session::cancel_job(const std::string& id, std::optional<milliseconds> age)
{
    early_cancellations_.erase(id);
    const bool is_new = scheduler_.cancel_job(id, shared_.store_time(), age);
    // A takeover reads the cancellations of former terms too.
    if (is_new && age && loaded_)
    {
        shared_.daemon_metrics.observe_cancellation(*age);
    }
}

void owner_session::apply_cancellation(const adapter::row& row)
{
    cancel_job(row.key.substr(cancel_prefix.size()), cancellation_age(row));
}

void owner_session::apply_early_cancellations(std::span<const adapter::row> rows)
{
    for (const adapter::row& row : rows)
    {
        // The feed of the jobs has delivered what it covers.
        if (row.removed || row.version <= covered_.version)
        {
            continue;
        }
        if (scheduler_.knows_job(row.key))
        {
            cancel_job(row.key, cancellation_age(row));
        }
        else
        {
            early_cancellations_.emplace(row.key, row);
        }
    }
    if (!rows.empty())
    {
        send_stops();
        wake_timer_.cancel();
    }
}

boost::asio::awaitable<void> owner_session::follow_cancellations()
{
    const std::shared_ptr<owner_session> self = shared_from_this();
    std::int64_t version = covered_.version;
    bool is_read = true;
    while (!ended_)
    {
        const adapter::read_result changes = co_await shared_.store.watch(
            cancellations_table, version, max_cancellations_wait, read_timeout);
        if (ended_)
        {
            co_return;
        }
        if (changes.ok)
        {
            shared_.update_store_time(changes.store_time, changes.requested_at);
            apply_early_cancellations(changes.rows);
        }
        if (changes.ok != is_read)
        {
            is_read = changes.ok;
            log_event(log_level::warning,
                      is_read ? "cancellations_read_again" : "cancellations_not_read",
                      {{"term", term_}, {"version", version}, {"reason", changes.reason}});
        }
        // Without the history, the feed of the jobs has what was missed.
        version = std::max(version, changes.history_lost ? covered_.version : changes.version);
        co_await sleep_for(shared_, changes.ok ? cancellations_read_interval : failed_read_pause);
    }
}

void owner_session::send_stops()
{
    std::vector<worker::stop_order> orders = scheduler_.take_stops(shared_.now());
    log_stops(orders);
    for (worker::stop_order& order : orders)
    {
        counters_.repeated_stops += order.attempt > 1 ? 1 : 0;
        boost::asio::co_spawn(
            shared_.io,
            [self = shared_from_this(), stop = std::move(order)]() mutable
            { return self->send_stop(std::move(stop)); },
            boost::asio::detached);
    }
}

boost::asio::awaitable<void> owner_session::stop_loop()
{
    const std::shared_ptr<owner_session> self = shared_from_this();
    while (!ended_)
    {
        send_stops();
        stop_timer_.expires_after(stop_check_interval);
        co_await stop_timer_.async_wait(nothrow_awaitable);
    }
}

} // namespace lacewingquay::manager
