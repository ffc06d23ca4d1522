#include "idempotency/key_router.hpp"

#include "core/hash.hpp"

#include <algorithm>
#include <limits>
#include <utility>

namespace lacewingquay::idempotency
{

void key_router::add_view(std::uint64_t epoch, std::vector<view_member> members, wall_time now)
{
    if (epoch <= current_epoch())
    {
        return;
    }
    std::sort(members.begin(), members.end(),
              [](const view_member& left, const view_member& right) { return left.id < right.id; });
    view added;
    std::map<std::string, std::uint64_t> reported;
    // An incarnation that is new in this view was registered after the previous view and serves no
    // callers before its registration. For the first view the previous one is unknown.
    const std::uint64_t earliest = views_.empty() ? 0 : current_epoch() + 1;
    for (view_member& member : members)
    {
        const auto known = reported_.find(member.incarnation);
        reported[member.incarnation] = known == reported_.end() ? earliest : known->second;
        added.ids.push_back(std::move(member.id));
        added.incarnations.push_back(std::move(member.incarnation));
    }
    reported_ = std::move(reported);
    views_.emplace(epoch, std::move(added));
    update_lowest(now);
    // The oldest remaining view must have its `sole_since`, which is set once no older view is in
    // use.
    while (views_.size() > max_views && std::next(views_.begin())->second.sole_since)
    {
        views_.erase(views_.begin());
    }
}

void key_router::report(const std::string& incarnation, std::uint64_t epoch, wall_time now)
{
    const auto known = reported_.find(incarnation);
    if (known == reported_.end() || known->second >= epoch)
    {
        return;
    }
    known->second = epoch;
    update_lowest(now);
}

void key_router::update_lowest(wall_time now)
{
    std::uint64_t lowest = current_epoch();
    for (const std::pair<const std::string, std::uint64_t>& entry : reported_)
    {
        lowest = std::min(lowest, entry.second);
    }
    lowest_ = lowest;
    for (std::pair<const std::uint64_t, view>& entry : views_)
    {
        if (entry.first <= lowest && !entry.second.sole_since)
        {
            entry.second.sole_since = now;
        }
    }
}

std::uint64_t key_router::current_epoch() const
{
    return views_.empty() ? 0 : views_.rbegin()->first;
}

std::string key_router::owner(std::string_view key) const
{
    if (views_.empty() || views_.rbegin()->second.ids.empty())
    {
        return {};
    }
    const view& current = views_.rbegin()->second;
    return current.ids[rendezvous_owner(key, current.ids)];
}

std::string key_router::owner_incarnation(std::string_view key) const
{
    if (views_.empty() || views_.rbegin()->second.ids.empty())
    {
        return {};
    }
    const view& current = views_.rbegin()->second;
    return current.incarnations[rendezvous_owner(key, current.ids)];
}

bool key_router::is_stable_owner(std::string_view key, const std::string& id,
                                 std::uint64_t claim_epoch) const
{
    const std::uint64_t lowest = std::min(lowest_, claim_epoch);
    if (views_.empty() || claim_epoch > current_epoch())
    {
        return false;
    }
    // Epochs are consecutive, so a missing one is a view that this entry host has not seen.
    std::uint64_t expected = current_epoch();
    for (auto entry = views_.rbegin(); expected >= lowest && expected > 0; ++entry, --expected)
    {
        if (entry == views_.rend() || entry->first != expected)
        {
            return false;
        }
        const view& candidate = entry->second;
        const std::size_t index = rendezvous_owner(key, candidate.ids);
        if (index >= candidate.ids.size() || candidate.ids[index] != id)
        {
            return false;
        }
    }
    return lowest > 0;
}

std::optional<wall_time> key_router::sole_owner_since(std::string_view key,
                                                      const std::string& id) const
{
    std::optional<wall_time> since;
    std::uint64_t expected = current_epoch();
    for (auto entry = views_.rbegin(); entry != views_.rend() && entry->first == expected;
         ++entry, --expected)
    {
        const std::size_t index = rendezvous_owner(key, entry->second.ids);
        if (index >= entry->second.ids.size() || entry->second.ids[index] != id)
        {
            break;
        }
        since = entry->second.sole_since;
    }
    return since;
}

bool key_router::is_registered(const std::string& incarnation) const
{
    return reported_.count(incarnation) > 0;
}

} // namespace lacewingquay::idempotency
