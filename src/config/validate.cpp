#include "config/validate.hpp"

#include "config/limits.hpp"
#include "core/error.hpp"
#include "platform/check.hpp"

#include <map>
#include <set>
#include <string>
#include <tuple>
#include <utility>

namespace lacewingquay::config
{

namespace leaf = boost::leaf;

namespace
{

leaf::result<void> check_count(const std::string& what, std::size_t count, std::size_t highest)
{
    if (count > highest)
    {
        return leaf::new_error(
            input_error{what, std::to_string(count), "at most " + std::to_string(highest)});
    }
    return {};
}

leaf::result<void> check_spare_pool(const configuration& value)
{
    std::string spares;
    std::size_t count = 0;
    for (const auto& [name, entry] : value.pools)
    {
        if (entry.spare)
        {
            spares += (count == 0 ? "" : ", ") + name;
            ++count;
        }
    }
    if (count != 1)
    {
        return leaf::new_error(
            input_error{"pools with spare=true", spares, "exactly one spare pool"});
    }
    return {};
}

leaf::result<void> check_pool_exists(const configuration& value, const std::string& name,
                                     const object_key& user, std::string_view field)
{
    if (!value.pools.contains(name))
    {
        return leaf::new_error(input_error{user.text() + " " + std::string(field), name,
                                           "an existing pool; a pool can be withdrawn only when "
                                           "no service or host refers to it"});
    }
    return {};
}

leaf::result<void> check_hosts(const configuration& value)
{
    std::map<std::pair<std::string, std::uint16_t>, std::string> users;
    std::set<std::string> zones;
    for (const auto& [name, entry] : value.hosts)
    {
        LACEWINGQUAY_CHECK(check_pool_exists(value, entry.initial_pool, {object_kind::host, name},
                                             "initial_pool"));
        zones.insert(entry.availability_zone);
        const auto [position, inserted] =
            users.emplace(std::pair(entry.where.ip, entry.where.port), name);
        if (!inserted)
        {
            return leaf::new_error(input_error{"host '" + name + "' address", entry.where.text(),
                                               "an address that no other host has; host '" +
                                                   position->second + "' has it"});
        }
    }
    return check_count("availability zones", zones.size(), limits::max_availability_zones);
}

} // namespace

leaf::result<void> validate(const configuration& value)
{
    LACEWINGQUAY_CHECK(check_count("services", value.services.size(), limits::max_services));
    LACEWINGQUAY_CHECK(check_count("pools", value.pools.size(), limits::max_pools));
    LACEWINGQUAY_CHECK(check_count("hosts", value.hosts.size(), limits::max_hosts));
    LACEWINGQUAY_CHECK(check_spare_pool(value));
    for (const auto& [name, entry] : value.services)
    {
        LACEWINGQUAY_CHECK(
            check_pool_exists(value, entry.pool, {object_kind::service, name}, "pool"));
    }
    return check_hosts(value);
}

leaf::result<void> check_entries(const release_note& note)
{
    std::map<object_key, std::string_view> listed;
    const auto add = [&listed](object_key key, std::string_view list) -> leaf::result<void>
    {
        const std::string text = key.text();
        const auto [position, inserted] = listed.emplace(std::move(key), list);
        if (!inserted)
        {
            return leaf::new_error(input_error{std::string(list), text,
                                               "an object listed once; it is also under '" +
                                                   std::string(position->second) + "'"});
        }
        return {};
    };
    for (const definition& object : note.added)
    {
        LACEWINGQUAY_CHECK(add(key_of(object), "added"));
    }
    for (const definition& object : note.changed)
    {
        LACEWINGQUAY_CHECK(add(key_of(object), "changed"));
    }
    for (const object_key& key : note.withdrawn)
    {
        LACEWINGQUAY_CHECK(add(key, "withdrawn"));
    }
    if (listed.empty())
    {
        return leaf::new_error(input_error{"release note", "no entries",
                                           "at least one entry under added, changed or withdrawn"});
    }
    return {};
}

} // namespace lacewingquay::config
