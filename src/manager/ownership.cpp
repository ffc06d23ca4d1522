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

ownership::ownership(ownership_settings values, std::string host)
    : settings_(values), host_(std::move(host))
{
}

void ownership::observe(const owner_row& row, std::int64_t version, milliseconds age,
                        steady_time now)
{
    if (loaded_ && version <= version_)
    {
        return;
    }
    const bool is_first = !loaded_;
    restarted_ = restarted_ || (is_first && version > 0);
    loaded_ = true;
    row_ = row;
    version_ = version;
    // A host that has just started takes the owner's silence from the store's clock.
    last_change_ = is_first ? now - std::max(age, milliseconds(0)) : now;
}

void ownership::store_failed(steady_time now)
{
    last_change_ = now;
}

bool ownership::should_take_over(steady_time now) const
{
    if (!loaded_)
    {
        return false;
    }
    const milliseconds delay(
        static_cast<std::int64_t>(hash64(host_, static_cast<std::uint64_t>(row_.term)) %
                                  static_cast<std::uint64_t>(settings_.spread.count())));
    const milliseconds wait =
        delay + (restarted_ || version_ == 0 ? milliseconds(0) : settings_.not_restarted_delay);
    if (version_ == 0 || row_.released)
    {
        return now - last_change_ >= wait / 2;
    }
    return now - last_change_ >= settings_.silence + wait;
}

} // namespace lacewingquay::manager
