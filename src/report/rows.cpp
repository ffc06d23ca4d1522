#include "report/rows.hpp"

#include "core/json.hpp"

#include <algorithm>
#include <charconv>
#include <limits>

namespace lacewingquay::report
{

namespace
{

constexpr std::string_view minute_kind = "burn_minute";
constexpr std::string_view hour_kind = "burn_hour";
constexpr std::size_t period_digits = 12;
constexpr std::int64_t max_int64 = std::numeric_limits<std::int64_t>::max();

std::string padded(std::int64_t period)
{
    std::string digits = std::to_string(period);
    if (digits.size() < period_digits)
    {
        digits.insert(0, period_digits - digits.size(), '0');
    }
    return digits;
}

std::int64_t minute_of(wall_time now)
{
    return unix_milliseconds(now) / 60'000;
}

std::int64_t hour_of(wall_time now)
{
    return minute_of(now) / 60;
}

boost::json::object to_json(const service_counts& counts)
{
    return {{"total", counts.total},     {"bad", counts.bad},
            {"not_run", counts.not_run}, {"may_have_run", counts.may_have_run},
            {"late", counts.late},       {"busy_ms", counts.busy_ms}};
}

boost::leaf::result<service_counts> parse_counts(const boost::json::object& object,
                                                 std::string where)
{
    json_reader reader(object, std::move(where));
    BOOST_LEAF_AUTO(total, reader.integer("total", 0, max_int64));
    BOOST_LEAF_AUTO(bad, reader.integer("bad", 0, max_int64));
    BOOST_LEAF_AUTO(not_run, reader.integer("not_run", 0, max_int64));
    BOOST_LEAF_AUTO(may_have_run, reader.integer("may_have_run", 0, max_int64));
    BOOST_LEAF_AUTO(late, reader.integer("late", 0, max_int64));
    BOOST_LEAF_AUTO(busy_ms, reader.integer("busy_ms", 0, max_int64));
    BOOST_LEAF_CHECK(reader.finish());
    service_counts counts;
    counts.total = static_cast<std::uint64_t>(total);
    counts.bad = static_cast<std::uint64_t>(bad);
    counts.not_run = static_cast<std::uint64_t>(not_run);
    counts.may_have_run = static_cast<std::uint64_t>(may_have_run);
    counts.late = static_cast<std::uint64_t>(late);
    counts.busy_ms = static_cast<std::uint64_t>(busy_ms);
    return counts;
}

} // namespace

std::string period_prefix(std::string_view kind, std::int64_t period)
{
    std::string prefix(kind);
    prefix += '/';
    prefix += padded(period);
    prefix += '/';
    return prefix;
}

std::string row_key(const counter_row& row)
{
    return period_prefix(row.kind, row.period) + row.incarnation;
}

std::string row_value(const counter_row& row)
{
    boost::json::object services;
    for (const counts_by_service::value_type& entry : row.counts)
    {
        services[entry.first] = to_json(entry.second);
    }
    return boost::json::serialize(boost::json::object{{"services", std::move(services)}});
}

boost::leaf::result<counter_row> parse_counter_row(std::string_view key, std::string_view value)
{
    const std::string where = "row " + std::string(key);
    const std::size_t first = key.find('/');
    const std::size_t second = first == std::string_view::npos ? first : key.find('/', first + 1);
    if (second == std::string_view::npos)
    {
        return boost::leaf::new_error(
            input_error{where, std::string(key), "a key KIND/PERIOD/INCARNATION"});
    }
    counter_row row;
    row.kind = std::string(key.substr(0, first));
    row.incarnation = std::string(key.substr(second + 1));
    const std::string_view digits = key.substr(first + 1, second - first - 1);
    const std::from_chars_result parsed =
        std::from_chars(digits.data(), digits.data() + digits.size(), row.period);
    if (parsed.ec != std::errc{} || parsed.ptr != digits.data() + digits.size())
    {
        return boost::leaf::new_error(input_error{where, std::string(digits), "a period number"});
    }
    BOOST_LEAF_AUTO(object, parse_json_object(value, where));
    json_reader reader(object, where);
    BOOST_LEAF_AUTO(services, reader.object("services"));
    BOOST_LEAF_CHECK(reader.finish());
    for (const boost::json::key_value_pair& entry : *services)
    {
        const std::string name(entry.key());
        const std::string path = reader.path(name);
        if (!entry.value().is_object())
        {
            return boost::leaf::new_error(
                input_error{path, boost::json::serialize(entry.value()), "an object"});
        }
        BOOST_LEAF_AUTO(counts, parse_counts(entry.value().get_object(), path));
        row.counts[name] = counts;
    }
    return row;
}

row_buffer::row_buffer(std::string incarnation, row_buffer_settings settings)
    : incarnation_(std::move(incarnation)), settings_(settings)
{
}

void row_buffer::add(wall_time now, const counts_by_service& counts)
{
    const bool empty = std::all_of(counts.begin(), counts.end(),
                                   [](const counts_by_service::value_type& item)
                                   { return item.second == service_counts{}; });
    if (empty)
    {
        return;
    }
    add_to(std::string(minute_kind), minute_of(now), counts);
    add_to(std::string(hour_kind), hour_of(now), counts);
    drop_oldest(std::string(minute_kind), settings_.max_minutes);
    drop_oldest(std::string(hour_kind), settings_.max_hours);
}

void row_buffer::add_to(const std::string& kind, std::int64_t period,
                        const counts_by_service& counts)
{
    counter_row new_row{kind, period, incarnation_, {}};
    const std::string key = row_key(new_row);
    entry& target = rows_.try_emplace(key, entry{std::move(new_row), false}).first->second;
    for (const counts_by_service::value_type& count : counts)
    {
        target.row.counts[count.first] += count.second;
    }
    target.changed = true;
}

void row_buffer::drop_oldest(const std::string& kind, std::size_t max_rows)
{
    std::size_t count = 0;
    for (const std::pair<const std::string, entry>& item : rows_)
    {
        count += item.second.row.kind == kind ? 1 : 0;
    }
    std::map<std::string, entry>::iterator oldest = rows_.lower_bound(kind + "/");
    for (; count > max_rows; --count)
    {
        oldest = rows_.erase(oldest);
    }
}

std::vector<platform::row_write> row_buffer::pending(std::size_t limit) const
{
    std::vector<platform::row_write> writes;
    for (const std::pair<const std::string, entry>& item : rows_)
    {
        if (item.second.changed && writes.size() < limit)
        {
            writes.push_back({item.first, row_value(item.second.row)});
        }
    }
    return writes;
}

void row_buffer::written(const std::vector<platform::row_write>& rows, wall_time now)
{
    for (const platform::row_write& write : rows)
    {
        const std::map<std::string, entry>::iterator found = rows_.find(write.key);
        if (found == rows_.end() || row_value(found->second.row) != write.value)
        {
            continue;
        }
        found->second.changed = false;
        const bool is_minute = found->second.row.kind == minute_kind;
        if (found->second.row.period < (is_minute ? minute_of(now) : hour_of(now)))
        {
            rows_.erase(found);
        }
    }
}

} // namespace lacewingquay::report
