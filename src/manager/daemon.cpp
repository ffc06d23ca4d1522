#include "manager/daemon.hpp"

#include "cli/options.hpp"
#include "core/log.hpp"
#include "core/parse_or_log.hpp"
#include "http/server.hpp"
#include "manager/context.hpp"
#include "manager/feed.hpp"
#include "manager/fleet_controller.hpp"
#include "manager/job_api.hpp"
#include "manager/metrics_collection.hpp"
#include "manager/owner_session.hpp"
#include "platform/decode.hpp"
#include "platform/settings.hpp"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/signal_set.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <algorithm>
#include <csignal>
#include <iostream>
#include <memory>
#include <utility>

namespace lacewingquay::manager
{

namespace
{

/// Time until the platform's load balancer stops routing to a host that is not ready: two health
/// checks, 1 s apart.
constexpr milliseconds load_balancer_delay{2'500};
/// Least interval between reads of the owner's rows, which change every 0.7 s.
constexpr milliseconds owner_read_interval{200};
/// Bounds of one long poll of the owner's rows. A poll ends when this host may have to take over.
constexpr milliseconds min_owner_wait{20};
constexpr milliseconds max_owner_wait{700};
/// Interval between isolation checks, and the length of a store outage before the first one: a lost
/// connection is replaced within milliseconds and needs no check.
constexpr milliseconds isolation_check_interval{250};
constexpr milliseconds isolation_check_delay{300};
/// Peers queried in one isolation check, and the timeout of a query on the platform's network.
constexpr std::size_t peers_per_check = 2;
constexpr milliseconds peer_timeout{300};
/// Interval between attempts to store this host's record.
constexpr milliseconds host_record_retry_interval{500};
/// Part of the stop's grace period that is reserved for exiting.
constexpr milliseconds exit_margin{900};

/// Owns the daemon's components and connects them.
class daemon
{
public:
    explicit daemon(settings values)
        : shared_(std::move(values), io_), job_api_(shared_), signals_(io_, SIGTERM, SIGHUP)
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
        spawn([this] { return publish_host_record(); });
        spawn([this] { return watch_isolation(); });
        spawn([this] { return follow_owner(); });
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
        collect_metrics(shared_, session_.get(), is_ready());
        co_return http::make_response(http::status::ok, shared_.daemon_metrics.text(),
                                      "text/plain; version=0.0.4");
    }

    [[nodiscard]] bool is_ready() const
    {
        return shared_.current && shared_.owner.is_loaded() && !shared_.stopping &&
               !shared_.isolated;
    }

    boost::asio::awaitable<http::response> handle_readiness_request()
    {
        co_return http::make_response(is_ready() ? http::status::ok
                                                 : http::status::service_unavailable,
                                      serialize_readiness(!shared_.store_unavailable));
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
        if (session_)
        {
            session_->configure();
        }
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
        if (fleet_)
        {
            fleet_->add_wave(*parsed);
        }
        waves_[parsed->number] = std::move(*parsed);
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

    void apply_owner(const adapter::row& row)
    {
        const std::optional<owner_row> owner = parse_or_log(
            "owner_unreadable", row.key, row.version, [&] { return parse_owner(row.value); });
        if (owner)
        {
            shared_.owner.observe(*owner, row.version, shared_.store_time() - owner->renewed,
                                  shared_.now());
        }
    }

    void apply_owner_rows(const std::vector<adapter::row>& rows)
    {
        for (const adapter::row& row : rows)
        {
            if (row.removed)
            {
                continue;
            }
            if (row.key == owner_key)
            {
                apply_owner(row);
            }
            else if (row.key == handover_key)
            {
                const std::optional<handover_request> request =
                    parse_or_log("handover_unreadable", row.key, row.version,
                                 [&] { return parse_handover(row.value); });
                if (request)
                {
                    shared_.owner.observe_handover(*request, shared_.now());
                }
            }
            else if (row.key == load_key)
            {
                std::optional<load_summary> summary = parse_or_log(
                    "load_unreadable", row.key, row.version, [&] { return parse_load(row.value); });
                if (summary)
                {
                    shared_.load.observe(std::move(*summary), row.version);
                }
            }
            else if (row.key.starts_with(host_prefix))
            {
                std::optional<host_record> host = parse_or_log(
                    "host_unreadable", row.key, row.version, [&] { return parse_host(row.value); });
                if (host)
                {
                    shared_.owner.observe_host(std::string_view(row.key).substr(host_prefix.size()),
                                               host->resources);
                    shared_.hosts[row.key.substr(host_prefix.size())] = std::move(*host);
                }
            }
        }
    }

    boost::asio::awaitable<void> follow_owner()
    {
        feed_settings feed;
        feed.table = std::string(owner_table);
        feed.pause = []
        {
            return owner_read_interval;
        };
        feed.max_wait = [this]
        {
            return std::clamp(shared_.owner.time_to_takeover(shared_.now()), min_owner_wait,
                              max_owner_wait);
        };
        feed.apply = [this](const table_changes& changes)
        {
            apply_owner_rows(changes.rows);
            if (changes.is_snapshot && !shared_.owner.is_loaded())
            {
                shared_.owner.observe({}, 0, milliseconds(0), shared_.now());
            }
        };
        feed.after_call = [this](bool answered)
        {
            if (!answered)
            {
                shared_.owner.on_store_failure(shared_.now());
                return;
            }
            consider_takeover();
            consider_handover();
        };
        feed.is_ended = []
        {
            return false;
        };
        co_await follow_table(shared_, std::move(feed));
    }

    /// Stores this host's record for the other hosts; retries until it is stored.
    boost::asio::awaitable<void> publish_host_record()
    {
        adapter::transaction work;
        work.writes.push_back(
            {std::string(owner_table), std::string(host_prefix) + shared_.config.host,
             serialize_host({shared_.config.resources, shared_.config.availability_zone,
                             shared_.config.readiness})});
        bool stored = false;
        while (!stored)
        {
            const adapter::commit_result result =
                co_await shared_.store.commit(work, commit_timeout);
            stored = result.outcome == adapter::commit_outcome::done;
            if (!stored)
            {
                co_await sleep_for(shared_, host_record_retry_interval);
            }
        }
    }

    /// Queries whether another host reaches the store.
    boost::asio::awaitable<peer_store_status> query_peer(address where)
    {
        const http::exchange_result exchange = co_await shared_.connections.call(
            where, http::make_request(http::method::get, "/", ""), peer_timeout);
        co_return exchange.answer ? parse_readiness(exchange.answer->body())
                                  : peer_store_status::no_answer;
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
                std::vector<peer_store_status> answers;
                for (const address& peer :
                     choose_peers(shared_.hosts, shared_.config.host,
                                  shared_.config.availability_zone, peers_per_check, round))
                {
                    answers.push_back(co_await query_peer(peer));
                }
                isolated = shared_.store_unavailable && is_isolated(answers);
            }
            if (isolated != shared_.isolated)
            {
                shared_.isolated = isolated;
                log_event(log_level::warning, isolated ? "cut_off" : "cut_off_ended",
                          {{"hosts_known", shared_.hosts.size()}});
            }
        }
    }

    void consider_takeover()
    {
        if (session_ && session_->ended())
        {
            session_.reset();
            fleet_.reset();
        }
        if (!session_ && !taking_over_ && !shared_.stopping &&
            shared_.owner.should_take_over(shared_.now()))
        {
            taking_over_ = true;
            spawn([this] { return take_over(); });
        }
    }

    /// Moves the ownership from a weak host, which took over while stronger ones were away, to a
    /// stronger one.
    void consider_handover()
    {
        if (session_ && session_->is_loaded() && !session_->ended() &&
            session_->term() == shared_.owner.row().term && shared_.owner.should_hand_over())
        {
            session_->release("a stronger host has asked for it");
        }
        else if (!session_ && !taking_over_ && !requesting_handover_ && !shared_.stopping &&
                 !shared_.isolated && shared_.owner.should_request_handover(shared_.now()))
        {
            requesting_handover_ = true;
            spawn([this] { return request_handover(); });
        }
    }

    boost::asio::awaitable<void> request_handover()
    {
        const handover_request request{shared_.config.host, shared_.owner.row().term};
        adapter::transaction work;
        work.writes.push_back(
            {std::string(owner_table), std::string(handover_key), serialize_handover(request)});
        const adapter::commit_result result = co_await shared_.store.commit(work, commit_timeout);
        requesting_handover_ = false;
        shared_.owner.observe_handover(request, shared_.now());
        log_event(log_level::info, "handover_requested",
                  {{"term", request.term},
                   {"owner", shared_.owner.row().host},
                   {"stored", result.outcome == adapter::commit_outcome::done},
                   {"reason", result.reason}});
    }

    boost::asio::awaitable<void> take_over()
    {
        const std::int64_t term = shared_.owner.row().term + 1;
        const std::int64_t seen_version = shared_.owner.version();
        const owner_row own_row{shared_.config.host, term, false, shared_.store_time()};
        adapter::transaction work;
        work.conditions.push_back({std::string(owner_table), std::string(owner_key), seen_version});
        work.writes.push_back(
            {std::string(owner_table), std::string(owner_key), serialize_owner(own_row)});
        const adapter::commit_result result = co_await shared_.store.commit(work, commit_timeout);
        taking_over_ = false;
        log_event(log_level::info, "takeover",
                  {{"term", term},
                   {"seen_version", seen_version},
                   {"former", shared_.owner.row().host},
                   {"done", result.outcome == adapter::commit_outcome::done},
                   {"reason", result.reason}});
        if (result.outcome == adapter::commit_outcome::done)
        {
            shared_.update_store_time(result.store_time);
            shared_.owner.observe(own_row, result.version, milliseconds(0), shared_.now());
            session_ = std::make_shared<owner_session>(shared_, term, result.version);
            session_->start();
            fleet_ = std::make_shared<fleet_controller>(shared_, session_);
            for (const auto& entry : waves_)
            {
                fleet_->add_wave(entry.second);
            }
            fleet_->start();
            co_return;
        }
        for (const adapter::row& row : result.current)
        {
            if (row.key == owner_key)
            {
                apply_owner(row);
            }
        }
        if (result.outcome != adapter::commit_outcome::conflict)
        {
            shared_.owner.on_store_failure(shared_.now());
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
        if (session_)
        {
            session_->release("this host is stopping");
        }
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
    boost::asio::signal_set signals_;
    std::shared_ptr<http::server> caller_server_;
    std::shared_ptr<http::server> readiness_server_;
    std::shared_ptr<http::server> metrics_server_;
    std::shared_ptr<owner_session> session_;
    std::shared_ptr<fleet_controller> fleet_;
    /// Maintenance waves requested by the operator, by number.
    std::map<std::int64_t, fleet::wave> waves_;
    /// A takeover transaction is in flight.
    bool taking_over_ = false;
    /// A handover request is being stored.
    bool requesting_handover_ = false;
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
