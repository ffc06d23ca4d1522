#include "manager/daemon.hpp"

#include "cli/options.hpp"
#include "core/log.hpp"
#include "core/parse_or_log.hpp"
#include "http/server.hpp"
#include "manager/context.hpp"
#include "manager/feed.hpp"
#include "manager/job_api.hpp"
#include "manager/metrics_collection.hpp"
#include "manager/owner_election.hpp"
#include "platform/decode.hpp"
#include "platform/settings.hpp"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/signal_set.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <algorithm>
#include <csignal>
#include <exception>
#include <iostream>
#include <memory>
#include <utility>
#include <vector>

namespace lacewingquay::manager
{

namespace
{

/// Time until the platform's load balancer stops routing to a host that is not ready: two health
/// checks, 1 s apart.
constexpr milliseconds load_balancer_delay{2'500};
/// Interval between isolation checks, and the length of a store outage before the first one: a lost
/// connection is replaced within milliseconds and needs no check.
constexpr milliseconds isolation_check_interval{250};
constexpr milliseconds isolation_check_delay{300};
/// Peers queried in one isolation check, and the timeout of a query on the platform's network.
constexpr std::size_t peers_per_check = 2;
constexpr milliseconds peer_timeout{300};
/// The owner of scheduling queries all hosts within this many checks.
constexpr std::size_t checks_per_cycle = 4;
/// Part of the stop's grace period that is reserved for exiting.
constexpr milliseconds exit_margin{900};

/// Owns the daemon's components and connects them.
class daemon
{
public:
    explicit daemon(settings values)
        : shared_(std::move(values), io_), job_api_(shared_), election_(shared_),
          signals_(io_, SIGTERM, SIGHUP)
    {
    }

    boost::leaf::result<void> run()
    {
        http::server_settings limits;
        limits.body_limit = 262'144;
        BOOST_LEAF_ASSIGN(caller_server_, http::server::listen(
                                              io_.get_executor(), shared_.config.callers, limits,
                                              [this](http::request received) {
                                                  return handle_caller_request(std::move(received));
                                              }));
        BOOST_LEAF_ASSIGN(readiness_server_,
                          http::server::listen(io_.get_executor(), shared_.config.readiness, limits,
                                               [this](const http::request&)
                                               { return handle_readiness_request(); }));
        BOOST_LEAF_ASSIGN(metrics_server_,
                          http::server::listen(io_.get_executor(), shared_.config.metrics, limits,
                                               [this](const http::request&)
                                               { return handle_metrics_request(); }));
        log_event(log_level::info, "started",
                  {{"zone", shared_.config.availability_zone},
                   {"callers", shared_.config.callers.text()},
                   {"store", shared_.config.store.text()}});
        job_api_.start();
        spawn([this] { return follow_operator(); });
        spawn([this] { return watch_isolation(); });
        election_.start();
        spawn([this] { return watch_signals(); });
        io_.run();
        log_event(log_level::info, "stopped", {});
        return {};
    }

private:
    template <typename Work>
    void spawn(Work work)
    {
        boost::asio::co_spawn(io_, std::move(work), boost::asio::detached);
    }

    boost::asio::awaitable<http::response> handle_caller_request(http::request received)
    {
        const steady_time received_at = shared_.now();
        const std::string method(received.method_string());
        http::response response = co_await job_api_.handle(std::move(received));
        shared_.daemon_metrics.observe_answer(
            method, response.result_int(),
            std::chrono::duration_cast<milliseconds>(shared_.now() - received_at));
        co_return response;
    }

    boost::asio::awaitable<http::response> handle_metrics_request()
    {
        collect_metrics(shared_, election_.session(), is_ready());
        co_return http::make_response(http::status::ok, shared_.daemon_metrics.text(),
                                      "text/plain; version=0.0.4");
    }

    [[nodiscard]] bool is_ready() const
    {
        return shared_.current && shared_.owner.is_loaded() && !shared_.stopping &&
               !shared_.isolated;
    }

    /// What this host reports to others.
    [[nodiscard]] peer_report own_report() const
    {
        return {
            shared_.store_unavailable ? peer_store_status::store_unavailable
                                      : peer_store_status::store_available,
            std::chrono::duration_cast<milliseconds>(shared_.now() - shared_.store.last_answer()),
            shared_.owner.row().term};
    }

    boost::asio::awaitable<http::response> handle_readiness_request()
    {
        co_return http::make_response(is_ready() ? http::status::ok
                                                 : http::status::service_unavailable,
                                      serialize_readiness(own_report()));
    }

    void apply_operator(const std::vector<adapter::row>& rows)
    {
        for (const adapter::row& row : rows)
        {
            if (row.removed)
            {
                continue;
            }
            if (row.key.starts_with(wave_prefix))
            {
                apply_wave(row);
            }
            else if (row.key == config_key)
            {
                apply_configuration(row);
            }
        }
    }

    void apply_configuration(const adapter::row& row)
    {
        std::optional<configuration> parsed =
            parse_or_log("configuration_unreadable", row.key, row.version,
                         [&] { return adapter::parse_configuration(row.value); });
        if (!parsed || (shared_.current && parsed->version <= shared_.current->version))
        {
            return;
        }
        log_event(log_level::info, "configuration",
                  {{"version", parsed->version},
                   {"queues", parsed->queues.size()},
                   {"row_version", row.version}});
        shared_.current = std::make_shared<configuration>(std::move(*parsed));
        election_.configure();
    }

    void apply_wave(const adapter::row& row)
    {
        std::optional<fleet::wave> parsed =
            parse_or_log("wave_unreadable", row.key, row.version,
                         [&] { return adapter::parse_wave(row.value); });
        if (!parsed)
        {
            return;
        }
        election_.add_wave(std::move(*parsed));
    }

    boost::asio::awaitable<void> follow_operator()
    {
        feed_settings feed;
        feed.table = std::string(operator_table);
        feed.pause = []
        {
            return milliseconds(0);
        };
        feed.apply = [this](const table_changes& changes)
        {
            apply_operator(changes.rows);
        };
        feed.after_call = [](bool) {
        };
        feed.is_ended = []
        {
            return false;
        };
        co_await follow_table(shared_, std::move(feed));
    }

    /// Queries another host about the store.
    boost::asio::awaitable<peer_report> query_peer(address where)
    {
        const http::exchange_result exchange = co_await shared_.connections.call(
            where, http::make_request(http::method::get, "/", ""), peer_timeout);
        co_return exchange.answer ? parse_readiness(exchange.answer->body()) : peer_report{};
    }

    /// Queries several hosts at once; the reports are in the order of `peers`.
    boost::asio::awaitable<std::vector<peer_report>> query_peers(std::vector<address> peers)
    {
        std::vector<peer_report> reports(peers.size());
        std::size_t open = peers.size();
        boost::asio::steady_timer finished(io_, std::chrono::steady_clock::time_point::max());
        for (std::size_t index = 0; index < peers.size(); ++index)
        {
            boost::asio::co_spawn(io_, query_peer(peers[index]),
                                  [&, index](const std::exception_ptr& error, peer_report report)
                                  {
                                      reports[index] = error ? peer_report{} : report;
                                      --open;
                                      finished.cancel();
                                  });
        }
        while (open > 0)
        {
            co_await finished.async_wait(boost::asio::as_tuple(boost::asio::use_awaitable));
        }
        co_return reports;
    }

    /// Asks other hosts about the store. The owner asks each of them within a few checks, so
    /// that it learns of a takeover by any of them.
    boost::asio::awaitable<bool> check_isolation(std::size_t round)
    {
        const std::vector<address> judges =
            choose_peers(shared_.hosts, shared_.config.host, shared_.config.availability_zone,
                         peers_per_check, round);
        std::vector<address> peers = judges;
        const std::shared_ptr<owner_session> session = election_.shared_session();
        if (session)
        {
            const std::size_t count = std::max(
                peers_per_check, (shared_.hosts.size() + checks_per_cycle - 1) / checks_per_cycle);
            const std::vector<address> others =
                choose_any_peers(shared_.hosts, shared_.config.host, count, round);
            peers.insert(peers.end(), others.begin(), others.end());
        }
        const steady_time began = shared_.now();
        const std::vector<peer_report> reports = co_await query_peers(std::move(peers));
        std::vector<peer_store_status> statuses;
        for (std::size_t index = 0; index < judges.size(); ++index)
        {
            statuses.push_back(reports[index].status);
        }
        const bool isolated = is_isolated(statuses);
        if (session && !session->ended())
        {
            session->apply_outage_check(evaluate_outage(began, shared_.now(), isolated, reports));
        }
        co_return isolated;
    }

    /// During a store outage, checks with other hosts whether this host is isolated. An isolated
    /// host reports that it is not ready, so that callers are routed to other hosts.
    boost::asio::awaitable<void> watch_isolation()
    {
        for (std::size_t round = 0;; ++round)
        {
            co_await sleep_for(shared_, isolation_check_interval);
            bool isolated = false;
            if (shared_.store_unavailable &&
                shared_.now() - shared_.store_unavailable_since >= isolation_check_delay)
            {
                isolated = co_await check_isolation(round) && shared_.store_unavailable;
            }
            if (isolated != shared_.isolated)
            {
                shared_.isolated = isolated;
                log_event(log_level::warning, isolated ? "cut_off" : "cut_off_ended",
                          {{"hosts_known", shared_.hosts.size()}});
            }
        }
    }

    /// Applies changed durations and the advice service's address. All other addresses are used
    /// only at startup, so a change of them needs a restart.
    void reload_settings()
    {
        const std::optional<settings> reloaded = parse_or_log(
            "settings_unreadable", "SIGHUP", 0, [] { return adapter::read_settings(); });
        if (!reloaded)
        {
            return;
        }
        settings& current = shared_.config;
        const bool needs_restart = reloaded->callers.text() != current.callers.text() ||
                                   reloaded->readiness.text() != current.readiness.text() ||
                                   reloaded->store.text() != current.store.text() ||
                                   reloaded->machines.text() != current.machines.text() ||
                                   reloaded->host != current.host;
        current.stop_grace = reloaded->stop_grace;
        current.result_retention = reloaded->result_retention;
        current.machine_lease = reloaded->machine_lease;
        current.advice = reloaded->advice;
        log_event(log_level::info, "reload",
                  {{"reason", "SIGHUP"},
                   {"stop_grace_ms", current.stop_grace.count()},
                   {"result_retention_ms", current.result_retention.count()},
                   {"machine_lease_ms", current.machine_lease.count()},
                   {"needs_restart", needs_restart}});
    }

    boost::asio::awaitable<void> watch_signals()
    {
        constexpr auto nothrow_awaitable = boost::asio::as_tuple(boost::asio::use_awaitable);
        while (true)
        {
            const std::tuple<boost::system::error_code, int> received =
                co_await signals_.async_wait(nothrow_awaitable);
            if (std::get<0>(received))
            {
                co_return;
            }
            if (std::get<1>(received) == SIGTERM)
            {
                break;
            }
            reload_settings();
        }
        log_event(log_level::info, "stopping",
                  {{"grace_ms", shared_.config.stop_grace.count()},
                   {"connections", caller_server_->open_connections()}});
        shared_.stopping = true;
        const steady_time stop_requested = shared_.now();
        election_.release();
        co_await sleep_for(shared_, load_balancer_delay);
        caller_server_->stop();
        while (caller_server_->open_connections() > 0 &&
               shared_.now() - stop_requested < shared_.config.stop_grace - exit_margin)
        {
            co_await sleep_for(shared_, milliseconds(50));
        }
        io_.stop();
    }

    boost::asio::io_context io_{1};
    context shared_;
    job_api job_api_;
    owner_election election_;
    boost::asio::signal_set signals_;
    std::shared_ptr<http::server> caller_server_;
    std::shared_ptr<http::server> readiness_server_;
    std::shared_ptr<http::server> metrics_server_;
};

} // namespace

int run_manager(std::span<const std::string> arguments)
{
    if (!arguments.empty())
    {
        std::cout
            << "Usage: lacewingquay manage\n\nRuns the daemon of an entry host. Settings are read "
               "from the file named in LACEWINGQUAY_SETTINGS (docs/OPERATIONS.md).\n";
        return arguments.front() == "--help" ? cli::exit_ok : cli::exit_usage;
    }
    return boost::leaf::try_handle_all(
        []() -> boost::leaf::result<int>
        {
            BOOST_LEAF_AUTO(values, adapter::read_settings());
            set_up_bounded_log(values.host, log_level::info);
            // Never destroyed: coroutines that are still suspended at exit refer to it.
            daemon& instance = *new daemon(std::move(values));
            BOOST_LEAF_CHECK(instance.run());
            std::cout.flush();
            std::_Exit(cli::exit_ok);
        },
        [](const input_error& error)
        {
            std::cerr << "lacewingquay manage: " << error.message() << "\n";
            return static_cast<int>(cli::exit_usage);
        },
        []
        {
            std::cerr << "lacewingquay manage: internal error\n";
            return static_cast<int>(cli::exit_failure);
        });
}

} // namespace lacewingquay::manager
