#pragma once

#include "core/clock.hpp"
#include "core/json.hpp"

#include <boost/json.hpp>
#include <boost/leaf.hpp>

#include <memory>
#include <span>
#include <string>
#include <string_view>

namespace lacewingquay::replay
{

/// Drives one deterministic core from recorded events.
class core_adapter
{
public:
    virtual ~core_adapter() = default;

    /// Feeds one event and returns the core's decisions in order. The event's fields are read from
    /// `fields`; the caller refuses those that were not read. Fails with `input_error` for an
    /// unknown event or an invalid field.
    virtual boost::leaf::result<boost::json::array> apply(steady_time at, std::string_view event,
                                                          json_reader& fields) = 0;
};

/// Makes the adapter of a trace from the fields of the trace's first line.
using adapter_factory = boost::leaf::result<std::unique_ptr<core_adapter>> (*)(json_reader& header);

/// A core that traces can name.
struct replayable_core
{
    std::string_view name;
    adapter_factory make;
};

/// All cores, sorted by name. A new core adds its adapter file and one line in replay_cores.cpp.
[[nodiscard]] std::span<const replayable_core> replayable_cores();

/// The error for an event that a core does not know.
[[nodiscard]] boost::leaf::error_id unknown_event(std::string_view event, std::string_view known);

boost::leaf::result<std::unique_ptr<core_adapter>> make_liveness_adapter(json_reader& header);
boost::leaf::result<std::unique_ptr<core_adapter>> make_mover_adapter(json_reader& header);
boost::leaf::result<std::unique_ptr<core_adapter>> make_zone_lease_adapter(json_reader& header);

} // namespace lacewingquay::replay
