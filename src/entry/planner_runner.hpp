#pragma once

#include "config/model.hpp"
#include "core/clock.hpp"
#include "entry/wave_runner.hpp"
#include "planner/planner.hpp"
#include "platform/port.hpp"

#include <boost/asio/awaitable.hpp>

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace lacewingquay::entry
{

/// The zone whose lease holder runs the planner: the first one by name. Empty without hosts.
[[nodiscard]] std::string planning_zone(const config::configuration& configuration);

/// Runs the planner over the counter rows of each complete minute.
///
/// The planner's state is row `planner/state`. One transaction checks the lease and the row's
/// version, writes the state and the request rows `move/<host>` of its moves, so that a move is
/// requested once, by whichever lease holder wrote the state. After a lost answer the row is read
/// again; a minute that was written is not decided twice.
class planner_runner
{
public:
    /// With `enabled` false, moves are logged and not requested.
    planner_runner(platform::port& platform, const clock_source& clock, std::string incarnation,
                   fence_function fence, bool enabled, planner::planner_settings settings = {});

    /// Decides the last complete minute if that has not been done. One call at a time. Does nothing
    /// without the lease, without counters or while the platform does not answer.
    boost::asio::awaitable<void> step(std::shared_ptr<const config::configuration> configuration);

private:
    /// Brings `planner_` and `version_` to the row's state.
    boost::asio::awaitable<bool> read_state();
    boost::asio::awaitable<std::optional<planner::planner_input>>
    read_input(const config::configuration& configuration, std::int64_t minute,
               std::vector<platform::row>& requests);
    [[nodiscard]] platform::transaction changes_for(const std::vector<planner::planned_move>& moves,
                                                    const std::vector<platform::row>& requests,
                                                    const std::string& state);

    platform::port& platform_;
    const clock_source& clock_;
    std::string incarnation_;
    fence_function fence_;
    bool enabled_;
    planner::planner_settings settings_;

    /// The state at `version_` of the row; none while it has to be read.
    std::optional<planner::planner> planner_;
    std::uint64_t version_ = 0;
    std::int64_t decided_minute_ = -1;
    std::uint64_t writes_ = 0;
};

} // namespace lacewingquay::entry
