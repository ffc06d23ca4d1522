#include "manager/owner_election.hpp"

#include "core/log.hpp"
#include "core/parse_or_log.hpp"
#include "manager/feed.hpp"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

#include <algorithm>
#include <string_view>
#include <utility>

namespace lacewingquay::manager
{

namespace
{

/// Least interval between reads of the owner's rows, which change every 0.7 s.
constexpr milliseconds owner_read_interval{200};
/// Bounds of one long poll of the owner's rows. A poll ends when this host may have to take over.
constexpr milliseconds min_owner_wait{20};
constexpr milliseconds max_owner_wait{700};
/// Interval between attempts to store this host's record.
constexpr milliseconds host_record_retry_interval{500};

} // namespace

void owner_election::start()
{
    boost::asio::co_spawn(
        shared_.io, [this] { return publish_host_record(); }, boost::asio::detached);
    boost::asio::co_spawn(
        shared_.io, [this] { return follow_rows(); }, boost::asio::detached);
}

void owner_election::configure()
{
    if (session_)
    {
        session_->configure();
    }
}

void owner_election::add_wave(fleet::wave definition)
{
    if (fleet_)
    {
        fleet_->add_wave(definition);
    }
    const std::int64_t number = definition.number;
    waves_[number] = std::move(definition);
}

void owner_election::release()
{
    if (session_)
    {
        session_->release("this host is stopping");
    }
}

void owner_election::apply_owner(const adapter::row& row)
{
    const std::optional<owner_row> owner = parse_or_log("owner_unreadable", row.key, row.version,
                                                        [&] { return parse_owner(row.value); });
    if (owner)
    {
        shared_.owner.observe(*owner, row.version, shared_.store_time() - owner->renewed,
                              shared_.now());
        if (session_)
        {
            session_->observe_term(owner->term);
        }
    }
}

void owner_election::apply_rows(const std::vector<adapter::row>& rows)
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
            std::optional<host_record> host = parse_or_log("host_unreadable", row.key, row.version,
                                                           [&] { return parse_host(row.value); });
            if (host)
            {
                shared_.owner.observe_host(std::string_view(row.key).substr(host_prefix.size()),
                                           host->resources);
                shared_.hosts[row.key.substr(host_prefix.size())] = std::move(*host);
            }
        }
    }
}

boost::asio::awaitable<void> owner_election::follow_rows()
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
        apply_rows(changes.rows);
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

boost::asio::awaitable<void> owner_election::publish_host_record()
{
    adapter::transaction work;
    work.writes.push_back(
        {std::string(owner_table), std::string(host_prefix) + shared_.config.host,
         serialize_host({shared_.config.resources, shared_.config.availability_zone,
                         shared_.config.readiness})});
    bool stored = false;
    while (!stored)
    {
        const adapter::commit_result result = co_await shared_.store.commit(work, commit_timeout);
        stored = result.outcome == adapter::commit_outcome::done;
        if (!stored)
        {
            co_await sleep_for(shared_, host_record_retry_interval);
        }
    }
}

void owner_election::consider_takeover()
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
        boost::asio::co_spawn(
            shared_.io, [this] { return take_over(); }, boost::asio::detached);
    }
}

void owner_election::consider_handover()
{
    if (session_ && !session_->ended() && session_->term() == shared_.owner.row().term &&
        shared_.owner.should_hand_over())
    {
        session_->release("a stronger host has asked for it");
    }
    else if (!session_ && !taking_over_ && !requesting_handover_ && !shared_.stopping &&
             !shared_.isolated && shared_.owner.should_request_handover(shared_.now()))
    {
        requesting_handover_ = true;
        boost::asio::co_spawn(
            shared_.io, [this] { return request_handover(); }, boost::asio::detached);
    }
}

boost::asio::awaitable<void> owner_election::request_handover()
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

boost::asio::awaitable<void> owner_election::take_over()
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
        shared_.update_store_time(result.store_time, result.requested_at);
        shared_.owner.observe(own_row, result.version, milliseconds(0), shared_.now());
        session_ =
            std::make_shared<owner_session>(shared_, term, result.version, result.requested_at);
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

} // namespace lacewingquay::manager
