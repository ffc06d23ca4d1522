#include "core/uuid.hpp"

#include <cstdio>

namespace lacewingquay
{

std::string make_uuid_v7(wall_time issued, std::mt19937_64& random)
{
    constexpr std::size_t text_size = 37;
    constexpr std::uint64_t variant = 0x8000000000000000ULL;
    const std::uint64_t time = static_cast<std::uint64_t>(unix_milliseconds(issued));
    const std::uint64_t high = (time << 16U) | 0x7000U | (random() & 0xfffU);
    const std::uint64_t low = variant | (random() >> 2U);
    char text[text_size];
    std::snprintf(text, sizeof text, "%08llx-%04llx-%04llx-%04llx-%012llx",
                  static_cast<unsigned long long>(high >> 32U),
                  static_cast<unsigned long long>((high >> 16U) & 0xffffU),
                  static_cast<unsigned long long>(high & 0xffffU),
                  static_cast<unsigned long long>(low >> 48U),
                  static_cast<unsigned long long>(low & 0xffffffffffffULL));
    return text;
}

} // namespace lacewingquay
