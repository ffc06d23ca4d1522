#pragma once

#include "membership/heartbeat.hpp"
#include "peer/messages.pb.h"
#include "routing/snapshot.hpp"

#include <optional>

namespace lacewingquay::peer
{

/// Writes a heartbeat into an envelope; sender and incarnation are filled in by `link`.
void encode(const membership::heartbeat& message, pb::Heartbeat& target);

/// Reads the heartbeat of a received envelope.
[[nodiscard]] membership::heartbeat decode_heartbeat(const pb::Envelope& envelope);

void encode(const routing::member& newcomer, pb::Sponsor& target);

/// Reads a sponsored member, or nothing if an address is malformed.
[[nodiscard]] std::optional<routing::member> decode_member(const pb::Sponsor& message);

} // namespace lacewingquay::peer
