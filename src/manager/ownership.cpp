#include "manager/ownership.hpp"

#include "core/hash.hpp"
#include "core/json.hpp"

#include <boost/json.hpp>

#include <algorithm>

namespace lacewingquay::manager
{

std::string serialize_owner(const owner_row& value)
{
    return boost::json::serialize(boost::json::object{{"host", value.host},
                                                      {"term", value.term},
                                                      {"released", value.released},
                                                      {"renewed_ms", value.renewed.count()}});
}

boost::leaf::result<owner_row> parse_owner(std::string_view text)
{
    BOOST_LEAF_AUTO(body, parse_json_object(text, "owner"));
    json_reader reader(body, "owner");
    owner_row result;
    BOOST_LEAF_ASSIGN(result.host, reader.text("host"));
    BOOST_LEAF_ASSIGN(result.term, reader.integer("term", 1, 1'000'000'000));
    BOOST_LEAF_ASSIGN(result.released, reader.flag_or("released", false));
    BOOST_LEAF_AUTO(renewed, reader.integer_or("renewed_ms", 0, 0, 1'000'000'000'000));
    result.renewed = milliseconds(renewed);
    return result;
}

std::string serialize_handover(const handover_request& value)
{
    return boost::json::serialize(boost::json::object{{"host", value.host}, {"term", value.term}});
}

boost::leaf::result<handover_request> parse_handover(std::string_view text)
{
    BOOST_LEAF_AUTO(body, parse_json_object(text, "handover"));
    json_reader reader(body, "handover");
    handover_request result;
    BOOST_LEAF_ASSIGN(result.host, reader.text("host"));
    BOOST_LEAF_ASSIGN(result.term, reader.integer("term", 1, 1'000'000'000));
    return result;
}

ownership::ownership(ownership_settings values, std::string host, host_resources own_resources)
    : settings_(values), host_(std::move(host)),
      max_resources_(own_resources), hosts_{{host_, own_resources}},
      handover_stability_(values.handover_stability)
{
}

void ownership::observe_host(std::string_view name, const host_resources& resources)
{
    if (name != host_)
    {
        // The record of this name may be of an earlier host.
        hosts_.insert_or_assign(std::string(name), resources);
    }
    max_resources_.cores = std::max(max_resources_.cores, resources.cores);
    max_resources_.link_mbit = std::max(max_resources_.link_mbit, resources.link_mbit);
}

void ownership::observe(const owner_row& row, std::int64_t version, milliseconds age,
                        steady_time now)
{
    if (loaded_ && version <= version_)
    {
        return;
    }
    const bool is_first = !loaded_;
    if (is_first || row.term != row_.term)
    {
        term_seen_ = now;
    }
    if (!is_first && row_.host == host_ && !row_.released && row.term > row_.term)
    {
        handover_stability_ = std::min(handover_stability_ * settings_.handover_backoff,
                                       settings_.max_handover_stability);
    }
    restarted_ = restarted_ || (is_first && version > 0);
    loaded_ = true;
    row_ = row;
    version_ = version;
    // The first read uses the store's clock, so that a restarted host need not wait a full timeout.
    last_change_ = is_first ? now - std::max(age, milliseconds(0)) : now;
}

void ownership::on_store_failure(steady_time now)
{
    last_change_ = now;
    store_failed_ = now;
}

double ownership::strength(const host_resources& resources) const
{
    const double link_ratio = std::min(resources.link_mbit, settings_.sufficient_link_mbit) /
                              std::min(max_resources_.link_mbit, settings_.sufficient_link_mbit);
    return std::min(resources.cores / max_resources_.cores, link_ratio);
}

bool ownership::outclasses_owner(std::string_view candidate) const
{
    const auto owner = hosts_.find(row_.host);
    const auto other = hosts_.find(candidate);
    return owner != hosts_.end() && other != hosts_.end() &&
           strength(owner->second) < settings_.handover_strength * strength(other->second);
}

void ownership::observe_handover(const handover_request& request, steady_time now)
{
    request_ = request;
    request_seen_ = now;
}

bool ownership::should_request_handover(steady_time now) const
{
    if (!loaded_ || version_ == 0 || row_.released || !outclasses_owner(host_))
    {
        return false;
    }
    const bool is_asked =
        request_.term == row_.term && now - request_seen_ < settings_.handover_retry;
    const steady_time stable_since = std::max(term_seen_, store_failed_);
    return !is_asked && now - last_change_ < settings_.failure_timeout &&
           now - stable_since >= handover_stability_ + delay();
}

bool ownership::should_hand_over() const
{
    return loaded_ && row_.host == host_ && !row_.released && request_.term == row_.term &&
           outclasses_owner(request_.host);
}

milliseconds ownership::delay() const
{
    const milliseconds jitter(
        static_cast<std::int64_t>(hash64(host_, static_cast<std::uint64_t>(row_.term)) %
                                  static_cast<std::uint64_t>(settings_.max_jitter.count())));
    const milliseconds rolling_restart_delay =
        restarted_ || !row_.released ? milliseconds(0) : settings_.not_restarted_delay;
    const double shortfall = 1.0 - strength(hosts_.find(host_)->second);
    return jitter + rolling_restart_delay +
           milliseconds(static_cast<std::int64_t>(
               shortfall * static_cast<double>(settings_.low_resources_delay.count())));
}

milliseconds ownership::time_to_takeover(steady_time now) const
{
    const milliseconds since_renewal = std::chrono::duration_cast<milliseconds>(now - last_change_);
    return version_ == 0 || row_.released ? delay() / 2 - since_renewal
                                          : settings_.failure_timeout + delay() - since_renewal;
}

bool ownership::should_take_over(steady_time now) const
{
    return loaded_ && time_to_takeover(now) <= milliseconds(0);
}

} // namespace lacewingquay::manager
