#pragma once

#include "config/model.hpp"
#include "core/clock.hpp"
#include "maintenance/wave_core.hpp"
#include "maintenance/wave_row.hpp"
#include "placement/model.hpp"
#include "placement/request.hpp"
#include "platform/port.hpp"

#include <boost/asio/awaitable.hpp>

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace lacewingquay::entry
{

/// The check of the own zone's lease, or nothing while this entry host must not act.
using fence_function = std::function<std::optional<platform::row_check>()>;

/// Advances the maintenance wave whose turn it is: the first one by id that is not over.
///
/// Every zone's lease holder runs one. Each write checks the version of `wave/<id>` and the
/// holder's own lease, so that of several holders one advances the wave and the others start over
/// from its row. Drains and returns are request rows `move/<host>`, which the lease holder of the
/// host's zone carries out. They check the wave's version too, so that a request that is delayed
/// on its way fails once the wave has moved on.
class wave_runner
{
public:
    wave_runner(platform::port& platform, const clock_source& clock, std::string incarnation,
                fence_function fence, maintenance::wave_settings settings = {});

    /// Reads the rows, handles what has happened and carries out what is due. One call at a time.
    /// Does nothing without the lease or while the platform does not answer.
    boost::asio::awaitable<void> step(std::shared_ptr<const config::configuration> configuration);

private:
    /// What one step has read.
    struct view
    {
        /// Request rows were read before placement, so a request that is missing here shows in it.
        std::map<std::string, platform::row, std::less<>> requests;
        std::map<std::string, placement::host_placement, std::less<>> placed;
        /// Names in the platform's host list; true if live.
        std::map<std::string, bool, std::less<>> listed;
        /// Hosts that the platform reports as rebooted for this wave.
        std::set<std::string, std::less<>> rebooted;
    };

    boost::asio::awaitable<bool> read_view(view& seen);
    boost::asio::awaitable<void> read_load();
    boost::asio::awaitable<void> advance(maintenance::wave_read stored,
                                         const config::configuration& configuration);
    /// The version of the row after the write, or nothing if it was not written by this call.
    boost::asio::awaitable<std::optional<std::uint64_t>> write(maintenance::wave value,
                                                               std::uint64_t version);
    boost::asio::awaitable<void> request_reboots(const maintenance::wave& value, view& seen);
    boost::asio::awaitable<void> carry_out(const maintenance::wave& value, std::uint64_t version,
                                           const view& seen);
    boost::asio::awaitable<void> request_placement(std::string wave_id, std::uint64_t version,
                                                   std::string host, placement::request_kind kind,
                                                   const view& seen);
    [[nodiscard]] std::string new_write_id();
    [[nodiscard]] static std::vector<maintenance::wave_event>
    events_of(const maintenance::wave& value, const view& seen);
    maintenance::wave_step decide(maintenance::wave_core& core,
                                  const config::configuration& configuration,
                                  const view& seen) const;

    [[nodiscard]] maintenance::pool_statuses
    pool_statuses_of(const maintenance::wave& value, const config::configuration& configuration,
                     const view& seen) const;

    platform::port& platform_;
    const clock_source& clock_;
    std::string incarnation_;
    fence_function fence_;
    maintenance::wave_settings settings_;
    /// Mean busy slots of each service in the last few minutes, by minute. Read once a minute, as
    /// the counter rows are large.
    std::map<std::int64_t, std::map<std::string, double, std::less<>>> load_;
    std::uint64_t writes_ = 0;
};

} // namespace lacewingquay::entry
