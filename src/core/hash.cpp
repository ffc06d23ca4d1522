#include "core/hash.hpp"

#include <algorithm>
#include <numeric>

namespace lacewingquay
{

namespace
{

std::uint64_t finalize(std::uint64_t value)
{
    value += 0x9e3779b97f4a7c15ULL;
    value = (value ^ (value >> 30U)) * 0xbf58476d1ce4e5b9ULL;
    value = (value ^ (value >> 27U)) * 0x94d049bb133111ebULL;
    return value ^ (value >> 31U);
}

} // namespace

std::uint64_t hash64(std::string_view text, std::uint64_t seed)
{
    std::uint64_t value = 0xcbf29ce484222325ULL ^ finalize(seed);
    for (const char character : text)
    {
        value ^= static_cast<unsigned char>(character);
        value *= 0x100000001b3ULL;
    }
    return finalize(value);
}

std::string hex_digest(std::string_view text)
{
    constexpr std::string_view digits = "0123456789abcdef";
    std::uint64_t value = hash64(text);
    std::string result(16, '0');
    for (std::size_t i = result.size(); i > 0; --i)
    {
        result[i - 1] = digits[value & 0xfU];
        value >>= 4U;
    }
    return result;
}

std::vector<std::size_t> rendezvous_order(std::string_view key, std::span<const std::string> nodes)
{
    const std::uint64_t key_hash = hash64(key);
    std::vector<std::uint64_t> weights(nodes.size());
    for (std::size_t i = 0; i < nodes.size(); ++i)
    {
        weights[i] = hash64(nodes[i], key_hash);
    }
    std::vector<std::size_t> order(nodes.size());
    std::iota(order.begin(), order.end(), std::size_t{0});
    std::sort(order.begin(), order.end(),
              [&](std::size_t left, std::size_t right)
              {
                  if (weights[left] != weights[right])
                  {
                      return weights[left] > weights[right];
                  }
                  return nodes[left] < nodes[right];
              });
    return order;
}

std::size_t rendezvous_owner(std::string_view key, std::span<const std::string> nodes)
{
    const std::vector<std::size_t> order = rendezvous_order(key, nodes);
    return order.empty() ? nodes.size() : order.front();
}

} // namespace lacewingquay
