#pragma once

#include "manager/context.hpp"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/steady_timer.hpp>

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace lacewingquay::manager
{

/// Answers how many jobs of a queue are waiting. Counts that are too old are first brought up to
/// date from the store; all requests of the host share one refresh.
class waiting_counts
{
public:
    explicit waiting_counts(context& shared) : shared_(shared) {}

    /// Returns the count, or nothing if none of the permitted age is known at `deadline`.
    boost::asio::awaitable<std::optional<std::int64_t>> count(job::queue queue,
                                                              steady_time deadline);

private:
    /// A request that waits for the refresh under way.
    struct pending_request
    {
        explicit pending_request(boost::asio::steady_timer timer) : completed(std::move(timer)) {}

        boost::asio::steady_timer completed;
        bool done = false;
    };

    /// How a refresh ended, for the log and the metrics.
    struct refresh_result
    {
        std::string_view source = "feed";
        std::string_view outcome = "done";
    };

    /// Brings the counts up to date. `queue` is the one that was asked for.
    boost::asio::awaitable<void> refresh(job::queue queue);
    boost::asio::awaitable<refresh_result> read_counts(const job::queue& queue);
    /// Adds the jobs that the counts do not cover yet. Returns the outcome.
    boost::asio::awaitable<std::string_view> add_new_jobs();
    /// Counts all stored jobs. Returns the outcome.
    boost::asio::awaitable<std::string_view> recount();
    void log_refresh(const job::queue& queue, std::optional<milliseconds> age_before,
                     const refresh_result& result);

    context& shared_;
    bool refreshing_ = false;
    std::vector<std::shared_ptr<pending_request>> pending_;
    /// Failures are logged at most once a second, as each request during an outage fails.
    steady_time next_failure_log_{};
};

} // namespace lacewingquay::manager
