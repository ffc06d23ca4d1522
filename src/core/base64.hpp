#pragma once

#include <optional>
#include <string>
#include <string_view>

namespace lacewingquay
{

/// Base64 with padding (RFC 4648 section 4).
[[nodiscard]] std::string base64_encode(std::string_view bytes);

/// The bytes of base64 text with padding; nothing if the text is malformed.
[[nodiscard]] std::optional<std::string> base64_decode(std::string_view text);

} // namespace lacewingquay
