#pragma once

#include "config/model.hpp"
#include "platform/port.hpp"

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace lacewingquay::placement
{

/// The hosts in the other zones' placement rows. A host that is still in another zone's row must
/// not be added to this zone's row, or it would be in two pools.
class other_zones
{
public:
    explicit other_zones(std::string own_zone) : own_zone_(std::move(own_zone)) {}

    /// Replaces the content by `rows`, all rows `placement/...`. If one of them cannot be parsed,
    /// no host may be added.
    void on_rows(const std::vector<platform::row>& rows,
                 const config::configuration& configuration);

    /// Allows no host to be added until the next `on_rows`.
    void invalidate() { versions_.reset(); }

    /// True if the rows are known and none contains the host.
    [[nodiscard]] bool may_add(std::string_view host) const
    {
        return versions_.has_value() && !hosts_.contains(host);
    }

    /// Adds checks to `changes` that none of the rows has changed since it was read.
    void add_checks(platform::transaction& changes) const;

private:
    std::string own_zone_;
    /// Versions by row key, 0 for a zone without a row; no value while the rows are not known.
    std::optional<std::map<std::string, std::uint64_t, std::less<>>> versions_;
    std::set<std::string, std::less<>> hosts_;
};

} // namespace lacewingquay::placement
