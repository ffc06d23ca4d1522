#pragma once

#include "core/clock.hpp"

#include <cstdint>
#include <random>
#include <string>

namespace lacewingquay
{

/// A UUIDv7 (RFC 9562, section 5.7): 48 bits of Unix time in milliseconds, then random bits.
[[nodiscard]] std::string make_uuid_v7(wall_time issued, std::mt19937_64& random);

} // namespace lacewingquay
