#pragma once

#include "core/clock.hpp"

#include <algorithm>
#include <chrono>

namespace lacewingquay::manager
{

/// Estimates the store's steady clock from its answers. The store reads its clock between the
/// request and the arrival of the answer, so each answer bounds the difference between the clocks.
/// An answer that waited until a paused process read it therefore does not set the estimate back.
class store_clock
{
public:
    /// Takes the clock named in an answer, in milliseconds; zero if the answer does not name it.
    void observe(milliseconds value, steady_time requested_at, steady_time now)
    {
        if (value.count() <= 0)
        {
            return;
        }
        const milliseconds least = value - since_epoch(now);
        const milliseconds most = std::max(least, value - since_epoch(requested_at));
        difference_ = known_ ? std::clamp(difference_, least, most) : least;
        known_ = true;
    }

    /// The store's clock at `now`; `now` itself before the first answer.
    [[nodiscard]] milliseconds at(steady_time now) const { return since_epoch(now) + difference_; }

private:
    [[nodiscard]] static milliseconds since_epoch(steady_time time)
    {
        return std::chrono::duration_cast<milliseconds>(time.time_since_epoch());
    }

    /// The store's clock minus this host's.
    milliseconds difference_{0};
    bool known_ = false;
};

} // namespace lacewingquay::manager
