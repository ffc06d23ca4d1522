#pragma once

#include "maintenance/wave_model.hpp"

#include <cstdint>
#include <string>
#include <vector>

namespace lacewingquay::maintenance
{

/// Number of hosts of one pool that a batch may take out of service now. Limited by the demand
/// forecast, by the availability budget, and by the batch limit of a healthy pool less the hosts
/// that are out of service for other reasons.
[[nodiscard]] std::int64_t batch_allowance(const pool_status& pool, const wave_settings& settings);

/// Lower bound of the number of batches for the waiting hosts, given zones, racks and allowances.
[[nodiscard]] std::int64_t batches_needed(const wave& value, const pool_statuses& pools,
                                          const wave_settings& settings);

/// Expected duration of a batch.
[[nodiscard]] std::int64_t batch_time_ms(const wave& value, const wave_settings& settings);

/// Chooses the hosts of the next batch: of one zone and, within a pool, of one rack. Empty if no
/// pool can spare a host now. Requires that no host of the wave is out of service.
[[nodiscard]] std::vector<std::string> plan_batch(const wave& value, std::int64_t now_ms,
                                                  const pool_statuses& pools,
                                                  const wave_settings& settings);

} // namespace lacewingquay::maintenance
