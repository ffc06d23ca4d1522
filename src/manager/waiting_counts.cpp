#include "manager/waiting_counts.hpp"

#include "core/log.hpp"
#include "core/parse_or_log.hpp"
#include "job/progress.hpp"
#include "job/record_text.hpp"
#include "manager/feed.hpp"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <map>
#include <set>
#include <utility>

namespace lacewingquay::manager
{

namespace
{

constexpr auto nothrow_awaitable = boost::asio::as_tuple(boost::asio::use_awaitable);

/// The platform allows counts of waiting jobs to be 2 s old.
constexpr milliseconds max_count_age{2'000};
/// Counts older than this are brought up to date before an answer.
constexpr milliseconds refresh_age{1'500};
constexpr milliseconds failure_log_interval{1'000};
/// The owner may replace the counts during a refresh, which then starts from the new ones.
constexpr int refresh_attempts = 3;

using queue_counts = std::map<std::string, std::int64_t, std::less<>>;

/// Name of the queue of a job row; empty if the row is not an unfinished job's.
std::string queue_of(const adapter::row& row)
{
    if (row.removed || row.value.empty() || !row.key.starts_with(job_prefix))
    {
        return {};
    }
    const std::optional<job::parsed_record> record = parse_or_log(
        "job_unreadable", row.key, row.version, [&] { return job::parse_record(row.value); });
    return record ? record->header.source_queue.name : std::string();
}

/// Adds the ids of jobs that have begun or ended.
void add_begun_jobs(const table_read& progress, std::set<std::string, std::less<>>& ids)
{
    for (const adapter::row& row : progress.rows)
    {
        if (job::parse_progress_key(row.key).second > 0)
        {
            continue;
        }
        const std::optional<job::progress> stored =
            parse_or_log("progress_unreadable", row.key, row.version,
                         [&] { return job::parse_progress(row.value); });
        if (!stored || stored->begun || job::is_final(stored->reported_state))
        {
            ids.insert(row.key);
        }
    }
}

/// Adds the ids of cancelled jobs.
void add_cancelled_jobs(const table_read& jobs, std::set<std::string, std::less<>>& ids)
{
    for (const adapter::row& row : jobs.rows)
    {
        if (!row.removed && row.key.starts_with(cancel_prefix))
        {
            ids.insert(row.key.substr(cancel_prefix.size()));
        }
    }
}

} // namespace

boost::asio::awaitable<std::optional<std::int64_t>> waiting_counts::count(job::queue queue,
                                                                          steady_time deadline)
{
    const std::optional<std::int64_t> current =
        shared_.load.waiting(queue, refresh_age, shared_.store_time());
    if (current)
    {
        co_return current;
    }
    const std::shared_ptr<pending_request> request = std::make_shared<pending_request>(
        boost::asio::steady_timer(shared_.io.get_executor(), deadline - shared_.now()));
    pending_.push_back(request);
    if (!refreshing_)
    {
        refreshing_ = true;
        boost::asio::co_spawn(
            shared_.io, [this, queue] { return refresh(queue); }, boost::asio::detached);
    }
    if (!request->done)
    {
        co_await request->completed.async_wait(nothrow_awaitable);
    }
    std::erase(pending_, request);
    co_return shared_.load.waiting(queue, max_count_age, shared_.store_time());
}

boost::asio::awaitable<void> waiting_counts::refresh(job::queue queue)
{
    const std::optional<milliseconds> age_before = shared_.load.age(shared_.store_time());
    const refresh_result result = co_await read_counts(queue);
    log_refresh(queue, age_before, result);
    refreshing_ = false;
    for (const std::shared_ptr<pending_request>& request : std::exchange(pending_, {}))
    {
        request->done = true;
        request->completed.cancel();
    }
}

boost::asio::awaitable<waiting_counts::refresh_result>
waiting_counts::read_counts(const job::queue& queue)
{
    refresh_result result;
    for (int attempt = 0; attempt < refresh_attempts; ++attempt)
    {
        if (shared_.store_unavailable)
        {
            result.outcome = "store_unavailable";
            co_return result;
        }
        result.outcome = co_await add_new_jobs();
        if (result.outcome == "history_lost" ||
            (result.outcome == "done" && !shared_.load.lists(queue)))
        {
            result.source = "tables";
            result.outcome = co_await recount();
            if (result.outcome == "done")
            {
                // The full read may have taken long.
                result.outcome = co_await add_new_jobs();
            }
        }
        if (result.outcome == "partial")
        {
            // Each attempt brings the counts forward.
            --attempt;
            continue;
        }
        if (result.outcome != "superseded")
        {
            co_return result;
        }
        if (shared_.load.waiting(queue, refresh_age, shared_.store_time()))
        {
            co_return refresh_result{"owner", "done"};
        }
    }
    co_return result;
}

boost::asio::awaitable<std::string_view> waiting_counts::add_new_jobs()
{
    const std::int64_t from = shared_.load.covered_version();
    const adapter::read_result changes =
        co_await shared_.store.watch(jobs_table, from, milliseconds(0), read_timeout);
    if (!changes.ok)
    {
        co_return changes.history_lost ? "history_lost" : "read_failed";
    }
    shared_.update_store_time(changes.store_time, changes.requested_at);
    queue_counts added;
    for (const adapter::row& row : changes.rows)
    {
        const std::string name = queue_of(row);
        if (!name.empty())
        {
            ++added[name];
        }
    }
    if (shared_.load.covered_version() != from)
    {
        co_return "superseded";
    }
    if (changes.version < from)
    {
        co_return "stale_read";
    }
    // Changes that were left out are older than the answer.
    shared_.load.add_waiting(added, changes.version,
                             changes.has_more ? milliseconds(0) : changes.store_time);
    co_return changes.has_more ? "partial" : "done";
}

boost::asio::awaitable<std::string_view> waiting_counts::recount()
{
    const std::int64_t from = shared_.load.covered_version();
    // Jobs that begin or end during the reads are found in the later one.
    const table_read jobs = co_await read_table(shared_, std::string(jobs_table));
    if (!jobs.ok)
    {
        co_return "read_failed";
    }
    const table_read progress = co_await read_table(shared_, std::string(progress_table));
    if (!progress.ok)
    {
        co_return "read_failed";
    }
    if (jobs.version < from)
    {
        co_return "stale_read";
    }
    std::set<std::string, std::less<>> not_waiting;
    add_begun_jobs(progress, not_waiting);
    add_cancelled_jobs(jobs, not_waiting);
    queue_counts counts;
    for (const adapter::row& row : jobs.rows)
    {
        const std::string name = queue_of(row);
        if (!name.empty() &&
            !not_waiting.contains(std::string_view(row.key).substr(job_prefix.size())))
        {
            ++counts[name];
        }
    }
    shared_.load.add_full_count(std::move(counts), jobs.version, jobs.store_time);
    co_return "done";
}

void waiting_counts::log_refresh(const job::queue& queue, std::optional<milliseconds> age_before,
                                 const refresh_result& result)
{
    shared_.daemon_metrics.observe_count_refresh(result.outcome);
    const bool failed = result.outcome != "done";
    const steady_time now = shared_.now();
    if (failed && now < next_failure_log_)
    {
        return;
    }
    if (failed)
    {
        next_failure_log_ = now + failure_log_interval;
    }
    const milliseconds unknown{-1};
    log_event(failed ? log_level::warning : log_level::info, "waiting_refreshed",
              {{"queue", queue.name},
               {"waiting", shared_.load.load_of(queue).waiting},
               {"covered_version", shared_.load.covered_version()},
               {"age_before_ms", age_before.value_or(unknown).count()},
               {"age_ms", shared_.load.age(shared_.store_time()).value_or(unknown).count()},
               {"source", result.source},
               {"outcome", result.outcome}});
}

} // namespace lacewingquay::manager
