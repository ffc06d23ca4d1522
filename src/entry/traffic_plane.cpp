#include "entry/traffic_plane.hpp"

#include <algorithm>

namespace lacewingquay::entry
{

namespace
{

constexpr std::chrono::milliseconds clean_interval{1'000};

traffic::caller_settings make_caller_settings(const entry_settings& settings)
{
    traffic::caller_settings result;
    result.log_requests = settings.lowest_level == log_level::debug;
    return result;
}

} // namespace

request_recorder::request_recorder(report::request_counters& counters, metrics& series,
                                   const std::atomic<routing::snapshot_pointer>& snapshot)
    : counters_(counters), metrics_(series), snapshot_(snapshot)
{
}

void request_recorder::observe(const traffic::request_record& record)
{
    const routing::snapshot_pointer current = snapshot_.load();
    if (!current || record.service.empty())
    {
        return;
    }
    const std::map<std::string, config::service, std::less<>>::const_iterator service =
        current->services.find(record.service);
    if (service == current->services.end())
    {
        return;
    }
    report::request_record counted;
    counted.service = record.service;
    counted.outcome = record.outcome;
    counted.status = record.status;
    counted.latency = std::chrono::duration_cast<std::chrono::milliseconds>(record.latency);
    counted.latency_target = service->second.latency_target;
    counted.slot_time = std::chrono::duration_cast<std::chrono::milliseconds>(record.slot_time);
    counters_.add(counted);
    metrics_.observe(counted);
    if (record.waited.count() >= 0)
    {
        metrics_.observe_wait(record.waited);
    }
}

traffic_plane::traffic_plane(const entry_settings& settings, const std::string& incarnation,
                             const clock_source& clock, traffic::slot_source& slots,
                             idempotency::claim_client& keys, report::request_counters& counters,
                             metrics& series)
    : settings_(settings), io_(static_cast<int>(settings.traffic_threads)),
      work_(io_.get_executor()), timer_(io_), recorder_(counters, series, snapshot_),
      backends_(io_.get_executor(), traffic::backend_pool_settings{}),
      service_({snapshot_, slots, keys, backends_, recorder_, clock}, incarnation,
               make_caller_settings(settings))
{
}

traffic_plane::~traffic_plane()
{
    stop();
}

boost::leaf::result<void> traffic_plane::start()
{
    http::server_settings limits;
    limits.body_limit = settings_.body_limit;
    BOOST_LEAF_ASSIGN(server_,
                      http::server::listen(io_.get_executor(), settings_.caller_listen, limits,
                                           [this](http::request message)
                                           { return service_.handle(std::move(message)); }));
    clean_idle_connections();
    for (std::size_t i = 0; i < settings_.traffic_threads; ++i)
    {
        threads_.emplace_back([this] { io_.run(); });
    }
    return {};
}

void traffic_plane::update(routing::snapshot_pointer snapshot)
{
    const std::size_t members = std::max<std::size_t>(1, snapshot->members.size());
    backends_.set_idle_cap(traffic::backend_pool::max_idle / members);
    snapshot_.store(std::move(snapshot));
}

void traffic_plane::stop_accepting()
{
    if (server_)
    {
        server_->stop();
    }
}

std::size_t traffic_plane::requests_in_progress() const
{
    const std::size_t callers = server_ ? server_->requests_in_progress() : 0;
    return std::max(callers, service_.exchanges_in_progress());
}

void traffic_plane::clean_idle_connections()
{
    backends_.close_idle();
    timer_.expires_after(clean_interval);
    timer_.async_wait(
        [this](const boost::system::error_code& error)
        {
            if (!error)
            {
                clean_idle_connections();
            }
        });
}

void traffic_plane::stop()
{
    io_.stop();
    for (std::thread& thread : threads_)
    {
        thread.join();
    }
    threads_.clear();
}

} // namespace lacewingquay::entry
