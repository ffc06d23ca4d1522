#pragma once

#include "maintenance/wave_model.hpp"
#include "platform/port.hpp"

#include <boost/asio/awaitable.hpp>

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace lacewingquay::maintenance
{

enum class wave_read_status : std::uint8_t
{
    found,
    absent,
    /// The platform did not answer, or the row cannot be parsed.
    unavailable
};

struct wave_read
{
    wave_read_status status = wave_read_status::unavailable;
    std::uint64_t version = 0;
    wave value;
    /// Why the row cannot be parsed.
    std::string error;
};

enum class wave_write_status : std::uint8_t
{
    written,
    /// Another process wrote the row, or another check failed, such as the lease check; nothing was
    /// written.
    conflict,
    /// Nothing was written.
    not_written,
    /// The outcome could not be determined; read the row before any further action.
    unknown
};

struct wave_write
{
    wave_write_status status = wave_write_status::unknown;
    std::uint64_t version = 0;
};

/// Reads the row of one wave.
boost::asio::awaitable<wave_read> read_wave(platform::port& port, std::string id);

/// Reads the rows of all waves, ordered by id. Rows that cannot be parsed have status
/// `unavailable`. Sets `available` to false if the platform did not answer.
boost::asio::awaitable<std::vector<wave_read>> read_waves(platform::port& port, bool& available);

/// Writes the row if it still has `version` (0: the row is absent) and `further_checks` hold, for
/// example that of the lease. `value.write_id` must be new: if the answer is lost, the row is read
/// back and its write_id compared. The write is never repeated.
boost::asio::awaitable<wave_write> write_wave(platform::port& port, wave value,
                                              std::uint64_t version,
                                              std::vector<platform::row_check> further_checks,
                                              std::vector<platform::row_write> further_writes);

} // namespace lacewingquay::maintenance
