#include "manager/session.hpp"

#include "core/log.hpp"
#include "job/record_text.hpp"
#include "manager/feed.hpp"
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

constexpr auto waiting = boost::asio::as_tuple(boost::asio::use_awaitable);

/// Least time between two commits: more changes share one transaction.
constexpr milliseconds commit_interval{20};
/// Longest time between two rounds of the commit loop, for leases and due times.
constexpr milliseconds longest_round{100};
/// Rows of progress in one transaction; the rest of its entries are conditions and the owner's row.
constexpr std::size_t max_progress_rows = 90;

} // namespace

session::session(context& shared, std::int64_t term, std::int64_t owner_version)
    : shared_(shared), scheduler_(scheduler::settings{}), term_(term),
      owner_version_(owner_version), last_renewal_(shared.now()), last_commit_(shared.now()),
      wake_(shared.io.get_executor())
{
}

void session::start()
{
    boost::asio::co_spawn(
        shared_.io, [self = shared_from_this()] { return self->load(); }, boost::asio::detached);
}

void session::end(std::string_view reason)
{
    if (ended_)
    {
        return;
    }
    ended_ = true;
    log_event(log_level::warning, "ownership_ended", {{"term", term_}, {"reason", reason}});
    wake_.cancel();
    for (const auto& entry : served_)
    {
        entry.second->cancel();
    }
}

void session::configure()
{
    if (shared_.current)
    {
        scheduler_.configure(*shared_.current);
    }
}

void session::release()
{
    releasing_ = true;
    wake_.cancel();
}

boost::asio::awaitable<void> session::load()
{
    const std::shared_ptr<session> self = shared_from_this();
    table_read servers;
    table_read progress;
    table_read jobs;
    while (!ended_)
    {
        servers = co_await read_table(shared_, std::string(servers_table));
        // g++ 12 destroys the temporaries of a conditional expression with co_await twice.
        if (servers.ok)
        {
            progress = co_await read_table(shared_, std::string(progress_table));
        }
        if (servers.ok && progress.ok)
        {
            jobs = co_await read_table(shared_, std::string(jobs_table));
        }
        if (servers.ok && progress.ok && jobs.ok && jobs.version >= owner_version_ &&
            shared_.current)
        {
            break;
        }
        co_await pause(shared_, milliseconds(100));
    }
    if (ended_)
    {
        co_return;
    }
    configure();
    apply_servers(servers.rows, true);
    std::map<std::string, const adapter::row*> stored;
    for (const adapter::row& row : progress.rows)
    {
        stored[row.key] = &row;
    }
    for (const adapter::row& row : jobs.rows)
    {
        if (!row.key.starts_with(job_prefix))
        {
            continue;
        }
        const auto found = stored.find(row.key.substr(job_prefix.size()));
        const job::progress* known = nullptr;
        job::progress parsed;
        if (found != stored.end())
        {
            known = boost::leaf::try_handle_all(
                [&]() -> boost::leaf::result<const job::progress*>
                {
                    BOOST_LEAF_ASSIGN(parsed, job::parse_progress(found->second->value));
                    return &parsed;
                },
                [&](const input_error& error) -> const job::progress*
                {
                    log_event(log_level::error, "progress_unreadable",
                              {{"job", found->first}, {"reason", error.message()}});
                    return nullptr;
                },
                []() -> const job::progress* { return nullptr; });
        }
        apply_job(row, known);
    }
    loaded_ = true;
    const std::vector<adapter::row> held = intake_.open();
    apply_jobs(jobs.rows);
    apply_jobs(held);
    log_event(log_level::info, "ownership_loaded",
              {{"term", term_},
               {"jobs", scheduler_.active_jobs()},
               {"servers", scheduler_.servers().size()}});
    boost::asio::co_spawn(
        shared_.io, [self] { return self->commit_loop(); }, boost::asio::detached);
    feed_settings feed;
    feed.table = std::string(servers_table);
    feed.pause = []
    {
        return milliseconds(100);
    };
    feed.apply = [self](const std::vector<adapter::row>& rows, bool complete)
    {
        self->apply_servers(rows, complete);
    };
    feed.after_call = [](bool) {
    };
    feed.ended = [self]
    {
        return self->ended_;
    };
    co_await follow_table(shared_, std::move(feed));
}

void session::apply_job(const adapter::row& row, const job::progress* stored)
{
    boost::leaf::try_handle_all(
        [&]() -> boost::leaf::result<void>
        {
            BOOST_LEAF_AUTO(split, job::parse_record(row.value));
            job::record record;
            record.id = row.key.substr(job_prefix.size());
            record.queue = std::move(split.head.from);
            record.accepted = split.head.accepted;
            BOOST_LEAF_ASSIGN(record.work, adapter::parse_job(split.body));
            const milliseconds age =
                std::max(milliseconds(0), shared_.store_time() - record.accepted);
            scheduler_.add_job(std::move(record), stored, age, shared_.now());
            return {};
        },
        [&](const input_error& error)
        {
            log_event(log_level::error, "job_unreadable",
                      {{"key", row.key}, {"version", row.version}, {"reason", error.message()}});
        },
        [&] {
            log_event(log_level::error, "job_unreadable", {{"key", row.key}});
        });
}

void session::apply_jobs(const std::vector<adapter::row>& changed)
{
    if (ended_)
    {
        return;
    }
    const std::vector<adapter::row> rows = intake_.take(changed);
    for (const adapter::row& row : rows)
    {
        if (!row.removed && row.key.starts_with(job_prefix) &&
            !scheduler_.knows_job(std::string_view(row.key).substr(job_prefix.size())))
        {
            apply_job(row, nullptr);
        }
    }
    for (const adapter::row& row : rows)
    {
        if (!row.removed && row.key.starts_with(cancel_prefix))
        {
            scheduler_.cancel_job(std::string_view(row.key).substr(cancel_prefix.size()),
                                  shared_.store_time());
        }
    }
    wake_.cancel();
}

void session::apply_servers(const std::vector<adapter::row>& rows, bool complete)
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
        boost::leaf::try_handle_all(
            [&]() -> boost::leaf::result<void>
            {
                BOOST_LEAF_AUTO(info, adapter::parse_server(row.key, row.value));
                scheduler_.update_server(info, now);
                if (!served_.contains(info.id))
                {
                    served_[info.id] =
                        std::make_shared<boost::asio::steady_timer>(shared_.io.get_executor());
                    boost::asio::co_spawn(
                        shared_.io,
                        [self = shared_from_this(), id = info.id] { return self->serve(id); },
                        boost::asio::detached);
                }
                return {};
            },
            [&](const input_error& error)
            {
                log_event(
                    log_level::warning, "server_unreadable",
                    {{"server", row.key}, {"version", row.version}, {"reason", error.message()}});
            },
            [] {});
    }
    if (complete)
    {
        for (const auto& entry : scheduler_.servers())
        {
            if (!named.contains(entry.first))
            {
                scheduler_.remove_server(entry.first, now);
            }
        }
    }
    wake_.cancel();
}

adapter::transaction session::make_transaction(const scheduler::batch& work, bool renew,
                                               const std::vector<std::string>& expired) const
{
    adapter::transaction result;
    result.conditions.push_back({std::string(jobs_table), std::string(owner_key), owner_version_});
    for (const scheduler::progress_write& write : work.writes)
    {
        result.writes.push_back({std::string(progress_table), write.job, write.text});
    }
    if (renew)
    {
        result.writes.push_back(
            {std::string(jobs_table), std::string(owner_key),
             serialize_owner({shared_.config.host, term_, releasing_, shared_.store_time()})});
    }
    for (const std::string& id : expired)
    {
        result.removals.push_back({std::string(progress_table), id});
    }
    return result;
}

bool session::take_commit(const scheduler::batch& work, const adapter::commit_result& result,
                          bool renewed)
{
    using adapter::commit_outcome;
    const steady_time now = shared_.now();
    if (result.outcome == commit_outcome::done)
    {
        ++counters_.commits;
        commit_in_doubt_ = false;
        last_commit_ = now;
        shared_.note_store_time(result.store_time);
        if (renewed)
        {
            owner_version_ = result.version;
            last_renewal_ = now;
        }
        for (const scheduler::progress_write& write : work.writes)
        {
            shared_.jobs.set_state(write.job, write.shown, result.version);
            if (write.ended)
            {
                shared_.measured.observe_job(job::state_name(write.shown), write.age);
            }
        }
        scheduler_.stored(work, now);
        return true;
    }
    scheduler_.not_stored(work);
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
    for (const adapter::row& row : result.current)
    {
        const bool is_ours = boost::leaf::try_handle_all(
            [&]() -> boost::leaf::result<bool>
            {
                BOOST_LEAF_AUTO(owner, parse_owner(row.value));
                return owner.host == shared_.config.host && owner.term == term_;
            },
            [] { return false; });
        if (row.key == owner_key && is_ours && row.version != owner_version_)
        {
            // An earlier renewal without an answer was performed.
            owner_version_ = row.version;
            return false;
        }
    }
    end("another host has taken over");
    return false;
}

boost::asio::awaitable<void> session::commit_loop()
{
    const std::shared_ptr<session> self = shared_from_this();
    const ownership_settings timing;
    while (!ended_)
    {
        const steady_time now = shared_.now();
        scheduler_.advance(now, shared_.clock.wall_now(), shared_.store_time());
        for (worker::stop_order& order : scheduler_.take_stops(now))
        {
            boost::asio::co_spawn(
                shared_.io,
                [self, stop = std::move(order)]() mutable
                { return self->send_stop(std::move(stop)); },
                boost::asio::detached);
        }
        const scheduler::batch work = scheduler_.prepare(now, max_progress_rows);
        for (scheduler::advice_request& request : scheduler_.take_advice_requests())
        {
            questions_.push_back(std::move(request));
        }
        if (!asking_ && !questions_.empty())
        {
            asking_ = true;
            boost::asio::co_spawn(
                shared_.io, [self] { return self->ask_advice(); }, boost::asio::detached);
        }
        const bool renew = commit_in_doubt_ || releasing_ || now - last_renewal_ >= timing.renewal;
        if (!work.writes.empty() || renew)
        {
            const std::vector<std::string> expired = std::exchange(removed_jobs_, {});
            const adapter::commit_result result = co_await shared_.store.commit(
                make_transaction(work, renew, expired), commit_timeout);
            if (ended_)
            {
                co_return;
            }
            const bool done = take_commit(work, result, renew);
            if (done && releasing_)
            {
                end("handed over");
                co_return;
            }
            if (done)
            {
                dispatch(work);
                for (const std::string& id :
                     scheduler_.take_expired(shared_.store_time(), shared_.config.result_retention))
                {
                    co_await remove_job(id);
                }
            }
            else if (!ended_)
            {
                co_await pause(shared_, milliseconds(50));
            }
        }
        else
        {
            scheduler_.stored(work, now);
            dispatch(work);
        }
        const bool idle = work.writes.empty();
        wake_.expires_after(idle ? longest_round : commit_interval);
        co_await wake_.async_wait(waiting);
        if (idle)
        {
            // News come in groups; one transaction takes them together.
            wake_.expires_after(milliseconds(3));
            co_await wake_.async_wait(waiting);
        }
    }
}

boost::asio::awaitable<void> session::remove_job(std::string id)
{
    adapter::transaction work;
    work.removals.push_back({std::string(jobs_table), std::string(job_prefix) + id});
    work.removals.push_back({std::string(jobs_table), std::string(cancel_prefix) + id});
    const adapter::commit_result result = co_await shared_.store.commit(work, commit_timeout);
    if (result.outcome == adapter::commit_outcome::done)
    {
        // The progress goes after the job: a job without progress would be run again.
        removed_jobs_.push_back(std::move(id));
    }
    else
    {
        log_event(log_level::warning, "job_not_removed", {{"job", id}, {"reason", result.reason}});
    }
}

} // namespace lacewingquay::manager
