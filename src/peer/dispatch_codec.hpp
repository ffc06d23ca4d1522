#pragma once

#include "dispatch/messages.hpp"
#include "dispatch/names.hpp"
#include "peer/messages.pb.h"

#include <optional>

namespace lacewingquay::peer
{

/// Writes a dispatch message into an envelope.
void encode(const dispatch::name_table& names, const dispatch::any_message& message,
            pb::Envelope& target);

/// Reads a dispatch message, or nothing if the envelope holds none or a value is out of range.
[[nodiscard]] std::optional<dispatch::any_message> decode_dispatch(dispatch::name_table& names,
                                                                   const pb::Envelope& envelope);

} // namespace lacewingquay::peer
