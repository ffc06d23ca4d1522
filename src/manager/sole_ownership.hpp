#pragma once

#include "core/clock.hpp"
#include "manager/isolation.hpp"

namespace lacewingquay::manager
{

/// Tracks up to which time it is certain that no other host has taken over from the owner. The
/// store's confirmations show it directly. During an outage of the whole store no host can take
/// over, so checks with other hosts extend it. Once a check leaves a doubt, or there was a gap
/// between two of them that is long enough for a takeover, only the store can clear it.
class sole_ownership
{
public:
    /// `takeover_time` is the least time between a confirmation and a takeover.
    sole_ownership(steady_time confirmed_at, milliseconds takeover_time)
        : certain_until_(confirmed_at), takeover_time_(takeover_time)
    {
    }

    /// The store has confirmed the ownership in answer to a call that was made at `requested_at`.
    void confirm(steady_time requested_at);

    /// Applies a check with other hosts that was made while the store did not answer this host.
    void apply(const outage_check& check);

    [[nodiscard]] steady_time certain_until() const { return certain_until_; }

private:
    steady_time certain_until_;
    milliseconds takeover_time_;
    bool in_doubt_ = false;
};

} // namespace lacewingquay::manager
