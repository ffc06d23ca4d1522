#include "membership/registry.hpp"

#include "core/error.hpp"
#include "membership/incarnation.hpp"

#include <algorithm>
#include <set>
#include <utility>

namespace lacewingquay::membership
{

registry::registry(routing::member self, registry_settings settings)
    : self_(std::move(self)), settings_(settings), write_(self_.incarnation + "/members")
{
}

void registry::deregister()
{
    enrolled_ = false;
}

registry_actions registry::on_tick(steady_time now, const std::optional<platform::row_check>& fence,
                                   const std::function<bool(std::string_view id)>& is_live)
{
    registry_actions actions;
    for (std::pair<const std::string, sponsorship>& entry : sponsorships_)
    {
        if (entry.second.sponsored_by_self && now >= entry.second.next_send)
        {
            entry.second.next_send = now + settings_.sponsorship_interval;
            actions.sponsored_to_announce.push_back(entry.second.newcomer);
        }
    }
    if (write_.is_pending())
    {
        write_.on_tick(now, actions.table);
        return actions;
    }
    if (read_action_ != 0)
    {
        return actions;
    }
    if (confirmed_by_platform_ && now >= next_write_)
    {
        begin_registration_change(now, fence, is_live, actions.table);
    }
    if (actions.table.empty() && now >= next_poll_)
    {
        read_action_ = write_.new_action_id();
        next_poll_ = now + settings_.poll_interval;
        actions.table.emplace_back(table_read{read_action_, std::string(members_key), view_epoch_});
    }
    return actions;
}

void registry::begin_registration_change(steady_time now,
                                         const std::optional<platform::row_check>& fence,
                                         const std::function<bool(std::string_view)>& is_live,
                                         std::vector<table_action>& actions)
{
    const member_map::const_iterator own = view_.find(self_.id);
    const bool listed = own != view_.end() && own->second.incarnation == self_.incarnation;
    member_map next = view_;
    if (enrolled_ && !listed && status_ != registration::superseded)
    {
        next[self_.id] = self_;
        actions.emplace_back(begin_write(now, next, {self_.id}, std::nullopt));
        return;
    }
    if (!enrolled_ && listed)
    {
        next.erase(self_.id);
        actions.emplace_back(begin_write(now, next, {self_.id}, std::nullopt));
        return;
    }
    if (!fence)
    {
        return;
    }
    const std::vector<std::string> removed_ids = removable_members(now, is_live);
    if (removed_ids.empty())
    {
        return;
    }
    for (const std::string& id : removed_ids)
    {
        next.erase(id);
    }
    actions.emplace_back(begin_write(now, next, removed_ids, fence));
}

table_write registry::begin_write(steady_time now, const member_map& next,
                                  const std::vector<std::string>& changed,
                                  const std::optional<platform::row_check>& fence)
{
    std::string write_id = write_.new_write_id();
    platform::transaction changes;
    changes.checks.push_back({std::string(members_key), view_epoch_});
    if (fence)
    {
        changes.checks.push_back(*fence);
    }
    changes.writes.push_back({std::string(members_key), members_value(next, write_id)});
    for (const std::string& id : changed)
    {
        const member_map::const_iterator found = next.find(id);
        platform::row_write entry{entry_key(id), std::nullopt};
        if (found != next.end())
        {
            entry.value = entry_value(found->second, write_id);
        }
        changes.writes.push_back(std::move(entry));
    }
    return write_.begin(now, std::move(changes), std::string(members_key), std::move(write_id));
}

std::vector<std::string>
registry::removable_members(steady_time now,
                            const std::function<bool(std::string_view)>& is_live) const
{
    std::vector<std::string> removed_ids;
    for (const member_map::value_type& entry : view_)
    {
        if (entry.first != self_.id && has_absence_timed_out(now, entry.second.incarnation) &&
            !is_live(entry.first))
        {
            removed_ids.push_back(entry.first);
        }
    }
    return removed_ids;
}

bool registry::has_absence_timed_out(steady_time now, std::string_view incarnation) const
{
    const std::map<std::string, steady_time, std::less<>>::const_iterator since =
        absent_since_.find(incarnation);
    return since != absent_since_.end() && last_list_ &&
           now - *last_list_ <= settings_.max_list_gap &&
           *last_list_ - since->second >= settings_.absence_timeout;
}

void registry::on_write_result(steady_time now, const write_result& answer,
                               std::vector<table_action>& actions)
{
    const std::optional<write_outcome> outcome = write_.on_write_result(now, answer, actions);
    if (outcome)
    {
        finish_write(now, *outcome);
    }
}

void registry::on_read_result(steady_time now, const read_result& answer)
{
    if (read_action_ == 0 || answer.action_id != read_action_)
    {
        const std::optional<write_outcome> outcome = write_.on_read_result(now, answer);
        if (outcome)
        {
            finish_write(now, *outcome);
        }
        return;
    }
    read_action_ = 0;
    if (answer.result.status == platform::read_status::found)
    {
        confirmed_by_platform_ = true;
        apply_row(answer.result.value);
    }
    else if (answer.result.status == platform::read_status::unchanged ||
             (answer.result.status == platform::read_status::absent && view_epoch_ == 0))
    {
        confirmed_by_platform_ = true;
    }
    else if (answer.result.status == platform::read_status::absent)
    {
        confirmed_by_platform_ = false;
        row_error_ =
            "members: row is absent, expected version " + std::to_string(view_epoch_) + " or above";
    }
}

void registry::finish_write(steady_time now, const write_outcome& outcome)
{
    // After any outcome, the row is read again before the next write.
    if (outcome.read_back && outcome.read_back->version > 0)
    {
        apply_row(*outcome.read_back);
    }
    next_poll_ = now;
    next_write_ = now;
    if (outcome.status == write_status::not_written)
    {
        next_write_ = now + settings_.retry_interval;
        next_poll_ = now + settings_.retry_interval;
    }
    else
    {
        confirmed_by_platform_ = false;
    }
}

void registry::on_peer_row(const platform::row& row)
{
    if (row.key == members_key)
    {
        apply_row(row);
    }
}

void registry::apply_row(const platform::row& row)
{
    if (row.version <= view_epoch_)
    {
        return;
    }
    boost::leaf::try_handle_all(
        [&]() -> boost::leaf::result<void>
        {
            BOOST_LEAF_ASSIGN(view_, parse_members(row.value));
            view_epoch_ = row.version;
            row_ = row;
            row_error_.clear();
            return {};
        },
        [&](const input_error& error)
        {
            row_error_ = error.message();
            confirmed_by_platform_ = false;
        },
        [&] { row_error_ = "members: row cannot be parsed"; });
    update_status();
}

void registry::update_status()
{
    const member_map::const_iterator own = view_.find(self_.id);
    if (own == view_.end())
    {
        if (was_registered_)
        {
            status_ = enrolled_ ? registration::removed : registration::unregistered;
        }
    }
    else if (own->second.incarnation == self_.incarnation)
    {
        status_ = registration::registered;
        was_registered_ = true;
    }
    else if (is_newer_incarnation(own->second.incarnation, self_.incarnation))
    {
        status_ = registration::superseded;
    }
    // A sponsorship ends once the same or a newer incarnation is registered.
    std::erase_if(sponsorships_,
                  [&](const std::pair<const std::string, sponsorship>& entry)
                  {
                      const member_map::const_iterator listed = view_.find(entry.first);
                      return listed != view_.end() &&
                             !is_newer_incarnation(entry.second.newcomer.incarnation,
                                                   listed->second.incarnation);
                  });
}

void registry::on_host_list(steady_time now, const platform::hosts_result& list)
{
    if (list.status != platform::read_status::found || list.hosts.empty())
    {
        return;
    }
    if (last_list_ && now - *last_list_ > settings_.max_list_gap)
    {
        absent_since_.clear();
    }
    last_list_ = now;
    std::set<std::string, std::less<>> listed;
    for (const platform::listed_host& host : list.hosts)
    {
        listed.insert(host.name);
    }
    std::map<std::string, steady_time, std::less<>> absent;
    for (const routing::member& member : members())
    {
        if (!listed.contains(member.id))
        {
            const std::map<std::string, steady_time, std::less<>>::const_iterator since =
                absent_since_.find(member.incarnation);
            absent[member.incarnation] = since == absent_since_.end() ? now : since->second;
        }
    }
    absent_since_ = std::move(absent);
    std::erase_if(sponsorships_, [&](const std::pair<const std::string, sponsorship>& entry)
                  { return has_absence_timed_out(now, entry.second.newcomer.incarnation); });
}

bool registry::on_sponsor(steady_time now, std::string_view sender, const routing::member& newcomer)
{
    const bool is_sponsorship_request = sender == newcomer.id;
    const member_map::const_iterator listed = view_.find(newcomer.id);
    if (newcomer.id == self_.id || !parse_incarnation(newcomer.incarnation) ||
        (listed != view_.end() &&
         !is_newer_incarnation(newcomer.incarnation, listed->second.incarnation)))
    {
        return false;
    }
    if (is_sponsorship_request && (status_ != registration::registered ||
                                   newcomer.availability_zone != self_.availability_zone))
    {
        return false;
    }
    const std::map<std::string, sponsorship, std::less<>>::iterator known =
        sponsorships_.find(newcomer.id);
    if (known != sponsorships_.end() &&
        is_newer_incarnation(known->second.newcomer.incarnation, newcomer.incarnation))
    {
        return false;
    }
    sponsorship& entry = sponsorships_[newcomer.id];
    if (entry.newcomer.incarnation != newcomer.incarnation)
    {
        entry = sponsorship{newcomer, false, now};
    }
    entry.sponsored_by_self = entry.sponsored_by_self || is_sponsorship_request;
    return true;
}

void registry::on_sponsored()
{
    if (status_ == registration::unregistered && enrolled_)
    {
        status_ = registration::sponsored;
    }
}

std::vector<routing::member> registry::members() const
{
    member_map all = view_;
    for (const std::pair<const std::string, sponsorship>& entry : sponsorships_)
    {
        all[entry.first] = entry.second.newcomer;
    }
    std::vector<routing::member> listed;
    listed.reserve(all.size());
    for (const member_map::value_type& entry : all)
    {
        listed.push_back(entry.second);
    }
    return listed;
}

} // namespace lacewingquay::membership
