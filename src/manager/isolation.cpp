#include "manager/isolation.hpp"

#include "core/json.hpp"

#include <boost/json.hpp>

#include <algorithm>

namespace lacewingquay::manager
{

namespace
{

constexpr milliseconds max_reported_silence{std::chrono::hours(1)};

/// Keeps `count` candidates, others in each round.
void rotate_choice(std::vector<address>& candidates, std::size_t count, std::size_t round)
{
    if (candidates.empty())
    {
        return;
    }
    const std::size_t first = round * count % candidates.size();
    std::rotate(candidates.begin(), candidates.begin() + static_cast<std::ptrdiff_t>(first),
                candidates.end());
    candidates.resize(std::min(count, candidates.size()));
}

} // namespace

std::string serialize_host(const host_record& value)
{
    return boost::json::serialize(boost::json::object{{"cores", value.resources.cores},
                                                      {"link_mbit", value.resources.link_mbit},
                                                      {"zone", value.availability_zone},
                                                      {"readiness", value.readiness.text()}});
}

boost::leaf::result<host_record> parse_host(std::string_view text)
{
    BOOST_LEAF_AUTO(body, parse_json_object(text, "host"));
    json_reader reader(body, "host");
    host_record result;
    BOOST_LEAF_ASSIGN(result.resources.cores, reader.number("cores", 0.0, 1e6));
    BOOST_LEAF_ASSIGN(result.resources.link_mbit, reader.number("link_mbit", 0.0, 1e9));
    BOOST_LEAF_ASSIGN(result.availability_zone, reader.text("zone"));
    BOOST_LEAF_AUTO(where, reader.text("readiness"));
    BOOST_LEAF_ASSIGN(result.readiness, parse_address(where, "host.readiness"));
    return result;
}

std::string serialize_readiness(const peer_report& value)
{
    return boost::json::serialize(
        boost::json::object{{"store_answers", value.status == peer_store_status::store_available},
                            {"store_silence_ms", value.silence.count()},
                            {"owner_term", value.owner_term}});
}

peer_report parse_readiness(std::string_view body)
{
    boost::system::error_code error;
    const boost::json::value parsed = boost::json::parse(body, error);
    const boost::json::object* object = error ? nullptr : parsed.if_object();
    const boost::json::value* flag =
        object == nullptr ? nullptr : object->if_contains("store_answers");
    const bool* available = flag == nullptr ? nullptr : flag->if_bool();
    if (available == nullptr)
    {
        // An unknown response format is no evidence about the store.
        return {};
    }
    const auto number = [&](std::string_view key)
    {
        const boost::json::value* found = object->if_contains(key);
        const std::int64_t* value = found == nullptr ? nullptr : found->if_int64();
        return value == nullptr ? std::int64_t(0) : std::max(*value, std::int64_t(0));
    };
    return {*available ? peer_store_status::store_available : peer_store_status::store_unavailable,
            milliseconds(std::min(number("store_silence_ms"), max_reported_silence.count())),
            number("owner_term")};
}

bool is_isolated(std::span<const peer_store_status> statuses)
{
    const bool peer_reaches_store = std::find(statuses.begin(), statuses.end(),
                                              peer_store_status::store_available) != statuses.end();
    const bool no_peer_answers =
        !statuses.empty() && std::all_of(statuses.begin(), statuses.end(),
                                         [](peer_store_status status)
                                         { return status == peer_store_status::no_answer; });
    return peer_reaches_store || no_peer_answers;
}

outage_check evaluate_outage(steady_time began, steady_time ended, bool isolated,
                             std::span<const peer_report> reports)
{
    outage_check result;
    result.began = began;
    result.ended = ended;
    bool peer_reaches_store = false;
    bool is_confirmed = reports.empty();
    result.silence = max_reported_silence;
    for (const peer_report& report : reports)
    {
        result.owner_term = std::max(result.owner_term, report.owner_term);
        peer_reaches_store =
            peer_reaches_store || report.status == peer_store_status::store_available;
        if (report.status == peer_store_status::store_unavailable)
        {
            is_confirmed = true;
            result.silence = std::min(result.silence, report.silence);
        }
    }
    result.confirms_outage = is_confirmed && !peer_reaches_store && !isolated;
    return result;
}

std::vector<address> choose_any_peers(const std::map<std::string, host_record>& hosts,
                                      std::string_view own_name, std::size_t count,
                                      std::size_t round)
{
    std::vector<address> candidates;
    for (const auto& entry : hosts)
    {
        if (entry.first != own_name)
        {
            candidates.push_back(entry.second.readiness);
        }
    }
    rotate_choice(candidates, count, round);
    return candidates;
}

std::vector<address> choose_peers(const std::map<std::string, host_record>& hosts,
                                  std::string_view own_name, std::string_view own_zone,
                                  std::size_t count, std::size_t round)
{
    std::vector<address> other_zones;
    std::vector<address> same_zone;
    for (const auto& entry : hosts)
    {
        if (entry.first != own_name)
        {
            (entry.second.availability_zone == own_zone ? same_zone : other_zones)
                .push_back(entry.second.readiness);
        }
    }
    std::vector<address>& candidates = other_zones.empty() ? same_zone : other_zones;
    rotate_choice(candidates, count, round);
    return candidates;
}

} // namespace lacewingquay::manager
