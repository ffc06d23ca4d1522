#pragma once

#include "core/clock.hpp"
#include "http/connection_pool.hpp"
#include "manager/configuration.hpp"
#include "manager/isolation.hpp"
#include "manager/job_cache.hpp"
#include "manager/load_summary.hpp"
#include "manager/metrics.hpp"
#include "manager/ownership.hpp"
#include "manager/settings.hpp"
#include "manager/store_clock.hpp"
#include "platform/store.hpp"
#include "platform/worker_calls.hpp"

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <string_view>

namespace lacewingquay::manager
{

/// Table names, row keys and key prefixes in the store.
inline constexpr std::string_view jobs_table = "jobs";
/// A row for each cancellation, by the job's id, beside the row in the jobs table. Its feed has no
/// jobs, so that a burst of them does not delay the reading of cancellations.
inline constexpr std::string_view cancellations_table = "cancellations";
inline constexpr std::string_view progress_table = "progress";
inline constexpr std::string_view owner_table = "owner";
inline constexpr std::string_view operator_table = "op";
inline constexpr std::string_view servers_table = "servers";
inline constexpr std::string_view status_table = "status";
inline constexpr std::string_view job_prefix = "j/";
inline constexpr std::string_view cancel_prefix = "c/";
inline constexpr std::string_view owner_key = "owner";
inline constexpr std::string_view load_key = "load";
inline constexpr std::string_view handover_key = "handover";
inline constexpr std::string_view host_prefix = "host/";
inline constexpr std::string_view config_key = "config";
inline constexpr std::string_view wave_prefix = "wave/";

/// Timeouts for reads and transactions. The store normally answers within milliseconds, but a
/// degraded one takes 0.3 s and also serializes the transactions of a partition.
inline constexpr milliseconds read_timeout{800};
inline constexpr milliseconds commit_timeout{1'200};

/// Capacity of the job state cache: about 1 MB, and more jobs than callers query within a minute.
inline constexpr std::size_t cached_jobs = 4'000;

/// State shared by the components of a daemon. Accessed from a single thread.
struct context
{
    context(settings values, boost::asio::io_context& io_context)
        : config(std::move(values)), io(io_context),
          connections(io.get_executor(), http::pool_settings{}),
          store(connections, config.store, clock), workers(connections),
          machines(connections, config.machines, config.host),
          owner(ownership_settings{}, config.host, config.resources), jobs(cached_jobs)
    {
    }

    [[nodiscard]] steady_time now() const { return clock.steady_now(); }

    /// The store's steady clock, extrapolated from its answers.
    [[nodiscard]] milliseconds store_time() const { return clock_of_store.at(now()); }

    /// Takes the store's clock from an answer to a call that was made at `requested_at`.
    void update_store_time(milliseconds value, steady_time requested_at)
    {
        clock_of_store.observe(value, requested_at, now());
    }

    settings config;
    boost::asio::io_context& io;
    suspend_aware_clock_source clock;
    http::connection_pool connections;
    adapter::store store;
    adapter::worker_calls workers;
    adapter::machine_calls machines;
    ownership owner;
    job_cache jobs;
    load_tracker load;
    metrics daemon_metrics;
    std::shared_ptr<const configuration> current;
    store_clock clock_of_store;
    /// The latest call to the store failed.
    bool store_unavailable = false;
    /// This host has lost the store while other hosts may still reach it.
    bool isolated = false;
    /// Entry hosts that have published their host record, by name.
    std::map<std::string, host_record> hosts;
    /// Start of the current outage; valid while `store_unavailable` is set.
    steady_time store_unavailable_since{};
    bool stopping = false;
};

/// Suspends the calling coroutine for `time`.
boost::asio::awaitable<void> sleep_for(context& shared, milliseconds time);

} // namespace lacewingquay::manager
