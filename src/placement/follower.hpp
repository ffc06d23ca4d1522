#pragma once

#include "core/clock.hpp"
#include "membership/table_action.hpp"
#include "placement/model.hpp"

#include <cstdint>
#include <functional>
#include <map>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace lacewingquay::placement
{

struct follower_settings
{
    /// Interval between two reads of a zone's row. Milliseconds.
    milliseconds poll_interval{1'000};
};

/// Result of `follower::on_row`.
enum class row_status : std::uint8_t
{
    applied,
    /// A row with the same or a higher epoch is already applied.
    not_newer,
    /// Not a placement row, or its value is invalid; see `fault`.
    refused
};

/// Keeps the newest placement row of each zone, from the platform or from peers. The epoch of a
/// zone never decreases.
class follower
{
public:
    explicit follower(follower_settings settings = {});

    /// Sets the zones whose rows are polled. Applied rows of other zones are kept.
    void on_zones(std::set<std::string, std::less<>> zones);

    [[nodiscard]] std::vector<membership::table_action> on_tick(steady_time now);

    /// Returns true if a row was applied.
    bool on_read_result(const membership::read_result& answer);

    /// Applies a row from any source, for example one that a peer sent.
    row_status on_row(const platform::row& row);

    /// True if every polled zone's row was read or found absent by a read sent at or after `since`.
    /// An invalid row does not count as read. A refresh is complete when this holds for its start;
    /// false if no zone is polled.
    [[nodiscard]] bool is_read_since(steady_time since) const;

    /// Placement by zone. Zones without a row have no entry.
    [[nodiscard]] const std::map<std::string, zone_placement, std::less<>>& zones() const
    {
        return placements_;
    }

    /// The applied rows by zone, to send to peers that cannot reach the platform.
    [[nodiscard]] const std::map<std::string, platform::row, std::less<>>& rows() const
    {
        return rows_;
    }

    /// Why the last refused row was refused; empty if none was.
    [[nodiscard]] const std::string& fault() const { return fault_; }

private:
    struct poll_state
    {
        std::uint64_t action_id = 0;
        steady_time sent_at;
        steady_time next_poll;
        /// When the latest successful read was sent.
        steady_time read_at;
    };

    follower_settings settings_;
    std::uint64_t last_action_ = 0;
    std::map<std::string, poll_state, std::less<>> polls_;
    std::map<std::string, zone_placement, std::less<>> placements_;
    std::map<std::string, platform::row, std::less<>> rows_;
    std::string fault_;
};

} // namespace lacewingquay::placement
