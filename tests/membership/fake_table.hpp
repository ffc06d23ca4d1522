#pragma once

#include "platform/port.hpp"

#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace lacewingquay::membership
{

/// In-memory table with the checks and versions of `platform::port`. The version of a row restarts
/// at 1 after its removal: the worst case, in which an old version check can hold again.
class fake_table
{
public:
    platform::transact_result transact(const platform::transaction& changes)
    {
        platform::transact_result result;
        for (const platform::row_check& check : changes.checks)
        {
            if (version(check.key) != check.version)
            {
                result.status = platform::transact_status::conflict;
                result.conflict_key = check.key;
                return result;
            }
        }
        result.status = platform::transact_status::committed;
        for (const platform::row_write& write : changes.writes)
        {
            if (!write.value)
            {
                rows_.erase(write.key);
                result.versions.push_back(0);
                continue;
            }
            platform::row& row = rows_[write.key];
            row = {write.key, row.version + 1, *write.value};
            result.versions.push_back(row.version);
        }
        return result;
    }

    [[nodiscard]] platform::row_result read(const std::string& key, std::uint64_t not_version) const
    {
        const std::map<std::string, platform::row>::const_iterator found = rows_.find(key);
        if (found == rows_.end())
        {
            return {platform::read_status::absent, {key, 0, {}}};
        }
        if (not_version != 0 && found->second.version == not_version)
        {
            return {platform::read_status::unchanged, {}};
        }
        return {platform::read_status::found, found->second};
    }

    [[nodiscard]] platform::rows_result list(std::string_view prefix) const
    {
        platform::rows_result result{platform::read_status::found, {}};
        for (const std::pair<const std::string, platform::row>& item : rows_)
        {
            if (item.first.starts_with(prefix))
            {
                result.rows.push_back(item.second);
            }
        }
        return result;
    }

    [[nodiscard]] std::uint64_t version(const std::string& key) const
    {
        const std::map<std::string, platform::row>::const_iterator found = rows_.find(key);
        return found == rows_.end() ? 0 : found->second.version;
    }

    [[nodiscard]] std::string value(const std::string& key) const
    {
        const std::map<std::string, platform::row>::const_iterator found = rows_.find(key);
        return found == rows_.end() ? std::string() : found->second.value;
    }

private:
    std::map<std::string, platform::row> rows_;
};

} // namespace lacewingquay::membership
