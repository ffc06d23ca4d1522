#include "core/log.hpp"
#include "manager/owner_session.hpp"

#include <algorithm>
#include <functional>
#include <string>
#include <vector>

namespace lacewingquay::manager
{

namespace
{

/// Ended jobs are cleaned up in batches; the only cost of leftover rows is a slower takeover.
constexpr milliseconds clean_interval{10'000};
constexpr std::size_t max_clean_entries = 90;

} // namespace

boost::asio::awaitable<void> owner_session::clean_loop()
{
    const std::shared_ptr<owner_session> self = shared_from_this();
    std::vector<std::string> ended;
    std::vector<std::string> expired;
    while (!ended_)
    {
        co_await sleep_for(shared_, clean_interval);
        if (ended_ || releasing_ || shared_.store_unavailable)
        {
            continue;
        }
        for (std::string& id : scheduler_.take_ended())
        {
            ended.push_back(std::move(id));
        }
        for (std::string& id :
             scheduler_.take_expired(shared_.store_time(), shared_.config.result_retention))
        {
            expired.push_back(std::move(id));
        }
        for (std::size_t partition = 0; partition < adapter::store::parts_of(jobs_table);
             ++partition)
        {
            co_await clean_partition(partition, ended, expired);
        }
    }
}

boost::asio::awaitable<void> owner_session::clean_partition(std::size_t partition,
                                                            std::vector<std::string>& ended,
                                                            std::vector<std::string>& expired)
{
    const auto belongs = [partition](const std::string& id)
    {
        return adapter::store::group_of(id) == partition;
    };
    const auto ended_here = std::stable_partition(ended.begin(), ended.end(), std::not_fn(belongs));
    const auto expired_here =
        std::stable_partition(expired.begin(), expired.end(), std::not_fn(belongs));
    adapter::transaction work;
    std::size_t dropped = 0;
    std::size_t removed = 0;
    for (auto id = ended_here; id != ended.end() && work.size() < max_clean_entries; ++id)
    {
        // The row stays without its definition, so that a late retry of the caller finds the job.
        work.writes.push_back({std::string(jobs_table), std::string(job_prefix) + *id, ""});
        ++dropped;
    }
    for (auto id = expired_here; id != expired.end() && work.size() < max_clean_entries; ++id)
    {
        work.removals.push_back({std::string(jobs_table), std::string(job_prefix) + *id});
        work.removals.push_back({std::string(jobs_table), std::string(cancel_prefix) + *id});
        work.removals.push_back({std::string(cancellations_table), *id});
        ++removed;
    }
    if (work.size() == 0)
    {
        co_return;
    }
    const adapter::commit_result result = co_await shared_.store.commit(work, commit_timeout);
    if (result.outcome != adapter::commit_outcome::done)
    {
        log_event(log_level::warning, "jobs_not_cleaned",
                  {{"ended", dropped}, {"expired", removed}, {"reason", result.reason}});
        co_return;
    }
    ended.erase(ended_here, ended_here + static_cast<std::ptrdiff_t>(dropped));
    // Progress is removed after the job: a job without progress would run again.
    const auto end = expired_here + static_cast<std::ptrdiff_t>(removed);
    progress_to_remove_.insert(progress_to_remove_.end(), expired_here, end);
    expired.erase(expired_here, end);
}

} // namespace lacewingquay::manager
