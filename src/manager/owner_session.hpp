#pragma once

#include "manager/context.hpp"
#include "manager/feed.hpp"
#include "manager/order_permission.hpp"
#include "manager/send_window.hpp"
#include "manager/sole_ownership.hpp"
#include "platform/store.hpp"
#include "scheduler/scheduler.hpp"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/steady_timer.hpp>

#include <algorithm>
#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <span>
#include <string>
#include <vector>

namespace lacewingquay::manager
{

/// Calls to backend servers during one term, for metrics.
struct session_counters
{
    std::uint64_t starts = 0;
    std::uint64_t stops = 0;
    /// Stop orders that repeat an earlier one.
    std::uint64_t repeated_stops = 0;
    /// Stop orders without an answer.
    std::uint64_t unanswered_stops = 0;
    std::uint64_t polls = 0;
};

/// One term of the host that owns scheduling, from takeover to loss. Every decision is stored, on
/// condition that the owner's row is unchanged, before its orders are sent. A former owner that was
/// suspended or partitioned therefore cannot start anything.
class owner_session : public std::enable_shared_from_this<owner_session>
{
public:
    /// `confirmed_at` is when the takeover was requested from the store.
    owner_session(context& shared, std::int64_t term, std::int64_t owner_version,
                  steady_time confirmed_at);

    /// Reads all state, then schedules.
    void start();

    /// Applies the current configuration.
    void configure();

    /// Gives up ownership: the next commit also marks the owner's row as released.
    void release(std::string_view reason);

    /// Takes the term of the owner's row as read from the store or named by another host; a later
    /// one ends this session.
    void observe_term(std::int64_t newest);

    /// Takes the result of asking other hosts about the store while it does not answer this one.
    void apply_outage_check(const outage_check& check);

    /// True once ownership was lost or released.
    [[nodiscard]] bool ended() const { return ended_; }

    [[nodiscard]] std::int64_t term() const { return term_; }
    [[nodiscard]] const session_counters& counters() const { return counters_; }
    /// How many start orders may be under way at once.
    [[nodiscard]] std::size_t start_limit() const { return starts_.limit(); }
    [[nodiscard]] scheduler::scheduler& job_scheduler() { return scheduler_; }
    [[nodiscard]] bool is_loaded() const { return loaded_; }

    /// Version of the owner's row, as condition of transactions that only the owner may make.
    [[nodiscard]] std::int64_t owner_version() const { return owner_version_; }

    /// What this host knows about its ownership now.
    [[nodiscard]] ownership_evidence evidence() const
    {
        const steady_time now = shared_.now();
        return {std::chrono::duration_cast<milliseconds>(now - confirmed_at_),
                std::chrono::duration_cast<milliseconds>(now - sole_ownership_.certain_until()),
                jobs_age()};
    }

    /// Age of what this host has read of callers' jobs.
    [[nodiscard]] milliseconds jobs_age() const
    {
        return std::max(milliseconds(0), shared_.store_time() - covered_.store_time);
    }

    /// True if orders to machines may be sent now.
    [[nodiscard]] bool may_order_machines() const
    {
        return !ended_ && manager::may_order_machines(evidence());
    }

private:
    boost::asio::awaitable<void> load();
    /// Renews the owner's row until the first commit, and stores a release that is requested
    /// meanwhile. A load that lasts too long is left to another host.
    boost::asio::awaitable<void> renew_while_loading();
    boost::asio::awaitable<void> follow_servers();
    boost::asio::awaitable<void> follow_jobs();
    /// Reads cancellations ahead of the feed of the jobs, which has them too and may be behind.
    boost::asio::awaitable<void> follow_cancellations();
    boost::asio::awaitable<void> commit_loop();
    /// Removes the definitions of ended jobs and the rows of expired ones.
    boost::asio::awaitable<void> clean_loop();
    boost::asio::awaitable<void> clean_partition(std::size_t partition,
                                                 std::vector<std::string>& ended,
                                                 std::vector<std::string>& expired);
    boost::asio::awaitable<void> poll_server(std::string id);
    boost::asio::awaitable<void> send_starts(std::vector<worker::start_order> orders);
    /// Applies the report of an incarnation that is not known yet.
    void apply_identification(const std::string& server,
                              const std::optional<worker::report>& identification,
                              steady_time requested_at);
    /// Handles the end of a start order that was answered or given up after `delay`; without a
    /// value, it was not sent.
    void finish_start(std::optional<milliseconds> delay);
    boost::asio::awaitable<void> request_advice();
    boost::asio::awaitable<void> send_stop(worker::stop_order order);
    /// Sends stop orders as soon as they are due, whatever the commit loop waits for.
    boost::asio::awaitable<void> stop_loop();
    /// Sends the stop orders that are due.
    void send_stops();
    /// False while this host may not know which jobs are cancelled.
    [[nodiscard]] bool may_plan_starts();
    /// False while another host may have taken over.
    [[nodiscard]] bool may_renew_leases();
    /// False for a registration of a server that is not known, in a pool that is not configured: it
    /// may come from another writer, so it must not replace the server on its machine.
    [[nodiscard]] bool is_usable(const worker::server& info);
    void apply_servers(const std::vector<adapter::row>& rows, bool is_snapshot);
    void apply_jobs(const std::vector<adapter::row>& rows);
    void apply_job(const adapter::row& row);
    void apply_cancellation(const adapter::row& row);
    /// Applies rows of the cancellations table that the feed of the jobs has not delivered yet.
    void apply_early_cancellations(std::span<const adapter::row> rows);
    /// Time since the caller cancelled the job, if the row names it.
    [[nodiscard]] std::optional<milliseconds> cancellation_age(const adapter::row& row) const;
    void cancel_job(const std::string& id, std::optional<milliseconds> age);
    /// The stored progress of a job, from all of its rows; nothing if there is none. Adds the job
    /// to `unreadable_jobs_` if one of its rows cannot be read.
    [[nodiscard]] std::optional<job::progress> read_progress(const std::string& id);
    void start_scheduling();
    void send_orders(const scheduler::batch& work);
    [[nodiscard]] load_summary current_load() const;
    /// `expired` are keys of progress rows to be removed.
    adapter::transaction make_transaction(const scheduler::batch& work, bool renew,
                                          std::span<const std::string> expired) const;
    /// Adapts the size of batches to a transaction's result.
    void adapt_batches(const scheduler::batch& work, adapter::commit_outcome outcome);
    /// Takes keys from `progress_to_remove_`, as many as fit beside a batch.
    [[nodiscard]] std::vector<std::string> take_progress_to_remove();
    bool apply_commit_result(const scheduler::batch& work, const adapter::commit_result& result,
                             bool renewed);
    /// Handles a commit whose condition on the owner's row did not hold.
    void apply_conflict(const adapter::commit_result& result);
    void end(std::string_view reason);
    /// Notes that the store has confirmed the ownership when asked at `requested_at`.
    void confirm_ownership(steady_time requested_at);
    void wake_server(const std::string& id);

    context& shared_;
    scheduler::scheduler scheduler_;
    std::int64_t term_;
    std::int64_t owner_version_;
    /// Rows read before the jobs during a takeover; empty afterwards.
    std::map<std::string, adapter::row> stored_progress_;
    std::vector<adapter::row> stored_servers_;
    /// Jobs whose stored progress cannot be read. They are not scheduled, as tasks of theirs that
    /// have ended would run again.
    std::set<std::string, std::less<>> unreadable_jobs_;
    /// Ids of registrations that are not used, to log each of them once.
    std::set<std::string, std::less<>> unusable_servers_;
    /// Rows of the cancellations table whose jobs are not known yet, by job.
    std::map<std::string, adapter::row, std::less<>> early_cancellations_;
    /// The scheduler knows all jobs stored up to here.
    feed_position covered_;
    bool loaded_ = false;
    bool ended_ = false;
    bool releasing_ = false;
    /// The outcome of a transaction is unknown. The next one renews the owner's row, so that the
    /// earlier one can no longer be performed.
    bool commit_in_doubt_ = false;
    /// When the latest successful renewal of the owner's row was requested.
    steady_time last_renewal_{};
    /// When the latest transaction that confirmed the ownership was requested.
    steady_time confirmed_at_{};
    sole_ownership sole_ownership_;
    boost::asio::steady_timer wake_timer_;
    /// Of the stop loop.
    boost::asio::steady_timer stop_timer_;
    std::map<std::string, std::shared_ptr<boost::asio::steady_timer>> poll_timers_;
    /// Requests to the advice service that have not been sent yet.
    std::deque<scheduler::advice_request> advice_requests_;
    bool advice_in_progress_ = false;
    /// Keys of progress rows whose jobs no longer need them; they are removed with the next
    /// transactions.
    std::vector<std::string> progress_to_remove_;
    /// Progress rows in one transaction. Reduced while the store rejects transactions, until those
    /// that it accepts are apart from those that it does not.
    std::size_t progress_rows_;
    /// Start orders under way.
    send_window starts_;
    /// No starts are planned, as what this host has read of callers' jobs is too old.
    bool starts_held_ = false;
    /// No leases are renewed, as another host may have taken over.
    bool leases_held_ = false;
    /// More start orders may be waiting for `starts_` to permit them.
    bool starts_exhausted_ = false;
    session_counters counters_;
};

} // namespace lacewingquay::manager
