#include "entry/control_plane.hpp"

#include "core/log.hpp"
#include "entry/operator_port.hpp"
#include "entry/thread_time.hpp"
#include "peer/heartbeat_codec.hpp"
#include "routing/builder.hpp"

#include <boost/asio/post.hpp>

#include <algorithm>

namespace lacewingquay::entry
{

namespace asio = boost::asio;

namespace
{

/// Interval of the control thread's work. A quarter of the heartbeat interval within a zone.
constexpr std::chrono::milliseconds tick_interval{50};

/// The snapshot is published again this often, as the key owner asks for its view to be confirmed
/// after a gap in its events.
constexpr std::chrono::milliseconds confirmation_interval{1'000};

routing::member own_member(const entry_settings& settings, const std::string& incarnation)
{
    return {settings.id, incarnation, settings.availability_zone, settings.peer_listen,
            settings.dispatch_listen};
}

platform::http_client_settings client_settings(const entry_settings& settings)
{
    platform::http_client_settings result;
    result.platform = settings.platform;
    result.node = settings.id;
    return result;
}

bool same_live(const std::vector<live_member>& left, const std::vector<live_member>& right)
{
    return std::equal(left.begin(), left.end(), right.begin(), right.end(),
                      [](const live_member& one, const live_member& other) {
                          return one.incarnation == other.incarnation &&
                                 one.stopping == other.stopping;
                      });
}

} // namespace

control_plane::control_plane(entry_settings settings, std::string incarnation,
                             const clock_source& clock, report::request_counters& counters,
                             metrics& series, control_outputs outputs)
    : settings_(std::move(settings)), incarnation_(std::move(incarnation)), clock_(clock),
      counters_(counters), metrics_(series), outputs_(std::move(outputs)),
      work_(io_.get_executor()), timer_(io_),
      client_(io_.get_executor(), client_settings(settings_)), platform_(client_),
      runner_(io_, platform_, clock_), liveness_(settings_.id, settings_.availability_zone),
      registry_(own_member(settings_, incarnation_)),
      lease_(settings_.availability_zone, incarnation_), config_(config::follower_settings{}),
      releases_(platform_, config::release_settings{}),
      mover_(settings_.availability_zone, incarnation_),
      rows_(incarnation_, report::row_buffer_settings{}), retention_(report::retention_settings{})
{
    make_table_cores();
}

control_plane::~control_plane()
{
    stop();
}

boost::leaf::result<std::unique_ptr<control_plane>>
control_plane::open(entry_settings settings, std::string incarnation, zmq::context_t& context,
                    const clock_source& clock, report::request_counters& counters, metrics& series,
                    control_outputs outputs)
{
    std::unique_ptr<control_plane> plane(new control_plane(
        std::move(settings), std::move(incarnation), clock, counters, series, std::move(outputs)));
    BOOST_LEAF_CHECK(plane->listen(context));
    return plane;
}

boost::leaf::result<void> control_plane::listen(zmq::context_t& context)
{
    peer::link_settings link_settings;
    link_settings.id = settings_.id;
    link_settings.incarnation = incarnation_;
    link_settings.listen = settings_.peer_listen;
    BOOST_LEAF_ASSIGN(link_, peer::link::open(io_, context, link_settings,
                                              [this](const pb::Envelope& envelope)
                                              { receive(envelope); }));
    operator_functions functions;
    functions.readiness = [this]
    {
        return readiness();
    };
    functions.metrics = [this]
    {
        return metrics_.exposition();
    };
    functions.status = [this]
    {
        return status();
    };
    if (settings_.fault_injection)
    {
        functions.inject_faults = [this](const boost::json::object& faults)
        {
            return inject_faults(faults);
        };
    }
    BOOST_LEAF_ASSIGN(operator_server_,
                      http::server::listen(io_.get_executor(), settings_.operator_listen, {},
                                           make_operator_handler(functions)));
    return {};
}

void control_plane::make_table_cores()
{
    using followups = table_core::followups;
    lease_core_.on_write = [this](steady_time now, const membership::write_result& answer)
    {
        return lease_.on_write_result(now, answer);
    };
    lease_core_.on_read = [this](steady_time now, const membership::read_result& answer)
    {
        return lease_.on_read_result(now, answer);
    };
    registry_core_.on_write = [this](steady_time now, const membership::write_result& answer)
    {
        followups actions;
        registry_.on_write_result(now, answer, actions);
        return actions;
    };
    registry_core_.on_read = [this](steady_time now, const membership::read_result& answer)
    {
        registry_.on_read_result(now, answer);
        return followups();
    };
    placement_core_.on_read = [this](steady_time, const membership::read_result& answer)
    {
        snapshot_changed_ = placement_.on_read_result(answer) || snapshot_changed_;
        return followups();
    };
    mover_core_.on_write = [this](steady_time now, const membership::write_result& answer)
    {
        return mover_.on_write_result(now, answer);
    };
    mover_core_.on_read = [this](steady_time now, const membership::read_result& answer)
    {
        mover_.on_read_result(now, answer);
        return followups();
    };
    mover_core_.on_list = [this](steady_time, const membership::list_result& answer)
    {
        mover_.on_list_result(answer);
        return followups();
    };
}

void control_plane::start()
{
    registry_.enroll();
    placement_.on_zones({settings_.availability_zone});
    update_peers();
    thread_ = std::thread(
        [this]
        {
            ask_peers_for_state();
            tick();
            io_.run();
        });
}

void control_plane::stop()
{
    if (!thread_.joinable())
    {
        return;
    }
    asio::post(io_,
               [this]
               {
                   timer_.cancel();
                   link_->close();
                   operator_server_->stop();
                   io_.stop();
               });
    thread_.join();
}

void control_plane::begin_drain()
{
    asio::post(io_,
               [this]
               {
                   draining_ = true;
                   publish_if_changed();
                   for (const routing::member& member : members_)
                   {
                       send_heartbeat(member.id);
                   }
               });
}

void control_plane::leave(std::chrono::milliseconds limit, std::function<void()> done)
{
    asio::post(io_,
               [this, limit, done = std::move(done)]() mutable
               {
                   leaving_ = true;
                   left_ = std::move(done);
                   leave_until_ = clock_.steady_now() + limit;
                   next_flush_ = clock_.steady_now();
                   lease_.stop();
                   registry_.deregister();
               });
}

void control_plane::on_dispatch_report(dispatch_report report)
{
    asio::post(io_, [this, report = std::move(report)]() mutable
               { dispatch_report_ = std::move(report); });
}

void control_plane::tick()
{
    const steady_time now = clock_.steady_now();
    tick_membership(now);
    tick_placement(now);
    perform(config_.tick(now));
    poll_platform(now);
    finish_refresh();
    publish_if_changed();
    finish_leave(now);
    update_gauges();
    timer_.expires_after(tick_interval);
    timer_.async_wait(
        [this](const boost::system::error_code& error)
        {
            if (!error)
            {
                tick();
            }
        });
}

void control_plane::tick_membership(steady_time now)
{
    const membership::liveness_actions actions = liveness_.on_tick(now);
    if (actions.refresh)
    {
        log_event(log_level::warning, "pause_detected", {{"refresh", *actions.refresh}});
        refresh_ = actions.refresh;
        refresh_since_ = now;
        next_head_read_ = now;
        ask_peers_for_state();
    }
    const membership::heartbeat own = make_heartbeat();
    reports_.on_heartbeat(now, own);
    outputs_.member_report(incarnation_, own.members_epoch);
    for (const std::string& peer : actions.send_heartbeat_to)
    {
        send_heartbeat(peer);
    }
    for (const std::string& peer : actions.became_live)
    {
        log_event(log_level::info, "peer_live", {{"peer", peer}});
    }
    for (const std::string& peer : actions.became_suspect)
    {
        log_event(log_level::warning, "peer_suspect", {{"peer", peer}});
    }
    runner_.run(lease_.on_tick(now, liveness_.own_rank()), lease_core_);
    const membership::registry_actions wanted = registry_.on_tick(
        now, lease_.fence(now), [this](std::string_view id) { return liveness_.is_live(id); });
    runner_.run(wanted.table, registry_core_);
    for (const routing::member& newcomer : wanted.sponsored_to_announce)
    {
        pb::Envelope message;
        peer::encode(newcomer, *message.mutable_sponsor());
        send_to_all(message);
    }
    if (registry_.status() == membership::registration::superseded)
    {
        log_event(log_level::error, "superseded", {{"incarnation", incarnation_}});
        outputs_.superseded();
    }
    update_peers();
}

void control_plane::tick_placement(steady_time now)
{
    if (!registry_.may_dispatch())
    {
        registered_since_.reset();
    }
    else if (!registered_since_)
    {
        registered_since_ = now;
    }
    if (registered_since_)
    {
        runner_.run(placement_.on_tick(now), placement_core_);
    }
    const std::map<std::string, placement::zone_placement, std::less<>>::const_iterator own =
        placement_.zones().find(settings_.availability_zone);
    const std::uint64_t known_epoch = own == placement_.zones().end() ? 0 : own->second.epoch;
    const placement::mover_inputs inputs{
        lease_.fence(now), members_,    registry_.members_epoch(),
        reports_,          known_epoch, unix_milliseconds(clock_.wall_now())};
    runner_.run(mover_.on_tick(now, inputs), mover_core_);
    for (const placement::mover_refusal& refusal : mover_.take_refusals())
    {
        log_event(log_level::warning, "placement_request_refused", {{"reason", refusal.reason}});
    }
}

void control_plane::finish_refresh()
{
    if (!refresh_)
    {
        return;
    }
    const bool from_platform =
        head_read_at_ >= refresh_since_ && placement_.is_read_since(refresh_since_);
    if (from_platform || state_received_at_ >= refresh_since_)
    {
        log_event(log_level::info, "refreshed", {{"refresh", *refresh_}});
        liveness_.on_refreshed(*refresh_);
        refresh_.reset();
    }
}

std::vector<live_member> control_plane::live_members() const
{
    std::vector<live_member> live;
    for (const routing::member& member : members_)
    {
        if (member.id == settings_.id || !liveness_.is_live(member.id))
        {
            continue;
        }
        const membership::epoch_report* report = reports_.find(member);
        const bool stopping = report == nullptr || report->message.stopping;
        live.push_back({member.id, member.incarnation, member.availability_zone, stopping});
    }
    live.push_back({settings_.id, incarnation_, settings_.availability_zone, !may_dispatch()});
    return live;
}

void control_plane::publish_if_changed()
{
    if (config_.current().epoch == 0)
    {
        return;
    }
    std::vector<live_member> live = live_members();
    const steady_time now = clock_.steady_now();
    const bool is_unchanged = !snapshot_changed_ && snapshot_ && same_live(live, published_live_);
    if (is_unchanged && now < next_confirmation_)
    {
        return;
    }
    next_confirmation_ = now + confirmation_interval;
    if (snapshot_changed_ || !snapshot_)
    {
        snapshot_ =
            routing::build_snapshot({*config_.current().value, config_.current().digest,
                                     placement_.zones(), members_, registry_.members_epoch()});
        snapshot_changed_ = false;
    }
    published_live_ = live;
    outputs_.publish(snapshot_, std::move(live));
}

void control_plane::finish_leave(steady_time now)
{
    if (!leaving_ || !left_)
    {
        return;
    }
    const bool settled = registry_.status() == membership::registration::unregistered &&
                         !lease_.is_held() && !flushing_ && rows_.pending(1).empty();
    if (settled || now >= leave_until_)
    {
        log_event(log_level::info, "left", {{"settled", settled}});
        std::function<void()> done = std::move(left_);
        left_ = nullptr;
        done();
    }
}

bool control_plane::has_fresh_placement() const
{
    return registered_since_ && (placement_.is_read_since(*registered_since_) ||
                                 state_received_at_ >= *registered_since_);
}

bool control_plane::may_dispatch() const
{
    return registry_.may_dispatch() && liveness_.may_dispatch() && has_fresh_placement() &&
           !draining_;
}

membership::heartbeat control_plane::make_heartbeat() const
{
    membership::heartbeat message;
    message.id = settings_.id;
    message.incarnation = incarnation_;
    message.availability_zone = settings_.availability_zone;
    message.members_epoch = snapshot_ ? snapshot_->members_epoch : 0;
    message.config_epoch = config_.current().epoch;
    message.config_digest = config_.current().digest;
    const std::uint64_t in_force = dispatch_report_.placement_in_force;
    message.placement[settings_.availability_zone] = {
        in_force, std::min(in_force, dispatch_report_.lowest_placement_epoch)};
    message.busy_draining_hosts.insert(dispatch_report_.busy_draining_hosts.begin(),
                                       dispatch_report_.busy_draining_hosts.end());
    message.ready = readiness().empty();
    message.stopping = !may_dispatch();
    return message;
}

} // namespace lacewingquay::entry
