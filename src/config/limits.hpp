#pragma once

#include <cstddef>
#include <cstdint>

namespace lacewingquay::config::limits
{

/// Counts leave at least a factor of four above the size to design for (section 1.4).
inline constexpr std::size_t max_services = 1'024;
inline constexpr std::size_t max_pools = 256;
inline constexpr std::size_t max_hosts = 4'096;
inline constexpr std::size_t max_availability_zones = 32;
inline constexpr std::size_t max_note_entries = max_services + max_pools + max_hosts + 1;
inline constexpr std::size_t max_note_bytes = 2U << 20U;
inline constexpr std::size_t max_configuration_bytes = 4U << 20U;

inline constexpr std::size_t max_name_length = 63;
inline constexpr std::size_t max_author_length = 128;
inline constexpr std::size_t max_reason_length = 1'000;
inline constexpr std::size_t max_methods = 8;

inline constexpr double lowest_slo = 0.5;
inline constexpr double highest_slo = 0.999999;
inline constexpr std::int64_t longest_request_ms = 3'600'000;
/// Seven days.
inline constexpr std::int64_t longest_veto_window_ms = 604'800'000;
inline constexpr std::int64_t max_slots = 1'024;
inline constexpr std::int64_t max_connections = 65'535;
inline constexpr double max_cost = 1e6;
inline constexpr double max_weight = 1e9;

} // namespace lacewingquay::config::limits
