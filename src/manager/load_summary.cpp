#include "manager/load_summary.hpp"

#include "core/json.hpp"

#include <boost/json.hpp>

#include <algorithm>
#include <utility>

namespace lacewingquay::manager
{

std::string serialize_load(const load_summary& value)
{
    boost::json::object queues;
    for (const auto& entry : value.queues)
    {
        queues[entry.first] = boost::json::object{{"waiting", entry.second.waiting},
                                                  {"drain_ms", entry.second.drain.count()},
                                                  {"cpu", entry.second.cpu}};
    }
    return boost::json::serialize(boost::json::object{{"covered_version", value.covered_version},
                                                      {"queues", std::move(queues)}});
}

boost::leaf::result<load_summary> parse_load(std::string_view text)
{
    constexpr std::int64_t most = 1'000'000'000'000;
    BOOST_LEAF_AUTO(body, parse_json_object(text, "load"));
    json_reader reader(body, "load");
    load_summary result;
    BOOST_LEAF_ASSIGN(result.covered_version, reader.integer("covered_version", 0, most));
    BOOST_LEAF_AUTO(queues, reader.object("queues"));
    json_reader names(*queues, "load.queues");
    for (const boost::json::key_value_pair& entry : *queues)
    {
        BOOST_LEAF_AUTO(fields, names.object(entry.key()));
        json_reader queue(*fields, names.path(entry.key()));
        scheduler::queue_load& load = result.queues[std::string(entry.key())];
        BOOST_LEAF_ASSIGN(load.waiting, queue.integer("waiting", 0, most));
        BOOST_LEAF_AUTO(drain, queue.integer("drain_ms", 0, most));
        load.drain = milliseconds(drain);
        BOOST_LEAF_ASSIGN(load.cpu, queue.integer("cpu", 0, most));
    }
    return result;
}

void load_board::observe(load_summary summary, std::int64_t row_version, steady_time now)
{
    if (row_version < row_version_)
    {
        return;
    }
    row_version_ = row_version;
    summary_ = std::move(summary);
    updated_ = now;
}

void load_board::add_waiting(const std::map<std::string, std::int64_t, std::less<>>& queues,
                             std::int64_t version, steady_time now)
{
    for (const auto& entry : queues)
    {
        summary_.queues[entry.first].waiting += entry.second;
    }
    summary_.covered_version = std::max(summary_.covered_version, version);
    updated_ = now;
}

scheduler::queue_load load_board::load_of(std::string_view queue) const
{
    const auto found = summary_.queues.find(queue);
    return found == summary_.queues.end() ? scheduler::queue_load{} : found->second;
}

} // namespace lacewingquay::manager
