#include "manager/isolation.hpp"

#include "core/json.hpp"

#include <boost/json.hpp>

#include <algorithm>

namespace lacewingquay::manager
{

std::string serialize_host(const host_record& value)
{
    return boost::json::serialize(boost::json::object{{"cores", value.strength.cores},
                                                      {"link_mbit", value.strength.link_mbit},
                                                      {"zone", value.availability_zone},
                                                      {"readiness", value.readiness.text()}});
}

boost::leaf::result<host_record> parse_host(std::string_view text)
{
    BOOST_LEAF_AUTO(body, parse_json_object(text, "host"));
    json_reader reader(body, "host");
    host_record result;
    BOOST_LEAF_ASSIGN(result.strength.cores, reader.number("cores", 0.0, 1e6));
    BOOST_LEAF_ASSIGN(result.strength.link_mbit, reader.number("link_mbit", 0.0, 1e9));
    BOOST_LEAF_ASSIGN(result.availability_zone, reader.text("zone"));
    BOOST_LEAF_AUTO(where, reader.text("readiness"));
    BOOST_LEAF_ASSIGN(result.readiness, parse_address(where, "host.readiness"));
    return result;
}

std::string serialize_readiness(bool store_answers)
{
    return boost::json::serialize(boost::json::object{{"store_answers", store_answers}});
}

peer_view parse_readiness(std::string_view body)
{
    boost::system::error_code error;
    const boost::json::value parsed = boost::json::parse(body, error);
    const boost::json::object* object = error ? nullptr : parsed.if_object();
    const boost::json::value* flag =
        object == nullptr ? nullptr : object->if_contains("store_answers");
    const bool* answers = flag == nullptr ? nullptr : flag->if_bool();
    if (answers == nullptr)
    {
        // An unknown response format is no evidence about the store.
        return peer_view::no_answer;
    }
    return *answers ? peer_view::store_answers : peer_view::store_away;
}

bool is_cut_off(std::span<const peer_view> answers)
{
    const bool other_reaches_it =
        std::find(answers.begin(), answers.end(), peer_view::store_answers) != answers.end();
    const bool nobody_answers =
        !answers.empty() &&
        std::all_of(answers.begin(), answers.end(),
                    [](peer_view view) { return view == peer_view::no_answer; });
    return other_reaches_it || nobody_answers;
}

std::vector<address> choose_peers(const std::map<std::string, host_record>& hosts,
                                  std::string_view own_name, std::string_view own_zone,
                                  std::size_t count, std::size_t round)
{
    std::vector<address> elsewhere;
    std::vector<address> near;
    for (const auto& entry : hosts)
    {
        if (entry.first != own_name)
        {
            (entry.second.availability_zone == own_zone ? near : elsewhere)
                .push_back(entry.second.readiness);
        }
    }
    std::vector<address>& from = elsewhere.empty() ? near : elsewhere;
    if (!from.empty())
    {
        const std::size_t first = round * count % from.size();
        std::rotate(from.begin(), from.begin() + static_cast<std::ptrdiff_t>(first), from.end());
        from.resize(std::min(count, from.size()));
    }
    return from;
}

} // namespace lacewingquay::manager
