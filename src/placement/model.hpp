#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <string_view>

namespace lacewingquay::placement
{

/// State of a host in its pool.
enum class host_state : std::uint8_t
{
    serving,
    /// Gets no new work; requests in progress finish.
    draining,
    /// Drained for maintenance.
    maintenance,
    /// Gets no new work, as the platform, an operator or a release note is about to remove the
    /// host.
    leaving
};

[[nodiscard]] constexpr std::string_view to_string(host_state state)
{
    switch (state)
    {
    case host_state::serving:
        return "serving";
    case host_state::draining:
        return "draining";
    case host_state::maintenance:
        return "maintenance";
    case host_state::leaving:
        return "leaving";
    }
    return "leaving";
}

/// Entry of a host in the placement row of its availability zone.
struct host_placement
{
    std::string pool;
    host_state state = host_state::serving;
    /// Placement epoch of the last change of this entry.
    std::uint64_t epoch = 0;
    /// Target pool of a draining host that moves; else empty.
    std::string next_pool;
    /// State of a draining host once it is drained, or of a leaving host once the platform lists it
    /// as live again; `leaving` if a leaving host then stays as it is.
    host_state next_state = host_state::serving;
};

/// The row `placement/<zone>`. Each write increments its epoch by one.
struct zone_placement
{
    std::string availability_zone;
    std::uint64_t epoch = 0;
    std::map<std::string, host_placement, std::less<>> hosts;
};

} // namespace lacewingquay::placement
