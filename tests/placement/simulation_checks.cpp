#include "placement/row.hpp"
#include "placement/simulation.hpp"

#include <boost/json.hpp>

#include <algorithm>
#include <optional>

namespace lacewingquay::placement
{

namespace
{

const std::string row_key = "placement/z1";

std::optional<zone_placement> parsed(const std::string& value)
{
    return boost::leaf::try_handle_all(
        [&]() -> boost::leaf::result<std::optional<zone_placement>>
        {
            BOOST_LEAF_AUTO(placement, parse_placement(value, simulation::zone));
            return std::optional<zone_placement>(std::move(placement));
        },
        [] { return std::optional<zone_placement>(); });
}

} // namespace

platform::transact_result simulation::commit(const platform::transaction& changes,
                                             const std::string& writer)
{
    const platform::row placement_before = table_.read(row_key, 0).value;
    const std::string members_before = table_.value("members");
    platform::transact_result result = table_.transact(changes);
    if (result.status == platform::transact_status::committed)
    {
        check_placement(changes, placement_before, writer);
        check_members(members_before, writer);
    }
    return result;
}

void simulation::check_placement(const platform::transaction& changes, const platform::row& before,
                                 const std::string& writer)
{
    const std::string value = table_.value(row_key);
    if (table_.version(row_key) == before.version)
    {
        return;
    }
    const boost::json::value lease = boost::json::parse(table_.value("lease/z1"));
    if (lease.at("holder").as_string() != writer)
    {
        fail("placement written by " + writer + ", which is not the lease holder");
    }
    const std::optional<zone_placement> next = parsed(value);
    if (!next || next->hosts.size() != host_count)
    {
        fail("a host is not in exactly one pool: " + value);
        return;
    }
    epochs_.emplace_back(now_, next->epoch);
    const std::optional<zone_placement> last = parsed(before.value);
    std::size_t moved = 0;
    for (const std::pair<const std::string, host_placement>& item : next->hosts)
    {
        if (!last || last->hosts.at(item.first).pool == item.second.pool)
        {
            continue;
        }
        ++moved;
        const std::string& old_pool = last->hosts.at(item.first).pool;
        for (const std::unique_ptr<node>& other : nodes_)
        {
            if (may_dispatch(*other, item.first, old_pool))
            {
                fail(item.first + " left " + old_pool + " while " + other->self.incarnation +
                     " may dispatch for it");
            }
        }
    }
    if (last && next->epoch <= last->epoch)
    {
        fail("placement epoch did not increase");
    }
    const std::size_t records = static_cast<std::size_t>(std::count_if(
        changes.writes.begin(), changes.writes.end(),
        [](const platform::row_write& row) { return row.key.starts_with("moves/"); }));
    if (records != moved)
    {
        fail("history records do not match the moves");
    }
    completed_moves_ += moved;
}

void simulation::check_members(const std::string& before, const std::string& writer)
{
    const std::string after = table_.value("members");
    if (before.empty() || before == after)
    {
        return;
    }
    const boost::json::value old_entries = boost::json::parse(before).at("entries");
    const boost::json::value new_entries = boost::json::parse(after).at("entries");
    for (const boost::json::key_value_pair& entry : old_entries.as_object())
    {
        if (!new_entries.as_object().contains(entry.key()))
        {
            fail(writer + " removed the registration of " + std::string(entry.key()));
        }
    }
}

bool simulation::may_dispatch(const node& other, const std::string& host,
                              const std::string& pool) const
{
    if (other.dead)
    {
        return false;
    }
    // A paused process resumes with the snapshot that it had, so it counts as well.
    const std::map<std::string, zone_placement, std::less<>>::const_iterator row =
        other.placements.zones().find(zone);
    const bool by_snapshot = other.members.may_dispatch() &&
                             row != other.placements.zones().end() &&
                             row->second.hosts.at(host).state == host_state::serving &&
                             row->second.hosts.at(host).pool == pool;
    return by_snapshot ||
           std::any_of(other.grants.begin(), other.grants.end(),
                       [&](const grant& held) { return held.host == host && held.pool == pool; });
}

void simulation::heal_and_finish()
{
    platform_down_ = false;
    faulty_writes_ = 0;
    listed_leaving_.assign(host_count, false);
    for (std::size_t index = 0; index < node_count; ++index)
    {
        node& current = nodes_[index]->dead ? restart(index) : *nodes_[index];
        current.paused = false;
        current.pause_before_write = false;
        current.peers_cut = false;
        current.platform_cut = false;
        current.grants.clear();
    }
    for (std::size_t count = 0; count < 900; ++count)
    {
        tick();
    }
    const std::optional<zone_placement> last = parsed(table_.value(row_key));
    if (!last)
    {
        fail("no placement row after all faults ended");
        return;
    }
    for (const std::pair<const std::string, host_placement>& item : last->hosts)
    {
        if (item.second.state == host_state::draining)
        {
            fail(item.first + " is still draining after all faults ended");
        }
    }
    for (const platform::row& row : table_.list("move/").rows)
    {
        if (row.value.find("refusal") == std::string::npos)
        {
            fail(row.key + " is still pending after all faults ended");
        }
    }
    for (const std::unique_ptr<node>& current : nodes_)
    {
        if (!current->members.may_dispatch())
        {
            fail(current->self.id + " is not registered after all faults ended");
        }
    }
}

} // namespace lacewingquay::placement
