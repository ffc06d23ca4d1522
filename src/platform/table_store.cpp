#include "platform/table_store.hpp"

#include <utility>

namespace lacewingquay::platform
{

row table_store::read(std::string_view key) const
{
    const auto found = rows_.find(key);
    if (found == rows_.end() || !found->second.value)
    {
        return row{std::string(key), 0, {}};
    }
    return row{found->first, found->second.version, *found->second.value};
}

std::vector<row> table_store::list(std::string_view prefix, std::string_view after,
                                   std::size_t limit) const
{
    std::vector<row> result;
    auto position = after < prefix ? rows_.lower_bound(prefix) : rows_.upper_bound(after);
    for (; position != rows_.end() && result.size() < limit; ++position)
    {
        if (!position->first.starts_with(prefix))
        {
            break;
        }
        if (position->second.value)
        {
            result.push_back(
                row{position->first, position->second.version, *position->second.value});
        }
    }
    return result;
}

transact_result table_store::transact(const transaction& changes)
{
    transact_result result;
    for (const row_check& check : changes.checks)
    {
        if (read(check.key).version != check.version)
        {
            result.status = transact_status::conflict;
            result.conflict_key = check.key;
            return result;
        }
    }
    for (const row_write& write : changes.writes)
    {
        stored_row& stored = rows_[write.key];
        ++stored.version;
        stored.value = write.value;
        result.versions.push_back(write.value ? stored.version : 0);
    }
    result.status = transact_status::committed;
    return result;
}

std::optional<std::string> table_store::read_object(std::string_view key) const
{
    const auto found = objects_.find(key);
    return found == objects_.end() ? std::nullopt : std::optional<std::string>(found->second);
}

void table_store::write_object(std::string key, std::string body)
{
    objects_.insert_or_assign(std::move(key), std::move(body));
}

} // namespace lacewingquay::platform
