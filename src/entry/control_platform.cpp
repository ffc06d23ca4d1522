#include "config/records.hpp"
#include "core/json.hpp"
#include "core/log.hpp"
#include "entry/control_plane.hpp"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/post.hpp>

namespace lacewingquay::entry
{

namespace asio = boost::asio;

namespace
{

/// Interval at which a lease holder looks for notes whose veto window has ended.
constexpr std::chrono::milliseconds accept_interval{1'000};

/// Interval at which a lease holder removes the counter rows of one period that is past keeping.
constexpr std::chrono::milliseconds removal_interval{5'000};

/// Interval at which a lease holder advances a maintenance wave.
constexpr std::chrono::milliseconds wave_interval{2'000};

/// Interval at which a lease holder looks whether another minute can be planned.
constexpr std::chrono::milliseconds plan_interval{10'000};

/// Most counter rows in one transaction.
constexpr std::size_t flush_batch = 20;

/// Parses with `parse`, or logs the error and returns nothing.
template <typename Result, typename Function>
std::optional<Result> parse_or_log(std::string_view what, Function parse)
{
    return boost::leaf::try_handle_all(
        [&]() -> boost::leaf::result<std::optional<Result>>
        {
            BOOST_LEAF_AUTO(value, parse());
            return std::optional<Result>(std::move(value));
        },
        [&](const input_error& error) -> std::optional<Result>
        {
            log_event(log_level::error, "platform_row_refused",
                      {{"row", what}, {"reason", error.message()}});
            return std::nullopt;
        },
        [] { return std::optional<Result>(); });
}

} // namespace

void control_plane::poll_platform(steady_time now)
{
    if (now >= next_head_read_ && !reading_head_)
    {
        next_head_read_ = now + settings_.poll_interval;
        reading_head_ = true;
        asio::co_spawn(io_, read_head(), asio::detached);
    }
    if (now >= next_hosts_read_ && !reading_hosts_ && lease_.is_held())
    {
        next_hosts_read_ = now + settings_.poll_interval;
        reading_hosts_ = true;
        asio::co_spawn(io_, read_host_list(), asio::detached);
    }
    if (now >= next_accept_ && !accepting_ && lease_.is_held())
    {
        next_accept_ = now + accept_interval;
        accepting_ = true;
        asio::co_spawn(io_, accept_due_notes(), asio::detached);
    }
    if (now >= next_flush_ && !flushing_)
    {
        next_flush_ = now + settings_.flush_interval;
        flushing_ = true;
        asio::co_spawn(io_, flush_counters(), asio::detached);
    }
    if (now >= next_removal_ && !removing_ && lease_.is_held())
    {
        next_removal_ = now + removal_interval;
        removing_ = true;
        asio::co_spawn(io_, remove_old_counters(), asio::detached);
    }
    if (now >= next_claims_load_ && !claims_loaded_ && !loading_claims_)
    {
        next_claims_load_ = now + settings_.poll_interval;
        loading_claims_ = true;
        asio::co_spawn(io_, load_claims(), asio::detached);
    }
    start_runners(now);
    const bool needs_state =
        config_.current().epoch == 0 || !may_dispatch() || refresh_.has_value();
    if (now >= next_state_fetch_ && needs_state && !leaving_)
    {
        ask_peers_for_state();
    }
}

void control_plane::start_runners(steady_time now)
{
    if (!lease_.is_held() || config_.current().epoch == 0 || leaving_)
    {
        return;
    }
    if (now >= next_wave_step_ && !advancing_waves_)
    {
        next_wave_step_ = now + wave_interval;
        advancing_waves_ = true;
        asio::co_spawn(io_, run_waves(), asio::detached);
    }
    if (now >= next_plan_ && !planning_ &&
        settings_.availability_zone == planning_zone(*config_.current().value))
    {
        next_plan_ = now + plan_interval;
        planning_ = true;
        asio::co_spawn(io_, run_planner(), asio::detached);
    }
}

asio::awaitable<void> control_plane::run_waves()
{
    co_await waves_.step(config_.current().value);
    advancing_waves_ = false;
}

asio::awaitable<void> control_plane::run_planner()
{
    co_await planner_.step(config_.current().value);
    planning_ = false;
}

asio::awaitable<void> control_plane::read_head()
{
    const steady_time asked = clock_.steady_now();
    const platform::row_result result =
        co_await platform_.read_row(std::string(config::head_key), head_version_);
    reading_head_ = false;
    if (result.status == platform::read_status::unavailable)
    {
        co_return;
    }
    head_read_at_ = asked;
    if (result.status != platform::read_status::found)
    {
        co_return;
    }
    const std::optional<config::head_record> head = parse_or_log<config::head_record>(
        config::head_key, [&] { return config::parse_head_record(result.value.value); });
    if (!head)
    {
        co_return;
    }
    head_version_ = result.value.version;
    head_epoch_ = head->epoch;
    if (config_.current().epoch == head_epoch_)
    {
        mover_.on_configuration(*config_.current().value, head_version_);
    }
    perform(config_.head_seen(clock_.steady_now(), head->epoch, head->digest, {}));
}

void control_plane::perform(const std::vector<config::follower_action>& actions)
{
    for (const config::follower_action& action : actions)
    {
        if (const config::fetch_body* fetch = std::get_if<config::fetch_body>(&action))
        {
            fetch_body(*fetch);
        }
        else if (const config::in_force* accepted = std::get_if<config::in_force>(&action))
        {
            put_in_force(*accepted);
        }
        else
        {
            log_event(log_level::error, "configuration_refused",
                      {{"reason", std::get<config::follower_problem>(action).message}});
        }
    }
}

void control_plane::fetch_body(const config::fetch_body& wanted)
{
    if (wanted.source.peer.empty())
    {
        asio::co_spawn(io_, read_body(wanted), asio::detached);
        return;
    }
    pb::Envelope message;
    message.mutable_config_fetch()->set_epoch(wanted.epoch);
    link_->send(wanted.source.peer, message);
}

asio::awaitable<void> control_plane::read_body(config::fetch_body wanted)
{
    const platform::object_result result =
        co_await platform_.read_object(config::body_key(wanted.digest));
    const steady_time now = clock_.steady_now();
    if (result.status == platform::read_status::found)
    {
        perform(config_.body_received(now, wanted.digest, wanted.source, result.body));
    }
    else
    {
        perform(config_.fetch_failed(now, wanted.digest, wanted.source));
    }
}

void control_plane::put_in_force(const config::in_force& accepted)
{
    std::vector<std::string> services;
    for (const std::pair<const std::string, config::service>& service : accepted.value->services)
    {
        services.push_back(service.first);
    }
    counters_.set_services(services);
    metrics_.set_services(services);
    std::set<std::string, std::less<>> zones{settings_.availability_zone};
    for (const std::pair<const std::string, config::host>& host : accepted.value->hosts)
    {
        zones.insert(host.second.availability_zone);
    }
    placement_.on_zones(std::move(zones));
    if (head_epoch_ == accepted.epoch)
    {
        mover_.on_configuration(*accepted.value, head_version_);
    }
    const std::int64_t now_ms = unix_milliseconds(clock_.wall_now());
    log_event(log_level::info, "configuration_in_force",
              {{"epoch", accepted.epoch}, {"digest", accepted.digest}});
    rollout_rows_.push_back(
        {"rollout/" + std::to_string(accepted.epoch) + "/" + incarnation_,
         boost::json::serialize(boost::json::object{
             {"availability_zone", settings_.availability_zone}, {"in_force_at_ms", now_ms}})});
    pb::Envelope offer;
    offer.mutable_config_offer()->set_epoch(accepted.epoch);
    offer.mutable_config_offer()->set_digest(accepted.digest);
    send_to_all(offer);
    snapshot_changed_ = true;
    publish_if_changed();
}

void control_plane::apply_placement_row(const platform::row& row)
{
    const placement::row_status fate = placement_.on_row(row);
    snapshot_changed_ = fate == placement::row_status::applied || snapshot_changed_;
    if (fate == placement::row_status::refused)
    {
        log_event(log_level::error, "placement_row_refused",
                  {{"row", row.key}, {"reason", placement_.fault()}});
    }
}

asio::awaitable<void> control_plane::read_host_list()
{
    const platform::hosts_result list = co_await platform_.list_hosts();
    reading_hosts_ = false;
    const steady_time now = clock_.steady_now();
    registry_.on_host_list(now, list);
    mover_.on_host_list(now, list);
}

asio::awaitable<void> control_plane::accept_due_notes()
{
    const platform::row_result result =
        co_await platform_.read_row(std::string(config::open_notes_key), open_notes_version_);
    if (result.status == platform::read_status::found)
    {
        const std::optional<config::open_notes> notes = parse_or_log<config::open_notes>(
            config::open_notes_key, [&] { return config::parse_open_notes(result.value.value); });
        if (notes)
        {
            open_notes_ = *notes;
            open_notes_version_ = result.value.version;
        }
    }
    const std::int64_t now_ms = unix_milliseconds(clock_.wall_now());
    for (const std::string& id : config::due_notes(open_notes_, now_ms))
    {
        const std::optional<platform::row_check> fence = lease_.fence(clock_.steady_now());
        if (!fence)
        {
            break;
        }
        const config::writer by{incarnation_, incarnation_ + "-" + id + "-accept", now_ms};
        config::acceptance how;
        how.fence.push_back(*fence);
        const config::release_result accepted = co_await releases_.accept(id, how, by);
        log_event(log_level::info, "note_decided", {{"note", id}, {"result", accepted.message}});
    }
    next_head_read_ = clock_.steady_now();
    accepting_ = false;
}

void control_plane::write_row(std::string key, std::string value, std::function<void(bool)> done)
{
    platform::transaction changes;
    changes.writes.push_back({std::move(key), std::move(value)});
    asio::post(io_,
               [this, changes = std::move(changes), done = std::move(done)]() mutable {
                   asio::co_spawn(io_, write_claims(std::move(changes), std::move(done)),
                                  asio::detached);
               });
}

asio::awaitable<void> control_plane::write_claims(platform::transaction changes,
                                                  std::function<void(bool)> done)
{
    // Only this incarnation writes the row, so that writing it again after a lost answer is
    // harmless.
    const platform::transact_result result = co_await platform_.transact(std::move(changes));
    done(result.status == platform::transact_status::committed);
}

asio::awaitable<void> control_plane::load_claims()
{
    const platform::rows_result rows = co_await platform_.read_rows("claims/" + settings_.id + "/");
    loading_claims_ = false;
    if (rows.status == platform::read_status::unavailable)
    {
        co_return;
    }
    claims_loaded_ = true;
    const wall_time now = clock_.wall_now();
    platform::transaction expired;
    for (const platform::row& row : rows.rows)
    {
        const std::optional<idempotency::claim_batch> batch =
            parse_or_log<idempotency::claim_batch>(
                row.key, [&] { return idempotency::parse_claim_batch(row.value); });
        if (batch && batch->expires_at < now)
        {
            expired.writes.push_back({row.key, std::nullopt});
        }
        else if (batch)
        {
            outputs_.batch_loaded(*batch);
        }
    }
    if (!expired.writes.empty())
    {
        co_await platform_.transact(std::move(expired));
    }
}

asio::awaitable<void> control_plane::flush_counters()
{
    const wall_time now = clock_.wall_now();
    rows_.add(now, counters_.take());
    const std::vector<platform::row_write> counters = rows_.pending(flush_batch);
    platform::transaction changes;
    changes.writes = counters;
    const std::size_t rollouts = rollout_rows_.size();
    changes.writes.insert(changes.writes.end(), rollout_rows_.begin(), rollout_rows_.end());
    if (!changes.writes.empty())
    {
        const platform::transact_result result = co_await platform_.transact(std::move(changes));
        if (result.status == platform::transact_status::committed)
        {
            rows_.written(counters, clock_.wall_now());
            rollout_rows_.erase(rollout_rows_.begin(),
                                rollout_rows_.begin() + static_cast<std::ptrdiff_t>(rollouts));
        }
    }
    flushing_ = false;
}

asio::awaitable<void> control_plane::remove_old_counters()
{
    const std::optional<std::string> prefix = retention_.next(clock_.wall_now());
    if (prefix)
    {
        const platform::rows_result old = co_await platform_.read_rows(*prefix);
        platform::transaction changes;
        for (const platform::row& row : old.rows)
        {
            changes.writes.push_back({row.key, std::nullopt});
        }
        bool done = old.status != platform::read_status::unavailable;
        if (done && !changes.writes.empty())
        {
            const platform::transact_result result =
                co_await platform_.transact(std::move(changes));
            done = result.status == platform::transact_status::committed;
        }
        if (done)
        {
            retention_.removed();
        }
    }
    removing_ = false;
}

} // namespace lacewingquay::entry
