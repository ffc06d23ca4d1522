#include "placement/other_zones.hpp"

#include "placement/row.hpp"

#include <utility>

namespace lacewingquay::placement
{

void other_zones::on_rows(const std::vector<platform::row>& rows,
                          const config::configuration& configuration)
{
    versions_.reset();
    hosts_.clear();
    std::map<std::string, std::uint64_t, std::less<>> versions;
    for (const std::pair<const std::string, config::host>& item : configuration.hosts)
    {
        versions[placement_key(item.second.availability_zone)] = 0;
    }
    bool readable = true;
    for (const platform::row& row : rows)
    {
        const std::optional<std::string_view> zone = zone_of_placement_key(row.key);
        if (!zone || *zone == own_zone_)
        {
            continue;
        }
        versions[row.key] = row.version;
        boost::leaf::try_handle_all(
            [&]() -> boost::leaf::result<void>
            {
                BOOST_LEAF_AUTO(placement, parse_placement(row.value, *zone));
                for (const std::pair<const std::string, host_placement>& host : placement.hosts)
                {
                    hosts_.insert(host.first);
                }
                return {};
            },
            [&] { readable = false; });
    }
    versions.erase(placement_key(own_zone_));
    if (readable)
    {
        versions_ = std::move(versions);
    }
}

void other_zones::add_checks(platform::transaction& changes) const
{
    if (!versions_)
    {
        return;
    }
    for (const std::pair<const std::string, std::uint64_t>& row : *versions_)
    {
        changes.checks.push_back({row.first, row.second});
    }
}

} // namespace lacewingquay::placement
