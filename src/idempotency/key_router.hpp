#pragma once

#include "core/clock.hpp"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace lacewingquay::idempotency
{

/// A registered entry host in a membership view.
struct view_member
{
    std::string id;
    std::string incarnation;
};

/// Tracks the membership views of this entry host and which views other registered entry hosts may
/// still use. The owner of a key in a view is selected by rendezvous hashing over the ids of the
/// registered entry hosts, so that a restart under the same id moves no keys.
class key_router
{
public:
    /// Adds the view with this `members_epoch`. A view that is not newer than the current one is
    /// ignored.
    void add_view(std::uint64_t epoch, std::vector<view_member> members, wall_time now);

    /// Records the view that an entry host uses, from its heartbeat. Reports can be late or
    /// repeated.
    void report(const std::string& incarnation, std::uint64_t epoch, wall_time now);

    /// The epoch of the current view; 0 before the first one.
    [[nodiscard]] std::uint64_t current_epoch() const;

    /// The lowest epoch that a registered entry host may still use; 0 if unknown.
    [[nodiscard]] std::uint64_t lowest_epoch() const { return lowest_; }

    /// The id of the entry host that owns the key in the current view; empty without a view.
    [[nodiscard]] std::string owner(std::string_view key) const;

    /// The incarnation of the owner in the current view; empty without a view.
    [[nodiscard]] std::string owner_incarnation(std::string_view key) const;

    /// True if `id` owns the key in every view from the lowest that may still be in use, or from
    /// `claim_epoch` if that is lower, to the current one.
    [[nodiscard]] bool is_stable_owner(std::string_view key, const std::string& id,
                                       std::uint64_t claim_epoch) const;

    /// The time since which `id` has been the only possible owner of the key: when the last entry
    /// host stopped using the views that precede the current uninterrupted sequence of views in
    /// which `id` owns the key. Empty if another owner is still possible.
    [[nodiscard]] std::optional<wall_time> sole_owner_since(std::string_view key,
                                                            const std::string& id) const;

    /// True if the incarnation is registered in the current view.
    [[nodiscard]] bool is_registered(const std::string& incarnation) const;

private:
    struct view
    {
        /// Sorted by id.
        std::vector<std::string> ids;
        std::vector<std::string> incarnations;
        /// When the last registered entry host stopped using older views.
        std::optional<wall_time> sole_since;
    };

    void update_lowest(wall_time now);

    /// Largest number of views kept. Older ones matter only for keys whose owner has not changed
    /// since.
    static constexpr std::size_t max_views = 64;

    std::map<std::uint64_t, view> views_;
    /// Lowest epoch that each registered incarnation may still use.
    std::map<std::string, std::uint64_t> reported_;
    std::uint64_t lowest_ = 0;
};

} // namespace lacewingquay::idempotency
