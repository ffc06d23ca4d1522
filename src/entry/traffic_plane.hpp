#pragma once

#include "core/clock.hpp"
#include "entry/metrics.hpp"
#include "entry/settings.hpp"
#include "http/server.hpp"
#include "idempotency/claim_client.hpp"
#include "report/counters.hpp"
#include "routing/snapshot.hpp"
#include "traffic/backend_pool.hpp"
#include "traffic/caller_service.hpp"
#include "traffic/request_observer.hpp"
#include "traffic/slot_source.hpp"

#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/leaf.hpp>

#include <atomic>
#include <memory>
#include <string>
#include <thread>
#include <vector>

namespace lacewingquay::entry
{

/// Counts each caller's request for the reports and for metrics.
class request_recorder final : public traffic::request_observer
{
public:
    request_recorder(report::request_counters& counters, metrics& series,
                     const std::atomic<routing::snapshot_pointer>& snapshot);

    void observe(const traffic::request_record& record) override;

private:
    report::request_counters& counters_;
    metrics& metrics_;
    const std::atomic<routing::snapshot_pointer>& snapshot_;
};

/// The traffic threads: HTTP with callers and backend servers.
class traffic_plane
{
public:
    /// `slots` and `keys` must outlive the plane.
    traffic_plane(const entry_settings& settings, const std::string& incarnation,
                  const clock_source& clock, traffic::slot_source& slots,
                  idempotency::claim_client& keys, report::request_counters& counters,
                  metrics& series);

    ~traffic_plane();

    /// Opens the callers' port and starts the threads; fails with `input_error`.
    boost::leaf::result<void> start();

    /// Takes a new snapshot. Thread-safe.
    void update(routing::snapshot_pointer snapshot);

    /// Closes the callers' port; requests in progress go on. Thread-safe.
    void stop_accepting();

    /// Requests of callers without an answer, or requests at backend servers if those are more.
    [[nodiscard]] std::size_t requests_in_progress() const;

    /// Ends the threads.
    void stop();

private:
    void clean_idle_connections();

    entry_settings settings_;
    std::atomic<routing::snapshot_pointer> snapshot_;
    boost::asio::io_context io_;
    boost::asio::executor_work_guard<boost::asio::io_context::executor_type> work_;
    boost::asio::steady_timer timer_;
    request_recorder recorder_;
    traffic::backend_pool backends_;
    traffic::caller_service service_;
    std::shared_ptr<http::server> server_;
    std::vector<std::thread> threads_;
};

} // namespace lacewingquay::entry
