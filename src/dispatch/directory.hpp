#pragma once

#include "dispatch/messages.hpp"
#include "routing/snapshot.hpp"

#include <cstdint>
#include <span>
#include <unordered_map>
#include <vector>

namespace lacewingquay::dispatch
{

/// An entry host that membership reports as live; includes the local one.
struct live_entry_host
{
    name_id id = name_id::none;
    name_id incarnation = name_id::none;
    name_id availability_zone = name_id::none;
    /// Shutting down gracefully: still sends reports, but claims no domains.
    bool stopping = false;
};

/// Index of a (pool, zone) domain in a `directory`. Stays valid for the directory's life.
using domain_index = std::uint32_t;

/// A (pool, zone) domain as an entry host sees it.
struct domain_entry
{
    name_id pool = name_id::none;
    name_id availability_zone = name_id::none;
    /// Incarnations of the zone's live entry hosts in rendezvous order: the dispatcher selected by
    /// the local view, then its successors.
    std::vector<name_id> order;
    /// Highest term that this entry host has accepted with a report, and the one before it.
    term_id accepted_term;
    term_id previous_accepted_term;
    /// Highest term number seen in any message.
    std::uint64_t highest_seen_term = 0;
    /// Backend servers of the domain that are serving, and their slots.
    std::uint32_t serving_hosts = 0;
    std::uint32_t serving_slots = 0;
};

/// State shared by the dispatcher and the holder of one entry host: names, domains, live entry
/// hosts and accepted terms. Updated only between events.
class directory
{
public:
    directory(name_table& names, name_id self_id, name_id self_incarnation, name_id self_zone);

    /// Applies a new snapshot and the set of live entry hosts.
    void update(const routing::snapshot& snapshot, std::span<const live_entry_host> live);

    /// Returns the domain's index; adds the domain if it is unknown.
    domain_index index_of(name_id pool, name_id availability_zone);

    [[nodiscard]] domain_entry& at(domain_index index) { return domains_[index]; }
    [[nodiscard]] const domain_entry& at(domain_index index) const { return domains_[index]; }
    [[nodiscard]] std::size_t size() const { return domains_.size(); }

    /// The domain's dispatcher as seen by this entry host: the incarnation whose term it accepted
    /// last if that is live, else the first in rendezvous order.
    [[nodiscard]] name_id dispatcher_of(domain_index index) const;

    [[nodiscard]] bool is_live(name_id incarnation) const;
    /// The zone of a live entry host, or `none`.
    [[nodiscard]] name_id zone_of(name_id incarnation) const;

    struct service_entry
    {
        name_id pool = name_id::none;
        bool known = false;
    };
    [[nodiscard]] service_entry service(name_id name) const;

    name_table& names;
    const name_id self_id;
    const name_id self;
    const name_id zone;
    name_id spare_pool = name_id::none;
    /// All zones of entry hosts and backend servers, sorted by text.
    std::vector<name_id> zones;
    std::vector<live_entry_host> live;
    /// Registered incarnations of the local zone.
    std::vector<name_id> registered;
    std::uint64_t placement_version = 0;

private:
    void update_order(domain_entry& entry);

    std::vector<domain_entry> domains_;
    std::unordered_map<std::uint64_t, domain_index> indices_;
    std::unordered_map<name_id, name_id> service_pools_;
};

} // namespace lacewingquay::dispatch
