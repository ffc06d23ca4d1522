#pragma once

#include "http/message.hpp"
#include "manager/context.hpp"
#include "manager/waiting_counts.hpp"
#include "scheduler/admission.hpp"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/steady_timer.hpp>

#include <chrono>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace lacewingquay::manager
{

/// The HTTP interface for callers: accepts jobs, reports their state and cancels them. A job is
/// acknowledged only after its row is stored; concurrent submissions share transactions.
class job_api
{
public:
    explicit job_api(context& shared);

    /// Handles one request of a caller.
    boost::asio::awaitable<http::response> handle(http::request received);

    /// Starts the coroutines that store submitted rows.
    void start();

private:
    /// A row to be written, for which a request waits.
    struct pending_write
    {
        pending_write(context& shared, std::string row_key, std::string text, bool must_be_new)
            : key(std::move(row_key)), value(std::move(text)), is_new(must_be_new),
              completed(shared.io.get_executor(), std::chrono::steady_clock::time_point::max())
        {
        }

        std::string key;
        std::string value;
        /// A job's row, which must not exist yet, nor its cancellation. If the row exists, an
        /// earlier attempt has stored it.
        bool is_new;
        /// Cancelled once `outcome` is known.
        boost::asio::steady_timer completed;
        adapter::commit_outcome outcome = adapter::commit_outcome::unknown;
        /// An attempt was not answered, so the store may still perform it.
        bool in_doubt = false;
        bool done = false;
        steady_time deadline{};
    };

    /// Pending rows of one partition; only these can share a transaction.
    struct write_queue
    {
        std::vector<std::shared_ptr<pending_write>> pending;
        std::unique_ptr<boost::asio::steady_timer> wake;
        /// The next transactions, this many, store one row each.
        std::size_t stored_alone = 0;
    };

    /// The outcome is `conflict` if the job was cancelled before its row was stored.
    boost::asio::awaitable<adapter::commit_outcome> store_row(std::string key, std::string value,
                                                              bool is_new, steady_time deadline);
    boost::asio::awaitable<http::response> submit(const job::queue& queue, std::string id,
                                                  std::string body, steady_time deadline);
    /// Returns the error response if the job is not stored, or nothing if it is.
    boost::asio::awaitable<std::optional<http::response>> error_if_unknown(std::string id);
    boost::asio::awaitable<http::response> show_waiting(job::queue queue, steady_time deadline);
    boost::asio::awaitable<http::response> show(std::string id);
    boost::asio::awaitable<http::response> cancel(std::string id, steady_time deadline);
    void complete(pending_write& entry, adapter::commit_outcome outcome);
    /// Stores the rows of one partition, one transaction at a time.
    boost::asio::awaitable<void> store_pending(std::size_t partition);
    void apply_commit_result(write_queue& from, std::vector<std::shared_ptr<pending_write>>& batch,
                             const adapter::commit_result& result);

    context& shared_;
    waiting_counts waiting_counts_;
    std::vector<write_queue> write_queues_;
    scheduler::admission_control admission_;
};

} // namespace lacewingquay::manager
