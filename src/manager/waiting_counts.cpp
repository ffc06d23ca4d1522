#include "manager/waiting_counts.hpp"

#include "core/json.hpp"

#include <boost/json.hpp>

#include <algorithm>
#include <utility>

namespace lacewingquay::manager
{

std::string serialize_waiting(const waiting_counts& value)
{
    boost::json::object queues;
    for (const auto& entry : value.queues)
    {
        queues[entry.first] = entry.second;
    }
    return boost::json::serialize(boost::json::object{{"covered_version", value.covered_version},
                                                      {"queues", std::move(queues)}});
}

boost::leaf::result<waiting_counts> parse_waiting(std::string_view text)
{
    constexpr std::int64_t most = 1'000'000'000'000;
    BOOST_LEAF_AUTO(body, parse_json_object(text, "waiting"));
    json_reader reader(body, "waiting");
    waiting_counts result;
    BOOST_LEAF_ASSIGN(result.covered_version, reader.integer("covered_version", 0, most));
    BOOST_LEAF_AUTO(queues, reader.object("queues"));
    json_reader counts(*queues, "waiting.queues");
    for (const boost::json::key_value_pair& entry : *queues)
    {
        BOOST_LEAF_AUTO(count, counts.integer(entry.key(), 0, most));
        result.queues[std::string(entry.key())] = count;
    }
    return result;
}

void waiting_board::observe(waiting_counts counts, std::int64_t row_version, steady_time now)
{
    if (row_version < row_version_)
    {
        return;
    }
    row_version_ = row_version;
    counts_ = std::move(counts);
    updated_ = now;
}

void waiting_board::add(const std::map<std::string, std::int64_t, std::less<>>& queues,
                        std::int64_t version, steady_time now)
{
    for (const auto& entry : queues)
    {
        counts_.queues[entry.first] += entry.second;
    }
    counts_.covered_version = std::max(counts_.covered_version, version);
    updated_ = now;
}

std::int64_t waiting_board::waiting(std::string_view queue) const
{
    const auto found = counts_.queues.find(queue);
    return found == counts_.queues.end() ? 0 : found->second;
}

} // namespace lacewingquay::manager
