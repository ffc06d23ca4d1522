#pragma once

#include "dispatch/directory.hpp"
#include "dispatch/messages.hpp"
#include "dispatch/outlier_detector.hpp"

#include <cstdint>
#include <optional>
#include <span>
#include <vector>

namespace lacewingquay::dispatch
{

/// A grant that counts as in use.
struct table_grant
{
    std::uint64_t grant_id = 0;
    std::uint32_t host = 0;
    name_id holder = name_id::none;
    steady_time expires_at;
    std::uint64_t placement_version = 0;
    /// The successor has, or is to have, a copy.
    bool copied = false;
    /// Issued under an earlier term.
    bool taken_over = false;
    /// Keeps its slot although its caller is no longer served.
    bool abandoned = false;
    bool active = false;
};

/// The slots of one (pool, zone) domain and their grants. Never selects a host whose known and
/// unexplained use reaches its number of slots. Unexplained slots may be in use by grants that no
/// report lists.
class slot_table
{
public:
    /// `id_seed` distinguishes this table's grant identifiers from those of other dispatchers.
    explicit slot_table(std::uint64_t id_seed) : id_seed_(id_seed) {}

    /// Applies the domain's hosts of a snapshot. Hosts that are missing or not serving get no new
    /// grants but keep existing ones.
    void set_hosts(name_table& names, const routing::snapshot& snapshot, name_id pool,
                   name_id zone);

    /// The least loaded available host with a free slot that is not in `avoid`. Ties are resolved
    /// round-robin.
    [[nodiscard]] std::optional<std::uint32_t> choose(steady_time now,
                                                      std::span<const name_id> avoid);

    table_grant& add(std::uint32_t host, name_id holder, steady_time expires_at,
                     std::uint64_t placement_version);
    /// Adds a grant of an earlier term and deducts it from its host's unexplained slots. Only
    /// extends the expiry of a known grant.
    void import(std::uint64_t grant_id, name_id host, name_id holder, steady_time expires_at,
                std::uint64_t placement_version);
    [[nodiscard]] table_grant* find(std::uint64_t grant_id);
    void remove(table_grant& grant);
    void mark_abandoned(table_grant& grant, steady_time until);
    void clear_grants();

    /// Removes expired grants and returns their number. If `unexplained`, the slot of a grant that
    /// was taken over becomes unexplained.
    std::size_t expire(steady_time now, bool unexplained);
    /// Removes a grant that may have ended earlier. If `unexplained` and it was taken over, its
    /// slot becomes unexplained: it may have masked another grant on the same host.
    void remove_uncertain(table_grant& grant, bool unexplained);

    /// Treats all slots without a known grant as in use until `clear_unexplained`.
    void block_unexplained();
    void clear_unexplained();
    [[nodiscard]] bool has_unexplained() const;

    /// Free slots on available hosts.
    [[nodiscard]] std::uint32_t free_slots(steady_time now) const;
    /// Slots of serving hosts.
    [[nodiscard]] std::uint32_t total_slots() const { return total_slots_; }
    /// Slots of available serving hosts that are neither unexplained nor abandoned.
    [[nodiscard]] std::uint32_t usable_slots(steady_time now) const;
    /// True if a serving host is not in `avoid`.
    [[nodiscard]] bool has_host(std::span<const name_id> avoid) const;

    struct host_row
    {
        name_id name = name_id::none;
        std::uint32_t slots = 0;
        std::uint32_t in_use = 0;
        std::uint32_t unexplained = 0;
        /// Those of `in_use` whose request was abandoned.
        std::uint32_t abandoned = 0;
        bool serving = false;
    };

    [[nodiscard]] std::span<const host_row> hosts() const { return hosts_; }
    [[nodiscard]] std::span<table_grant> grants() { return grants_; }
    [[nodiscard]] std::span<const table_grant> grants() const { return grants_; }

    outlier_detector outliers;

private:
    std::uint32_t row_of(name_id host);
    std::size_t free_row();

    std::uint64_t id_seed_;
    std::uint64_t counter_ = 0;
    std::vector<host_row> hosts_;
    std::vector<table_grant> grants_;
    std::vector<std::uint32_t> free_rows_;
    std::uint32_t total_slots_ = 0;
    std::uint32_t next_host_ = 0;
};

} // namespace lacewingquay::dispatch
