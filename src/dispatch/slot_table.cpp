#include "dispatch/slot_table.hpp"

#include <algorithm>

namespace lacewingquay::dispatch
{

namespace
{

/// A grant identifier consists of the table's seed in the upper 24 bits, a counter and the row.
constexpr std::uint64_t row_bits = 16;
constexpr std::uint64_t row_mask = (std::uint64_t{1} << row_bits) - 1;
constexpr std::uint64_t counter_mask = (std::uint64_t{1} << 24U) - 1;

/// Load equivalent of one recent failure, in thousandths of a host's slots.
constexpr std::uint32_t failure_penalty = 50;

bool contains(std::span<const name_id> list, name_id name)
{
    return std::find(list.begin(), list.end(), name) != list.end();
}

} // namespace

void slot_table::set_hosts(name_table& names, const routing::snapshot& snapshot, name_id pool,
                           name_id zone)
{
    for (host_row& row : hosts_)
    {
        row.serving = false;
        row.slots = 0;
    }
    for (const routing::backend_server& server : snapshot.backend_servers)
    {
        if (names.intern(server.pool) == pool && names.intern(server.availability_zone) == zone)
        {
            host_row& row = hosts_[row_of(names.intern(server.name))];
            row.slots = server.slots;
            row.serving = server.state == placement::host_state::serving;
        }
    }
    total_slots_ = 0;
    for (std::size_t i = 0; i < hosts_.size(); ++i)
    {
        outliers.set_serving(i, hosts_[i].serving);
        total_slots_ += hosts_[i].serving ? hosts_[i].slots : 0;
    }
}

std::optional<std::uint32_t> slot_table::choose(steady_time now, std::span<const name_id> avoid)
{
    std::optional<std::uint32_t> best;
    std::uint32_t best_score = 0;
    const auto count = static_cast<std::uint32_t>(hosts_.size());
    for (std::uint32_t step = 0; step < count; ++step)
    {
        const std::uint32_t i = (next_host_ + step) % count;
        const host_row& row = hosts_[i];
        if (!row.serving || row.in_use + row.unexplained >= row.slots ||
            !outliers.is_available(now, i) || contains(avoid, row.name))
        {
            continue;
        }
        const std::uint32_t score = (row.in_use + row.unexplained) * 1'000 / row.slots +
                                    outliers.recent_failures(i) * failure_penalty;
        if (!best || score < best_score)
        {
            best = i;
            best_score = score;
        }
    }
    if (best)
    {
        next_host_ = (*best + 1) % count;
    }
    return best;
}

table_grant& slot_table::add(std::uint32_t host, name_id holder, steady_time expires_at,
                             std::uint64_t placement_version)
{
    const std::size_t row = free_row();
    const std::uint64_t id =
        (id_seed_ << 40U) | ((++counter_ & counter_mask) << row_bits) | (row & row_mask);
    grants_[row] = table_grant{id, host, holder, expires_at, placement_version};
    grants_[row].active = true;
    ++hosts_[host].in_use;
    return grants_[row];
}

void slot_table::import(std::uint64_t grant_id, name_id host, name_id holder,
                        steady_time expires_at, std::uint64_t placement_version)
{
    if (table_grant* known = find(grant_id))
    {
        known->expires_at = std::max(known->expires_at, expires_at);
        if (known->holder == name_id::none)
        {
            known->holder = holder;
        }
        return;
    }
    const std::uint32_t row = row_of(host);
    hosts_[row].unexplained -= std::min(hosts_[row].unexplained, 1U);
    ++hosts_[row].in_use;
    table_grant& added = grants_[free_row()];
    added = table_grant{grant_id, row, holder, expires_at, placement_version};
    added.taken_over = true;
    added.active = true;
}

table_grant* slot_table::find(std::uint64_t grant_id)
{
    const std::size_t row = grant_id & row_mask;
    if (row < grants_.size() && grants_[row].active && grants_[row].grant_id == grant_id)
    {
        return &grants_[row];
    }
    // The identifier of a grant of another dispatcher does not contain its row here.
    for (table_grant& grant : grants_)
    {
        if (grant.active && grant.grant_id == grant_id)
        {
            return &grant;
        }
    }
    return nullptr;
}

void slot_table::remove(table_grant& grant)
{
    --hosts_[grant.host].in_use;
    hosts_[grant.host].abandoned -= grant.abandoned ? 1 : 0;
    grant.active = false;
    free_rows_.push_back(static_cast<std::uint32_t>(&grant - grants_.data()));
}

void slot_table::remove_uncertain(table_grant& grant, bool unexplained)
{
    remove(grant);
    if (grant.taken_over && unexplained)
    {
        ++hosts_[grant.host].unexplained;
    }
}

void slot_table::mark_abandoned(table_grant& grant, steady_time until)
{
    if (!grant.abandoned)
    {
        grant.abandoned = true;
        ++hosts_[grant.host].abandoned;
    }
    grant.expires_at = until;
}

void slot_table::clear_grants()
{
    for (table_grant& grant : grants_)
    {
        if (grant.active)
        {
            remove(grant);
        }
    }
    clear_unexplained();
}

std::size_t slot_table::expire(steady_time now, bool unexplained)
{
    std::size_t count = 0;
    for (table_grant& grant : grants_)
    {
        if (grant.active && now >= grant.expires_at)
        {
            outliers.on_unused(grant.host);
            remove_uncertain(grant, unexplained);
            ++count;
        }
    }
    return count;
}

void slot_table::block_unexplained()
{
    for (host_row& row : hosts_)
    {
        row.unexplained = row.slots - std::min(row.slots, row.in_use);
    }
}

void slot_table::clear_unexplained()
{
    for (host_row& row : hosts_)
    {
        row.unexplained = 0;
    }
}

bool slot_table::has_unexplained() const
{
    return std::any_of(hosts_.begin(), hosts_.end(),
                       [](const host_row& row) { return row.unexplained > 0; });
}

std::uint32_t slot_table::free_slots(steady_time now) const
{
    std::uint32_t count = 0;
    for (std::size_t i = 0; i < hosts_.size(); ++i)
    {
        const host_row& row = hosts_[i];
        const std::uint32_t used = row.in_use + row.unexplained;
        if (row.serving && used < row.slots && outliers.is_available(now, i))
        {
            count += row.slots - used;
        }
    }
    return count;
}

std::uint32_t slot_table::usable_slots(steady_time now) const
{
    std::uint32_t count = 0;
    for (std::size_t i = 0; i < hosts_.size(); ++i)
    {
        const host_row& row = hosts_[i];
        if (row.serving && outliers.is_available(now, i))
        {
            count += row.slots - std::min(row.slots, row.unexplained + row.abandoned);
        }
    }
    return count;
}

bool slot_table::has_host(std::span<const name_id> avoid) const
{
    return std::any_of(hosts_.begin(), hosts_.end(),
                       [&](const host_row& row)
                       { return row.serving && !contains(avoid, row.name); });
}

std::uint32_t slot_table::row_of(name_id host)
{
    for (std::size_t i = 0; i < hosts_.size(); ++i)
    {
        if (hosts_[i].name == host)
        {
            return static_cast<std::uint32_t>(i);
        }
    }
    hosts_.emplace_back();
    hosts_.back().name = host;
    outliers.resize(hosts_.size());
    return static_cast<std::uint32_t>(hosts_.size() - 1);
}

std::size_t slot_table::free_row()
{
    if (free_rows_.empty())
    {
        grants_.emplace_back();
        return grants_.size() - 1;
    }
    const std::size_t row = free_rows_.back();
    free_rows_.pop_back();
    return row;
}

} // namespace lacewingquay::dispatch
