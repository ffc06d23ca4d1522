#include "config/placement_rows.hpp"

#include "placement/row.hpp"

#include <optional>
#include <string>

namespace lacewingquay::config
{

namespace leaf = boost::leaf;

using placement::zone_placement;

leaf::result<zone_placement> parse_placement_row(std::string_view key, std::string_view text)
{
    const std::optional<std::string_view> zone = placement::zone_of_placement_key(key);
    if (!zone)
    {
        return leaf::new_error(input_error{"row", std::string(key), "a key placement/ZONE"});
    }
    return placement::parse_placement(text, *zone);
}

leaf::result<placed_hosts> placed_hosts_of(std::span<const platform::row> rows)
{
    placed_hosts result;
    for (const platform::row& row : rows)
    {
        BOOST_LEAF_AUTO(zone, parse_placement_row(row.key, row.value));
        for (const auto& [name, placed] : zone.hosts)
        {
            result.insert_or_assign(name, placed.pool);
        }
    }
    return result;
}

} // namespace lacewingquay::config
