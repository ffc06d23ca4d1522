#include "manager/load_summary.hpp"

#include "core/json.hpp"

#include <boost/json.hpp>

#include <algorithm>
#include <functional>
#include <utility>
#include <vector>

namespace lacewingquay::manager
{

std::string serialize_load(const load_summary& value, std::size_t max_bytes)
{
    // The fields besides the lists.
    constexpr std::size_t reserved = 200;
    max_bytes = std::min(max_bytes, max_load_bytes);
    std::size_t pool_bytes = reserved;
    std::vector<std::pair<std::int64_t, std::string_view>> counts;
    for (const auto& entry : value.load.waiting)
    {
        counts.emplace_back(entry.second, entry.first);
    }
    std::sort(counts.begin(), counts.end(), std::greater<>());
    boost::json::object pools;
    for (const auto& entry : value.load.pools)
    {
        boost::json::array levels;
        for (const std::pair<const int, scheduler::backlog>& level : entry.second)
        {
            levels.emplace_back(
                boost::json::object{{"priority", level.first},
                                    {"drain_ms", level.second.drain.count()},
                                    {"cpu", level.second.cpu},
                                    {"useful_drain_ms", level.second.useful_drain.count()}});
        }
        pool_bytes += boost::json::serialize(levels).size() +
                      boost::json::serialize(boost::json::string(entry.first)).size() + 2;
        if (pool_bytes > max_bytes)
        {
            break;
        }
        pools[entry.first] = std::move(levels);
    }
    boost::json::object row{{"covered_version", value.covered_version},
                            {"complete_at_ms", value.complete_at.count()},
                            {"waiting_complete", false},
                            {"waiting", boost::json::object()},
                            {"pools", std::move(pools)}};
    std::size_t bytes = boost::json::serialize(row).size();
    boost::json::object waiting;
    bool waiting_complete = value.waiting_complete;
    for (const std::pair<std::int64_t, std::string_view>& entry : counts)
    {
        const std::string name = boost::json::serialize(boost::json::string(entry.second));
        // A colon and a comma.
        bytes += name.size() + std::to_string(entry.first).size() + 2;
        if (bytes > max_bytes)
        {
            waiting_complete = false;
            break;
        }
        waiting[entry.second] = entry.first;
    }
    row["waiting"] = std::move(waiting);
    row["waiting_complete"] = waiting_complete;
    return boost::json::serialize(row);
}

boost::leaf::result<load_summary> parse_load(std::string_view text)
{
    constexpr std::int64_t max_value = 1'000'000'000'000;
    BOOST_LEAF_AUTO(body, parse_json_object(text, "load"));
    json_reader reader(body, "load");
    load_summary result;
    BOOST_LEAF_ASSIGN(result.covered_version, reader.integer("covered_version", 0, max_value));
    // Hosts of an earlier version do not store this field.
    BOOST_LEAF_AUTO(complete_at, reader.integer_or("complete_at_ms", 0, 0, max_value));
    result.complete_at = milliseconds(complete_at);
    BOOST_LEAF_AUTO(waiting, reader.object("waiting"));
    json_reader counts(*waiting, "load.waiting");
    for (const boost::json::key_value_pair& entry : *waiting)
    {
        BOOST_LEAF_AUTO(count, counts.integer(entry.key(), 0, max_value));
        result.load.waiting[std::string(entry.key())] = count;
    }
    // Hosts of an earlier version do not store this field and list at most 400 queues.
    BOOST_LEAF_ASSIGN(result.waiting_complete,
                      reader.flag_or("waiting_complete", waiting->size() < 400));
    BOOST_LEAF_AUTO(pools, reader.object("pools"));
    json_reader names(*pools, "load.pools");
    for (const boost::json::key_value_pair& entry : *pools)
    {
        BOOST_LEAF_AUTO(levels, names.array(entry.key()));
        for (const boost::json::value& level : *levels)
        {
            const boost::json::object* fields = level.if_object();
            if (fields == nullptr)
            {
                return boost::leaf::new_error(input_error{
                    names.path(entry.key()), boost::json::serialize(level), "an object"});
            }
            json_reader backlog(*fields, names.path(entry.key()));
            BOOST_LEAF_AUTO(priority, backlog.integer("priority", -1'000, 1'000));
            BOOST_LEAF_AUTO(drain, backlog.integer("drain_ms", 0, max_value));
            BOOST_LEAF_AUTO(cpu, backlog.integer("cpu", 0, max_value));
            // Hosts of an earlier version do not store this field.
            BOOST_LEAF_AUTO(useful_drain,
                            backlog.integer_or("useful_drain_ms", drain, 0, max_value));
            result.load.pools[std::string(entry.key())][static_cast<int>(priority)] = {
                milliseconds(drain), cpu, milliseconds(useful_drain)};
        }
    }
    return result;
}

void load_tracker::observe(load_summary summary, std::int64_t row_version)
{
    if (row_version < row_version_)
    {
        return;
    }
    row_version_ = row_version;
    summary_ = std::move(summary);
}

void load_tracker::add_waiting(const std::map<std::string, std::int64_t, std::less<>>& queues,
                               std::int64_t version, milliseconds store_time)
{
    for (const auto& entry : queues)
    {
        const auto listed = summary_.load.waiting.find(entry.first);
        if (listed != summary_.load.waiting.end())
        {
            listed->second += entry.second;
        }
        else if (summary_.waiting_complete)
        {
            summary_.load.waiting[entry.first] = entry.second;
        }
    }
    summary_.covered_version = std::max(summary_.covered_version, version);
    summary_.complete_at = std::max(summary_.complete_at, store_time);
}

void load_tracker::add_full_count(std::map<std::string, std::int64_t, std::less<>> queues,
                                  std::int64_t version, milliseconds store_time)
{
    full_count_ = {version, store_time, {std::move(queues), {}}};
    if (version >= summary_.covered_version)
    {
        summary_.covered_version = version;
        summary_.complete_at = store_time;
        summary_.load.waiting = full_count_.load.waiting;
        summary_.waiting_complete = true;
    }
}

bool load_tracker::lists(const job::queue& queue) const
{
    return summary_.waiting_complete || summary_.load.waiting.contains(queue.name);
}

std::optional<std::int64_t> load_tracker::waiting(const job::queue& queue, milliseconds max_age,
                                                  milliseconds store_time) const
{
    if (lists(queue) && !is_older_than(max_age, store_time))
    {
        return load_of(queue).waiting;
    }
    if (!lists(queue) && full_count_.complete_at.count() > 0 &&
        store_time - full_count_.complete_at <= max_age)
    {
        return full_count_.load.of(queue).waiting;
    }
    return std::nullopt;
}

std::optional<milliseconds> load_tracker::age(milliseconds store_time) const
{
    if (summary_.complete_at.count() == 0)
    {
        return std::nullopt;
    }
    return std::max(milliseconds(0), store_time - summary_.complete_at);
}

} // namespace lacewingquay::manager
