#pragma once

#include <chrono>
#include <cstdint>
#include <ctime>

namespace lacewingquay
{

using steady_time = std::chrono::steady_clock::time_point;
using wall_time = std::chrono::system_clock::time_point;
using std::chrono::milliseconds;

/// Source of time. Passed in wherever time is read, so that tests and replays control it.
class clock_source
{
public:
    virtual ~clock_source() = default;

    /// Monotonic time, for timeouts, leases and expiry.
    [[nodiscard]] virtual steady_time steady_now() const = 0;

    /// Calendar time, for record keeping and for the time inside idempotency keys.
    [[nodiscard]] virtual wall_time wall_now() const = 0;
};

/// The operating system's clocks.
class system_clock_source final : public clock_source
{
public:
    [[nodiscard]] steady_time steady_now() const override
    {
        return std::chrono::steady_clock::now();
    }

    [[nodiscard]] wall_time wall_now() const override { return std::chrono::system_clock::now(); }
};

/// As `system_clock_source`, but its steady clock also counts time in which the machine is
/// suspended, so that a permission runs out meanwhile. Not comparable with
/// `std::chrono::steady_clock::now()`.
class suspend_aware_clock_source final : public clock_source
{
public:
    [[nodiscard]] steady_time steady_now() const override
    {
        timespec time{};
        clock_gettime(CLOCK_BOOTTIME, &time);
        return steady_time(std::chrono::seconds(time.tv_sec) +
                           std::chrono::nanoseconds(time.tv_nsec));
    }

    [[nodiscard]] wall_time wall_now() const override { return std::chrono::system_clock::now(); }
};

/// A clock that moves only when told to.
class manual_clock_source final : public clock_source
{
public:
    [[nodiscard]] steady_time steady_now() const override { return steady_; }

    [[nodiscard]] wall_time wall_now() const override { return wall_; }

    /// Moves both clocks forward by `step`.
    void advance(milliseconds step)
    {
        steady_ += step;
        wall_ += step;
    }

private:
    steady_time steady_{std::chrono::hours{1}};
    wall_time wall_{std::chrono::hours{24 * 365 * 50}};
};

/// Milliseconds since the Unix epoch.
[[nodiscard]] inline std::int64_t unix_milliseconds(wall_time time)
{
    return std::chrono::duration_cast<milliseconds>(time.time_since_epoch()).count();
}

} // namespace lacewingquay
