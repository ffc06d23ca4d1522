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

/// What an entry host tells the others of itself.
struct host_record
{
    host_strength strength;
    std::string availability_zone;
    /// Where its readiness is asked for.
    address readiness;
};

[[nodiscard]] std::string serialize_host(const host_record& value);
[[nodiscard]] boost::leaf::result<host_record> parse_host(std::string_view text);

/// What another entry host answered to a host that has lost the store.
enum class peer_view
{
    no_answer,
    store_away,
    store_answers
};

[[nodiscard]] std::string serialize_readiness(bool store_answers);
[[nodiscard]] peer_view parse_readiness(std::string_view body);

/// True if a host that has lost the store is itself cut off, so that callers are served better by
/// others: another host reaches the store, or no other host can be reached. If the others have
/// lost it too, the store is down, and turning callers away would help nobody.
[[nodiscard]] bool is_cut_off(std::span<const peer_view> answers);

/// The hosts to ask: those of other availability zones first, as a zone is cut off as a whole.
/// `round` makes each call choose others.
[[nodiscard]] std::vector<address> choose_peers(const std::map<std::string, host_record>& hosts,
                                                std::string_view own_name,
                                                std::string_view own_zone, std::size_t count,
                                                std::size_t round);

} // namespace lacewingquay::manager
