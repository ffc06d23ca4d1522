#pragma once

#include "dispatch/directory.hpp"
#include "dispatch/messages.hpp"

#include <cstdint>
#include <optional>
#include <vector>

namespace lacewingquay::dispatch
{

/// Latest free slots and queue lengths announced by the dispatchers of other domains.
class domain_load_cache
{
public:
    struct entry
    {
        name_id dispatcher = name_id::none;
        std::uint32_t free_slots = 0;
        std::uint32_t queue_length = 0;
        steady_time received_at;
    };

    void on_slot_news(steady_time now, domain_index domain, name_id dispatcher,
                      const slot_news& news)
    {
        entry& known = at(domain);
        known = entry{dispatcher, news.free_slots, news.queue_length, now};
    }

    /// The entry of a domain; has no free slots if nothing is known.
    [[nodiscard]] entry& at(domain_index domain)
    {
        if (domain >= entries_.size())
        {
            entries_.resize(domain + 1);
        }
        return entries_[domain];
    }

    /// Clears the entries of dispatchers that are no longer live.
    void on_update(const directory& host_directory)
    {
        for (entry& known : entries_)
        {
            if (known.dispatcher != name_id::none && !host_directory.is_live(known.dispatcher))
            {
                known = entry{};
            }
        }
    }

    /// The domain to spill to: the one with the most free slots among the pool's domains in other
    /// zones, else the spare pool in the local zone, else the spare pool in other zones.
    [[nodiscard]] std::optional<domain_index> choose(directory& host_directory, name_id pool)
    {
        if (const std::optional<domain_index> other = find_most_free(host_directory, pool))
        {
            return other;
        }
        if (host_directory.spare_pool == name_id::none || host_directory.spare_pool == pool)
        {
            return std::nullopt;
        }
        const domain_index spare_here =
            host_directory.index_of(host_directory.spare_pool, host_directory.zone);
        if (at(spare_here).free_slots > 0)
        {
            return spare_here;
        }
        return find_most_free(host_directory, host_directory.spare_pool);
    }

private:
    std::optional<domain_index> find_most_free(directory& host_directory, name_id pool)
    {
        std::optional<domain_index> best;
        std::uint32_t most_slots = 0;
        for (const name_id zone : host_directory.zones)
        {
            if (zone == host_directory.zone)
            {
                continue;
            }
            const domain_index domain = host_directory.index_of(pool, zone);
            if (at(domain).free_slots > most_slots)
            {
                most_slots = at(domain).free_slots;
                best = domain;
            }
        }
        return best;
    }

    std::vector<entry> entries_;
};

} // namespace lacewingquay::dispatch
