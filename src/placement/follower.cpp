#include "placement/follower.hpp"

#include "core/error.hpp"
#include "placement/row.hpp"

#include <algorithm>
#include <optional>
#include <utility>

namespace lacewingquay::placement
{

follower::follower(follower_settings settings) : settings_(settings) {}

void follower::on_zones(std::set<std::string, std::less<>> zones)
{
    std::erase_if(polls_, [&](const std::pair<const std::string, poll_state>& entry)
                  { return !zones.contains(entry.first); });
    for (const std::string& zone : zones)
    {
        polls_[zone];
    }
}

std::vector<membership::table_action> follower::on_tick(steady_time now)
{
    std::vector<membership::table_action> actions;
    for (std::pair<const std::string, poll_state>& entry : polls_)
    {
        poll_state& poll = entry.second;
        if (poll.action_id != 0 || now < poll.next_poll)
        {
            continue;
        }
        poll.action_id = ++last_action_;
        poll.sent_at = now;
        poll.next_poll = now + settings_.poll_interval;
        const std::map<std::string, platform::row, std::less<>>::const_iterator known =
            rows_.find(entry.first);
        actions.emplace_back(
            membership::table_read{poll.action_id, placement_key(entry.first),
                                   known == rows_.end() ? 0 : known->second.version});
    }
    return actions;
}

bool follower::on_read_result(const membership::read_result& answer)
{
    for (std::pair<const std::string, poll_state>& entry : polls_)
    {
        poll_state& poll = entry.second;
        if (poll.action_id == 0 || poll.action_id != answer.action_id)
        {
            continue;
        }
        poll.action_id = 0;
        if (answer.result.status == platform::read_status::unavailable)
        {
            return false;
        }
        if (answer.result.status != platform::read_status::found)
        {
            poll.read_at = poll.sent_at;
            return false;
        }
        const row_status status = on_row(answer.result.value);
        if (status != row_status::refused)
        {
            poll.read_at = poll.sent_at;
        }
        return status == row_status::applied;
    }
    return false;
}

row_status follower::on_row(const platform::row& row)
{
    const std::optional<std::string_view> zone = zone_of_placement_key(row.key);
    if (!zone)
    {
        fault_ = input_error{"key", row.key, "placement/<zone>"}.message();
        return row_status::refused;
    }
    return boost::leaf::try_handle_all(
        [&]() -> boost::leaf::result<row_status>
        {
            BOOST_LEAF_AUTO(placement, parse_placement(row.value, *zone));
            const std::map<std::string, zone_placement, std::less<>>::const_iterator known =
                placements_.find(*zone);
            if (known != placements_.end() && placement.epoch <= known->second.epoch)
            {
                return row_status::not_newer;
            }
            placements_.insert_or_assign(std::string(*zone), std::move(placement));
            rows_.insert_or_assign(std::string(*zone), row);
            return row_status::applied;
        },
        [&](const input_error& error)
        {
            fault_ = error.message();
            return row_status::refused;
        },
        [&]
        {
            fault_ = row.key + ": unreadable";
            return row_status::refused;
        });
}

bool follower::is_read_since(steady_time since) const
{
    return !polls_.empty() && std::all_of(polls_.begin(), polls_.end(),
                                          [&](const std::pair<const std::string, poll_state>& entry)
                                          { return entry.second.read_at >= since; });
}

} // namespace lacewingquay::placement
