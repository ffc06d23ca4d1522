#include "manager/owner_session.hpp"

#include "core/log.hpp"
#include "core/parse_or_log.hpp"
#include "job/record_text.hpp"
#include "platform/decode.hpp"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <algorithm>
#include <utility>

namespace lacewingquay::manager
{

namespace
{

constexpr auto nothrow_awaitable = boost::asio::as_tuple(boost::asio::use_awaitable);

/// Least time between two commits, so that changes share transactions.
constexpr milliseconds commit_interval{20};
/// Longest time between two iterations of the commit loop, so that expired leases and due times
/// are noticed.
constexpr milliseconds max_round_interval{100};
/// Progress rows in one transaction; the other entries are its condition, the owner's rows and the
/// removals of expired jobs.
constexpr std::size_t max_progress_rows = 80;
/// Removals of progress rows in one transaction.
constexpr std::size_t max_progress_removals = 15;
static_assert(max_progress_rows + max_progress_removals + 3 <= adapter::max_transaction_entries);
/// Pause between reads of new jobs, so that jobs that arrive together are read together.
constexpr milliseconds jobs_read_interval{5};
/// Bound of one long poll for new jobs. Without new jobs, the counts of waiting jobs that hosts
/// read are older by this.
constexpr milliseconds max_jobs_wait{300};
/// Pause between reads of server registrations.
constexpr milliseconds servers_read_interval{100};

scheduler::settings scheduler_settings(const settings& values)
{
    scheduler::settings result;
    result.lease = std::min(result.lease, values.max_lease);
    result.max_lease = values.max_lease;
    result.max_row_bytes = std::min(values.max_row_bytes, result.max_batch_bytes);
    return result;
}

} // namespace

owner_session::owner_session(context& shared, std::int64_t term, std::int64_t owner_version,
                             steady_time confirmed_at)
    : shared_(shared), scheduler_(scheduler_settings(shared.config)), term_(term),
      owner_version_(owner_version), last_renewal_(confirmed_at), confirmed_at_(confirmed_at),
      sole_ownership_(confirmed_at, least_takeover_time(ownership_settings{})),
      wake_timer_(shared.io.get_executor()), stop_timer_(shared.io.get_executor()),
      progress_rows_(max_progress_rows), starts_(window_for(shared.config.resources))
{
}

void owner_session::start()
{
    boost::asio::co_spawn(
        shared_.io, [self = shared_from_this()] { return self->load(); }, boost::asio::detached);
    boost::asio::co_spawn(
        shared_.io, [self = shared_from_this()] { return self->renew_while_loading(); },
        boost::asio::detached);
}

void owner_session::end(std::string_view reason)
{
    if (ended_)
    {
        return;
    }
    ended_ = true;
    log_event(log_level::warning, "ownership_ended", {{"term", term_}, {"reason", reason}});
    wake_timer_.cancel();
    stop_timer_.cancel();
    for (const auto& entry : poll_timers_)
    {
        entry.second->cancel();
    }
}

void owner_session::observe_term(std::int64_t newest)
{
    if (newest > term_)
    {
        end("another host has taken over");
    }
}

void owner_session::apply_outage_check(const outage_check& check)
{
    observe_term(check.owner_term);
    sole_ownership_.apply(check);
}

void owner_session::confirm_ownership(steady_time requested_at)
{
    confirmed_at_ = requested_at;
    sole_ownership_.confirm(requested_at);
}

void owner_session::configure()
{
    if (shared_.current)
    {
        scheduler_.configure(*shared_.current);
    }
}

void owner_session::release(std::string_view reason)
{
    if (!releasing_)
    {
        log_event(log_level::info, "ownership_handed_over", {{"term", term_}, {"reason", reason}});
    }
    releasing_ = true;
    wake_timer_.cancel();
}

boost::asio::awaitable<void> owner_session::follow_servers()
{
    const std::shared_ptr<owner_session> self = shared_from_this();
    feed_settings feed;
    feed.table = std::string(servers_table);
    feed.pause = []
    {
        return servers_read_interval;
    };
    feed.apply = [self](const table_changes& changes)
    {
        self->apply_servers(changes.rows, changes.is_snapshot);
    };
    feed.after_call = [](bool) {
    };
    feed.is_ended = [self]
    {
        return self->ended_;
    };
    co_await follow_table(shared_, std::move(feed));
}

boost::asio::awaitable<void> owner_session::follow_jobs()
{
    const std::shared_ptr<owner_session> self = shared_from_this();
    feed_settings feed;
    feed.table = std::string(jobs_table);
    feed.max_wait = []
    {
        return max_jobs_wait;
    };
    feed.pause = []
    {
        return jobs_read_interval;
    };
    feed.apply = [self](const table_changes& changes)
    {
        // Adding a server starts polling it, and ended runs of unknown jobs would be acknowledged
        // and lost, so servers and jobs are restored in the same step.
        if (!self->loaded_)
        {
            self->apply_servers(self->stored_servers_, true);
        }
        self->apply_jobs(changes.rows);
        self->covered_ = changes.position;
        if (!self->loaded_)
        {
            self->start_scheduling();
        }
    };
    feed.advanced = [self](const feed_position& position)
    {
        self->covered_ = position;
    };
    feed.after_call = [](bool) {
    };
    feed.is_ended = [self]
    {
        return self->ended_;
    };
    co_await follow_table(shared_, std::move(feed));
}

void owner_session::start_scheduling()
{
    const std::shared_ptr<owner_session> self = shared_from_this();
    loaded_ = true;
    stored_progress_.clear();
    stored_servers_.clear();
    log_event(log_level::info, "ownership_loaded",
              {{"term", term_},
               {"jobs", scheduler_.active_jobs()},
               {"servers", scheduler_.servers().size()}});
    boost::asio::co_spawn(
        shared_.io, [self] { return self->commit_loop(); }, boost::asio::detached);
    boost::asio::co_spawn(
        shared_.io, [self] { return self->stop_loop(); }, boost::asio::detached);
    boost::asio::co_spawn(
        shared_.io, [self] { return self->clean_loop(); }, boost::asio::detached);
    boost::asio::co_spawn(
        shared_.io, [self] { return self->follow_servers(); }, boost::asio::detached);
    boost::asio::co_spawn(
        shared_.io, [self] { return self->follow_cancellations(); }, boost::asio::detached);
}

std::optional<job::progress> owner_session::read_progress(const std::string& id)
{
    std::optional<job::progress> stored;
    const auto first = stored_progress_.find(id);
    if (first != stored_progress_.end())
    {
        stored = parse_or_log("progress_unreadable", id, first->second.version,
                              [&] { return job::parse_progress(first->second.value); });
        if (!stored)
        {
            unreadable_jobs_.insert(id);
        }
    }
    const std::string prefix = job::progress_key(id, 1).substr(0, id.size() + 1);
    for (auto entry = stored_progress_.lower_bound(prefix);
         entry != stored_progress_.end() && entry->first.starts_with(prefix); ++entry)
    {
        const std::optional<std::vector<job::task_progress>> tasks =
            parse_or_log("progress_unreadable", entry->first, entry->second.version,
                         [&] { return job::parse_tasks(entry->second.value); });
        if (!tasks)
        {
            unreadable_jobs_.insert(id);
            continue;
        }
        // The first row may be stored after the others.
        stored = stored ? std::move(stored) : job::progress{};
        stored->tasks.insert(stored->tasks.end(), tasks->begin(), tasks->end());
        stored->further_rows.push_back(job::parse_progress_key(entry->first).second);
    }
    return stored;
}

void owner_session::apply_job(const adapter::row& row)
{
    const std::string id = row.key.substr(job_prefix.size());
    if (unreadable_jobs_.contains(id))
    {
        return;
    }
    const std::optional<job::progress> stored = read_progress(id);
    if (unreadable_jobs_.contains(id))
    {
        log_event(log_level::error, "job_not_scheduled",
                  {{"job", id}, {"reason", "its stored progress cannot be read"}});
        return;
    }
    const bool has_ended =
        stored && job::is_final(stored->reported_state) &&
        std::all_of(stored->tasks.begin(), stored->tasks.end(),
                    [](const job::task_progress& task) { return task.server.empty(); });
    if (has_ended)
    {
        // A former owner has not removed them.
        for (const std::int64_t number : stored->further_rows)
        {
            progress_to_remove_.push_back(job::progress_key(id, number));
        }
    }
    if (row.value.empty())
    {
        // The definition was removed after the job had ended.
        if (stored)
        {
            scheduler_.add_ended(id, stored->ended);
        }
        return;
    }
    std::optional<job::record> record =
        parse_or_log("job_unreadable", row.key, row.version,
                     [&]() -> boost::leaf::result<job::record>
                     {
                         BOOST_LEAF_AUTO(parsed, job::parse_record(row.value));
                         job::record result;
                         result.id = id;
                         result.queue = std::move(parsed.header.source_queue);
                         result.accepted = parsed.header.accepted;
                         BOOST_LEAF_ASSIGN(result.work, adapter::parse_job(parsed.body));
                         return result;
                     });
    if (record)
    {
        const milliseconds age = std::max(milliseconds(0), shared_.store_time() - record->accepted);
        scheduler_.add_job(std::move(*record), stored ? &*stored : nullptr, age, shared_.now());
    }
}

void owner_session::apply_jobs(const std::vector<adapter::row>& rows)
{
    for (const adapter::row& row : rows)
    {
        if (!row.removed && row.key.starts_with(job_prefix) &&
            !scheduler_.knows_job(std::string_view(row.key).substr(job_prefix.size())))
        {
            apply_job(row);
            const auto early = early_cancellations_.find(row.key.substr(job_prefix.size()));
            if (early != early_cancellations_.end())
            {
                cancel_job(row.key.substr(job_prefix.size()), cancellation_age(early->second));
            }
        }
    }
    for (const adapter::row& row : rows)
    {
        if (!row.removed && row.key.starts_with(cancel_prefix))
        {
            apply_cancellation(row);
        }
    }
    if (loaded_)
    {
        send_stops();
    }
    wake_timer_.cancel();
}

bool owner_session::is_usable(const worker::server& info)
{
    // A server that is known goes on with its runs when its pool is removed.
    const bool usable = scheduler_.find_server(info.id) != nullptr || !shared_.current ||
                        shared_.current->has_pool(info.pool);
    if (!usable && unusable_servers_.insert(info.id).second)
    {
        log_event(log_level::warning, "server_not_used",
                  {{"server", info.id},
                   {"pool", info.pool},
                   {"machine", info.machine},
                   {"reason", "no such pool is configured"}});
    }
    return usable;
}

void owner_session::apply_servers(const std::vector<adapter::row>& rows, bool is_snapshot)
{
    const steady_time now = shared_.now();
    std::set<std::string> named;
    for (const adapter::row& row : rows)
    {
        named.insert(row.key);
        if (row.removed)
        {
            scheduler_.remove_server(row.key, now);
            continue;
        }
        const std::optional<worker::server> info =
            parse_or_log("server_unreadable", row.key, row.version,
                         [&] { return adapter::parse_server(row.key, row.value); });
        if (!info || !is_usable(*info))
        {
            continue;
        }
        scheduler_.update_server(*info, now);
        if (!poll_timers_.contains(info->id))
        {
            poll_timers_[info->id] =
                std::make_shared<boost::asio::steady_timer>(shared_.io.get_executor());
            boost::asio::co_spawn(
                shared_.io,
                [self = shared_from_this(), id = info->id] { return self->poll_server(id); },
                boost::asio::detached);
        }
    }
    if (is_snapshot)
    {
        for (const auto& entry : scheduler_.servers())
        {
            if (!named.contains(entry.first))
            {
                scheduler_.remove_server(entry.first, now);
            }
        }
    }
    wake_timer_.cancel();
}

load_summary owner_session::current_load() const
{
    return {covered_.version, covered_.store_time, scheduler_.load(shared_.now())};
}

adapter::transaction owner_session::make_transaction(const scheduler::batch& work, bool renew,
                                                     std::span<const std::string> expired) const
{
    adapter::transaction result;
    result.conditions.push_back({std::string(owner_table), std::string(owner_key), owner_version_});
    for (const scheduler::progress_write& write : work.writes)
    {
        std::string key = job::progress_key(write.job, write.row);
        if (write.text.empty())
        {
            result.removals.push_back({std::string(progress_table), std::move(key)});
        }
        else
        {
            result.writes.push_back({std::string(progress_table), std::move(key), write.text});
        }
    }
    if (renew)
    {
        result.writes.push_back(
            {std::string(owner_table), std::string(owner_key),
             serialize_owner({shared_.config.host, term_, releasing_, shared_.store_time()})});
        result.writes.push_back({std::string(owner_table), std::string(load_key),
                                 serialize_load(current_load(), shared_.config.max_row_bytes)});
    }
    for (const std::string& id : expired)
    {
        result.removals.push_back({std::string(progress_table), id});
    }
    return result;
}

bool owner_session::apply_commit_result(const scheduler::batch& work,
                                        const adapter::commit_result& result, bool renewed)
{
    using adapter::commit_outcome;
    const steady_time now = shared_.now();
    if (result.outcome == commit_outcome::done)
    {
        commit_in_doubt_ = false;
        confirm_ownership(result.requested_at);
        shared_.update_store_time(result.store_time, result.requested_at);
        if (renewed)
        {
            owner_version_ = result.version;
            last_renewal_ = result.requested_at;
            shared_.load.observe(current_load(), result.version);
        }
        for (const scheduler::progress_write& write : work.writes)
        {
            if (write.row == 0)
            {
                shared_.jobs.update(write.job, write.reported_state, result.version);
            }
            if (write.ended)
            {
                shared_.daemon_metrics.observe_job(job::state_name(write.reported_state),
                                                   write.age);
            }
        }
        scheduler_.stored(work, now);
        return true;
    }
    if (result.outcome == commit_outcome::rejected)
    {
        scheduler_.rejected(work, now);
    }
    else
    {
        scheduler_.not_stored(work);
    }
    if (result.outcome == commit_outcome::unknown)
    {
        commit_in_doubt_ = true;
        log_event(log_level::warning, "commit_uncertain",
                  {{"term", term_}, {"rows", work.writes.size()}, {"reason", result.reason}});
    }
    if (result.outcome != commit_outcome::conflict)
    {
        return false;
    }
    apply_conflict(result);
    return false;
}

void owner_session::apply_conflict(const adapter::commit_result& result)
{
    for (const adapter::row& row : result.current)
    {
        const std::optional<owner_row> owner = parse_or_log(
            "owner_unreadable", row.key, row.version, [&] { return parse_owner(row.value); });
        const bool is_ours = owner && owner->host == shared_.config.host && owner->term == term_;
        if (row.key == owner_key && is_ours)
        {
            // A renewal has been performed whose response was lost, or overtaken by this one.
            owner_version_ = row.version;
            return;
        }
    }
    end("another host has taken over");
}

void owner_session::adapt_batches(const scheduler::batch& work, adapter::commit_outcome outcome)
{
    if (outcome == adapter::commit_outcome::rejected)
    {
        progress_rows_ = std::max<std::size_t>(1, work.writes.size() / 2);
    }
    else if (outcome == adapter::commit_outcome::done && !work.writes.empty())
    {
        progress_rows_ = std::min(max_progress_rows, progress_rows_ * 2);
    }
}

std::vector<std::string> owner_session::take_progress_to_remove()
{
    const auto end =
        progress_to_remove_.begin() +
        static_cast<std::ptrdiff_t>(std::min(max_progress_removals, progress_to_remove_.size()));
    std::vector<std::string> keys(progress_to_remove_.begin(), end);
    progress_to_remove_.erase(progress_to_remove_.begin(), end);
    return keys;
}

bool owner_session::may_plan_starts()
{
    const bool held = !knows_cancelled_jobs(evidence());
    if (held != starts_held_)
    {
        starts_held_ = held;
        log_event(log_level::warning, held ? "starts_held" : "starts_resumed",
                  {{"term", term_}, {"jobs_age_ms", jobs_age().count()}});
    }
    return !held;
}

boost::asio::awaitable<void> owner_session::commit_loop()
{
    const std::shared_ptr<owner_session> self = shared_from_this();
    const ownership_settings timing;
    while (!ended_)
    {
        const steady_time now = shared_.now();
        scheduler_.advance(now, shared_.clock.wall_now(), shared_.store_time());
        const bool renew = commit_in_doubt_ || releasing_ || now - last_renewal_ >= timing.renewal;
        const std::size_t max_starts = may_plan_starts() ? starts_.available() : 0;
        // While the store rejects transactions, the ownership is renewed by others.
        const bool renew_alone = renew && progress_rows_ < max_progress_rows;
        const scheduler::batch work =
            renew_alone ? scheduler::batch{} : scheduler_.prepare(now, progress_rows_, max_starts);
        starts_exhausted_ = work.starts.size() >= max_starts;
        for (scheduler::advice_request& request : scheduler_.take_advice_requests())
        {
            advice_requests_.push_back(std::move(request));
        }
        if (!advice_in_progress_ && !advice_requests_.empty())
        {
            advice_in_progress_ = true;
            boost::asio::co_spawn(
                shared_.io, [self] { return self->request_advice(); }, boost::asio::detached);
        }
        if (!work.writes.empty() || renew)
        {
            // A release that is requested during the commit is stored by the next one.
            const bool is_release = releasing_;
            const std::vector<std::string> expired = take_progress_to_remove();
            const adapter::commit_result result = co_await shared_.store.commit(
                make_transaction(work, renew, expired), commit_timeout);
            if (ended_)
            {
                co_return;
            }
            const bool done = apply_commit_result(work, result, renew);
            adapt_batches(work, result.outcome);
            if (!done)
            {
                progress_to_remove_.insert(progress_to_remove_.end(), expired.begin(),
                                           expired.end());
            }
            if (done && is_release)
            {
                end("released");
                co_return;
            }
            if (done)
            {
                send_orders(work);
            }
            else if (!ended_)
            {
                co_await sleep_for(shared_, milliseconds(50));
            }
        }
        else
        {
            scheduler_.stored(work, now);
            send_orders(work);
        }
        const bool idle = work.writes.empty();
        wake_timer_.expires_after(idle ? max_round_interval : commit_interval);
        co_await wake_timer_.async_wait(nothrow_awaitable);
        if (idle)
        {
            // Changes arrive in bursts; waiting briefly lets one transaction cover a burst.
            wake_timer_.expires_after(milliseconds(3));
            co_await wake_timer_.async_wait(nothrow_awaitable);
        }
    }
}

} // namespace lacewingquay::manager
