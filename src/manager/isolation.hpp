#pragma once

#include "core/address.hpp"
#include "core/clock.hpp"
#include "manager/ownership.hpp"

#include <boost/leaf.hpp>

#include <cstddef>
#include <cstdint>
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

/// What an entry host reports of the store and of the owner.
struct peer_report
{
    peer_store_status status = peer_store_status::no_answer;
    /// Time since the store last answered that host; zero if it does not say.
    milliseconds silence{0};
    /// Newest term of ownership that it knows; zero if it does not say.
    std::int64_t owner_term = 0;

    friend bool operator==(const peer_report&, const peer_report&) = default;
};

[[nodiscard]] std::string serialize_readiness(const peer_report& value);
[[nodiscard]] peer_report parse_readiness(std::string_view body);

/// True if a host that has lost the store is itself isolated and callers are better served by other
/// hosts: another host reaches the store, or none of the queried hosts answers. If the others have
/// lost the store too, the store is down and routing callers elsewhere would not help.
[[nodiscard]] bool is_isolated(std::span<const peer_store_status> statuses);

/// Result of asking other hosts about the store while it does not answer this host.
struct outage_check
{
    /// When the first host was asked, and when the last answer was read.
    steady_time began{};
    steady_time ended{};
    /// The store answers none of the hosts asked, as far as they answered, and they are enough to
    /// tell an outage of the store from an isolation of this host.
    bool confirms_outage = false;
    /// Least time for which the store has answered none of those hosts.
    milliseconds silence{0};
    /// Newest term of ownership that one of them knows.
    std::int64_t owner_term = 0;
};

/// `isolated` is whether this host counts as isolated by `is_isolated`. Without other hosts, an
/// outage is confirmed, as no host can take over.
[[nodiscard]] outage_check evaluate_outage(steady_time began, steady_time ended, bool isolated,
                                           std::span<const peer_report> reports);

/// Chooses up to `count` of all other hosts. `round` rotates the choice between calls.
[[nodiscard]] std::vector<address> choose_any_peers(const std::map<std::string, host_record>& hosts,
                                                    std::string_view own_name, std::size_t count,
                                                    std::size_t round);

/// Chooses up to `count` hosts to query. Hosts of other availability zones are preferred, as a
/// network failure usually isolates a whole zone. `round` rotates the choice between calls.
[[nodiscard]] std::vector<address> choose_peers(const std::map<std::string, host_record>& hosts,
                                                std::string_view own_name,
                                                std::string_view own_zone, std::size_t count,
                                                std::size_t round);

} // namespace lacewingquay::manager
