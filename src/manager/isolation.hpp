#pragma once

#include "core/address.hpp"
#include "core/clock.hpp"
#include "manager/ownership.hpp"

#include <boost/leaf.hpp>

#include <cstddef>
#include <map>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace lacewingquay::manager
{

/// Properties of an entry host that it publishes to the other hosts.
struct host_record
{
    host_resources resources;
    std::string availability_zone;
    /// Address of its readiness endpoint.
    address readiness;
};

[[nodiscard]] std::string serialize_host(const host_record& value);
[[nodiscard]] boost::leaf::result<host_record> parse_host(std::string_view text);

/// Reachability of the store as reported by another entry host.
enum class peer_store_status
{
    no_answer,
    store_unavailable,
    store_available
};

[[nodiscard]] std::string serialize_readiness(bool store_available);
[[nodiscard]] peer_store_status parse_readiness(std::string_view body);

/// True if a host that has lost the store is itself isolated and callers are better served by other
/// hosts: another host reaches the store, or none of the queried hosts answers. If the others have
/// lost the store too, the store is down and routing callers elsewhere would not help.
[[nodiscard]] bool is_isolated(std::span<const peer_store_status> statuses);

/// Chooses up to `count` hosts to query. Hosts of other availability zones are preferred, as a
/// network failure usually isolates a whole zone. `round` rotates the choice between calls.
[[nodiscard]] std::vector<address> choose_peers(const std::map<std::string, host_record>& hosts,
                                                std::string_view own_name,
                                                std::string_view own_zone, std::size_t count,
                                                std::size_t round);

} // namespace lacewingquay::manager
