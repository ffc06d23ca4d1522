#include "replay/core_adapter.hpp"

#include <array>

namespace lacewingquay::replay
{

std::span<const replayable_core> replayable_cores()
{
    static constexpr std::array<replayable_core, 3> cores{
        {{"liveness", make_liveness_adapter},
         {"mover", make_mover_adapter},
         {"zone_lease", make_zone_lease_adapter}}};
    return cores;
}

boost::leaf::error_id unknown_event(std::string_view event, std::string_view known)
{
    return boost::leaf::new_error(input_error{"event", std::string(event), std::string(known)});
}

} // namespace lacewingquay::replay
