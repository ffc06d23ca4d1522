#include "entry/daemon.hpp"

#include "cli/options.hpp"
#include "core/log.hpp"
#include "entry/control_plane.hpp"
#include "entry/dispatch_plane.hpp"
#include "entry/settings.hpp"
#include "entry/traffic_plane.hpp"

#include <boost/asio/signal_set.hpp>

#include <future>
#include <iostream>

namespace lacewingquay::entry
{

namespace leaf = boost::leaf;

namespace
{

/// Interval at which a planned stop looks for requests in progress.
constexpr std::chrono::milliseconds drain_poll{20};

/// Longest wait for deregistration; a stop must not hang because the platform is down.
constexpr std::chrono::milliseconds leave_limit{3'000};

/// The daemon's parts. Members are destroyed in reverse order: threads that use others end first.
class daemon
{
public:
    explicit daemon(entry_settings settings)
        : settings_(std::move(settings)),
          incarnation_(settings_.id + "#" + std::to_string(unix_milliseconds(clock_.wall_now())))
    {
    }

    leaf::result<int> run()
    {
        BOOST_LEAF_CHECK(open());
        log_event(
            log_level::info, "started",
            {{"incarnation", incarnation_}, {"availability_zone", settings_.availability_zone}});
        dispatch_->start();
        BOOST_LEAF_CHECK(traffic_->start());
        control_->start();
        boost::asio::signal_set signals(main_io_, SIGTERM, SIGINT);
        signals.async_wait([this](const boost::system::error_code&, int) { stop_planned(); });
        main_io_.run();
        return exit_code_;
    }

private:
    leaf::result<void> open()
    {
        dispatch_plane_settings dispatch_settings;
        dispatch_settings.id = settings_.id;
        dispatch_settings.incarnation = incarnation_;
        dispatch_settings.availability_zone = settings_.availability_zone;
        dispatch_settings.listen = settings_.dispatch_listen;
        const dispatch_plane::report_receiver on_report = [this](const dispatch_report& report)
        {
            control_->on_dispatch_report(report);
        };
        const dispatch_plane::claim_writer write_claims =
            [this](std::string key, std::string value, std::function<void(bool)> done)
        {
            control_->write_row(std::move(key), std::move(value), std::move(done));
        };
        BOOST_LEAF_ASSIGN(dispatch_, dispatch_plane::open(dispatch_settings, zmq_, clock_,
                                                          on_report, write_claims));
        traffic_ = std::make_unique<traffic_plane>(settings_, incarnation_, clock_, *dispatch_,
                                                   dispatch_->keys(), counters_, metrics_);
        control_outputs outputs;
        outputs.publish =
            [this](const routing::snapshot_pointer& snapshot, std::vector<live_member> live)
        {
            traffic_->update(snapshot);
            dispatch_->update(snapshot, std::move(live));
        };
        outputs.member_report = [this](std::string incarnation, std::uint64_t members_epoch)
        {
            dispatch_->keys().on_member_report(std::move(incarnation), members_epoch);
        };
        outputs.batch_loaded = [this](idempotency::claim_batch batch)
        {
            dispatch_->keys().on_batch_loaded(std::move(batch));
        };
        outputs.cut_dispatch = [this](std::set<std::string> peers)
        {
            dispatch_->cut(std::move(peers));
        };
        outputs.superseded = [this]
        {
            boost::asio::post(main_io_, [this] { stop_superseded(); });
        };
        BOOST_LEAF_ASSIGN(control_, control_plane::open(settings_, incarnation_, zmq_, clock_,
                                                        counters_, metrics_, std::move(outputs)));
        return {};
    }

    /// Not ready, then no new connections, then no requests in progress, then deregistered.
    void stop_planned()
    {
        log_event(log_level::info, "stopping", {});
        control_->begin_drain();
        std::this_thread::sleep_for(settings_.drain_delay);
        traffic_->stop_accepting();
        const steady_time limit = clock_.steady_now() + settings_.stop_limit;
        while (traffic_->requests_in_progress() > 0 && clock_.steady_now() < limit)
        {
            std::this_thread::sleep_for(drain_poll);
        }
        if (traffic_->requests_in_progress() > 0)
        {
            log_event(log_level::error, "requests_interrupted",
                      {{"count", traffic_->requests_in_progress()}});
            exit_code_ = cli::exit_failure;
        }
        std::promise<void> left;
        control_->leave(leave_limit, [&left] { left.set_value(); });
        left.get_future().wait();
        stop_threads();
    }

    /// Another incarnation has taken this entry host's place; nothing may be dispatched any more.
    void stop_superseded()
    {
        exit_code_ = cli::exit_conflict;
        stop_threads();
    }

    void stop_threads()
    {
        traffic_->stop();
        dispatch_->stop();
        control_->stop();
        main_io_.stop();
        log_event(log_level::info, "stopped", {});
    }

    entry_settings settings_;
    system_clock_source clock_;
    std::string incarnation_;
    boost::asio::io_context main_io_{1};
    zmq::context_t zmq_{1};
    report::request_counters counters_;
    metrics metrics_;
    std::unique_ptr<control_plane> control_;
    std::unique_ptr<dispatch_plane> dispatch_;
    std::unique_ptr<traffic_plane> traffic_;
    int exit_code_ = cli::exit_ok;
};

} // namespace

int run_entry(std::span<const std::string> arguments)
{
    cli::option_set options("lacewingquay entry [flags]");
    declare_entry_options(options);
    return leaf::try_handle_all(
        [&]() -> leaf::result<int>
        {
            BOOST_LEAF_CHECK(options.parse(arguments));
            if (options.wants_help())
            {
                std::cout << options.help();
                return cli::exit_ok;
            }
            BOOST_LEAF_AUTO(settings, parse_entry_settings(options));
            set_up_log(settings.id, settings.lowest_level);
            return daemon(std::move(settings)).run();
        },
        [](const input_error& error) -> int
        {
            std::cerr << "lacewingquay entry: " << error.message() << "\n";
            return cli::exit_usage;
        },
        []() -> int
        {
            std::cerr << "lacewingquay entry: unknown error\n";
            return cli::exit_failure;
        });
}

} // namespace lacewingquay::entry
