#pragma once

#include <cstdint>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace lacewingquay
{

/// 64-bit FNV-1a followed by the finalizer of SplitMix64. Equal on all platforms.
[[nodiscard]] std::uint64_t hash64(std::string_view text, std::uint64_t seed = 0);

/// `hash64` of the text as 16 hexadecimal digits, used as the digest of configuration bodies.
[[nodiscard]] std::string hex_digest(std::string_view text);

/// The index of the node that owns `key` by rendezvous hashing (Thaler and Ravishankar, 1998), or
/// `nodes.size()` if there are no nodes. Independent of the order of the nodes.
[[nodiscard]] std::size_t rendezvous_owner(std::string_view key,
                                           std::span<const std::string> nodes);

/// The indices of all nodes in rendezvous order for `key`: the owner first, then its successors.
[[nodiscard]] std::vector<std::size_t> rendezvous_order(std::string_view key,
                                                        std::span<const std::string> nodes);

} // namespace lacewingquay
