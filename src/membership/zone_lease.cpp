#include "membership/zone_lease.hpp"

#include "core/json.hpp"

#include <utility>

namespace lacewingquay::membership
{

namespace
{

/// The holder named in a lease row. A row that cannot be parsed yields a placeholder that matches
/// no incarnation, so that the lease is taken over like one that is not renewed.
std::string holder_of(std::string_view value)
{
    boost::json::error_code error;
    const boost::json::value parsed = boost::json::parse(value, error);
    if (!error && parsed.is_object())
    {
        const boost::json::value* holder = parsed.get_object().if_contains("holder");
        if (holder != nullptr && holder->is_string())
        {
            return std::string(holder->get_string());
        }
    }
    return "unreadable";
}

} // namespace

std::string lease_key(std::string_view availability_zone)
{
    return "lease/" + std::string(availability_zone);
}

zone_lease::zone_lease(std::string_view availability_zone, std::string incarnation,
                       lease_settings settings)
    : key_(lease_key(availability_zone)), incarnation_(std::move(incarnation)), settings_(settings),
      write_(incarnation_ + "/lease")
{
}

table_write zone_lease::begin_write(steady_time now, const std::string& holder)
{
    std::string write_id = write_.new_write_id();
    const boost::json::object value{{"write_id", write_id}, {"holder", holder}};
    pending_holder_ = holder;
    platform::transaction changes;
    changes.checks.push_back({key_, version_});
    changes.writes.push_back({key_, boost::json::serialize(value)});
    return write_.begin(now, std::move(changes), key_, std::move(write_id));
}

bool zone_lease::is_take_over_due(std::size_t rank) const
{
    if (!version_seen_)
    {
        return false;
    }
    const milliseconds minimum = holder_.empty() ? milliseconds{0} : settings_.lease_duration;
    const milliseconds own_delay = settings_.rank_delay * static_cast<std::int64_t>(rank);
    return version_last_seen_ - version_first_seen_ >= minimum + own_delay;
}

std::vector<table_action> zone_lease::on_tick(steady_time now, std::size_t rank)
{
    std::vector<table_action> actions;
    if (write_.is_pending())
    {
        write_.on_tick(now, actions);
        return actions;
    }
    if (held_)
    {
        if (now >= next_write_)
        {
            actions.emplace_back(begin_write(now, stopping_ ? std::string() : incarnation_));
        }
        return actions;
    }
    if (read_action_ != 0)
    {
        return actions;
    }
    if (!stopping_ && now >= next_write_ && is_take_over_due(rank))
    {
        actions.emplace_back(begin_write(now, incarnation_));
    }
    else if (now >= next_poll_)
    {
        read_action_ = write_.new_action_id();
        read_sent_at_ = now;
        next_poll_ = now + settings_.poll_interval;
        actions.emplace_back(table_read{read_action_, key_, version_seen_ ? version_ : 0});
    }
    return actions;
}

std::vector<table_action> zone_lease::on_write_result(steady_time now, const write_result& answer)
{
    std::vector<table_action> actions;
    const std::optional<write_outcome> outcome = write_.on_write_result(now, answer, actions);
    if (outcome)
    {
        finish_write(now, *outcome);
    }
    return actions;
}

std::vector<table_action> zone_lease::on_read_result(steady_time now, const read_result& answer)
{
    if (answer.action_id != read_action_ || read_action_ == 0)
    {
        const std::optional<write_outcome> outcome = write_.on_read_result(now, answer);
        if (outcome)
        {
            finish_write(now, *outcome);
        }
        return {};
    }
    read_action_ = 0;
    switch (answer.result.status)
    {
    case platform::read_status::found:
        apply_row(read_sent_at_, now, answer.result.value);
        break;
    case platform::read_status::absent:
        apply_row(read_sent_at_, now, {key_, 0, {}});
        break;
    case platform::read_status::unchanged:
        confirm_unchanged(read_sent_at_, now);
        break;
    case platform::read_status::unavailable:
        break;
    }
    return {};
}

void zone_lease::finish_write(steady_time now, const write_outcome& outcome)
{
    switch (outcome.status)
    {
    case write_status::committed:
        holder_ = pending_holder_;
        version_ = outcome.version;
        held_ = !holder_.empty();
        // Measured from the time of sending: the platform may have committed at any time since.
        confirmed_at_ = outcome.sent_at;
        next_write_ = outcome.sent_at + settings_.renew_interval;
        if (!held_)
        {
            clear_lease(now);
        }
        break;
    case write_status::conflict:
        clear_lease(now);
        break;
    case write_status::not_written:
        next_write_ = now + settings_.retry_interval;
        break;
    case write_status::superseded:
        apply_row(outcome.sent_at, now, *outcome.read_back);
        break;
    }
}

void zone_lease::apply_row(steady_time sent_at, steady_time now, const platform::row& row)
{
    const std::string holder = row.version == 0 ? std::string() : holder_of(row.value);
    if (holder == incarnation_)
    {
        // A write of this host whose answer was lost, or that was applied late. No other host has
        // taken over since, so the version is a valid fencing token. `confirmed_at_` stays, because
        // the time of this renewal is not known.
        held_ = true;
        holder_ = holder;
        version_ = row.version;
        next_write_ = now;
        return;
    }
    held_ = false;
    confirmed_at_.reset();
    holder_ = holder;
    if (!version_seen_ || row.version != version_ || now - last_answer_ > settings_.max_read_gap)
    {
        version_seen_ = true;
        version_first_seen_ = now;
        version_last_seen_ = now;
    }
    else if (sent_at > version_last_seen_)
    {
        version_last_seen_ = sent_at;
    }
    version_ = row.version;
    last_answer_ = now;
}

void zone_lease::confirm_unchanged(steady_time sent_at, steady_time now)
{
    if (now - last_answer_ > settings_.max_read_gap)
    {
        version_first_seen_ = now;
        version_last_seen_ = now;
    }
    else if (sent_at > version_last_seen_)
    {
        version_last_seen_ = sent_at;
    }
    last_answer_ = now;
}

void zone_lease::clear_lease(steady_time now)
{
    held_ = false;
    confirmed_at_.reset();
    version_seen_ = false;
    next_poll_ = now;
    next_write_ = now;
}

std::optional<platform::row_check> zone_lease::fence(steady_time now) const
{
    if (!held_ || stopping_ || !confirmed_at_ || now - *confirmed_at_ > settings_.renew_deadline)
    {
        return std::nullopt;
    }
    return platform::row_check{key_, version_};
}

} // namespace lacewingquay::membership
