#include "planner/demand_history.hpp"

#include "core/json.hpp"

#include <algorithm>
#include <cmath>
#include <limits>

namespace lacewingquay::planner
{

namespace leaf = boost::leaf;

namespace
{

constexpr std::int64_t half_hour_minutes = 30;
constexpr std::int64_t half_hours_kept = 100;
constexpr std::int64_t level_buckets_per_half_hour =
    half_hour_minutes / demand_history::bucket_minutes;
constexpr double slots_per_millislot = 0.001;

std::int64_t median(std::vector<std::int64_t> values)
{
    std::sort(values.begin(), values.end());
    const std::size_t middle = values.size() / 2;
    return values.size() % 2 == 1 ? values[middle] : (values[middle - 1] + values[middle]) / 2;
}

boost::json::array pairs_json(const std::map<std::int64_t, std::int64_t>& pairs)
{
    boost::json::array result;
    for (const auto& [index, millislots] : pairs)
    {
        result.push_back(boost::json::array{index, millislots});
    }
    return result;
}

leaf::result<std::map<std::int64_t, std::int64_t>> read_pairs(json_reader& reader,
                                                              std::string_view field)
{
    BOOST_LEAF_AUTO(entries, reader.array(field));
    std::map<std::int64_t, std::int64_t> result;
    for (const boost::json::value& entry : *entries)
    {
        const boost::json::array* pair = entry.if_array();
        if (pair == nullptr || pair->size() != 2 || !pair->at(0).is_int64() ||
            !pair->at(1).is_int64())
        {
            return leaf::new_error(input_error{reader.path(field), boost::json::serialize(entry),
                                               "pairs of integers"});
        }
        result[pair->at(0).get_int64()] = pair->at(1).get_int64();
    }
    return result;
}

} // namespace

bool demand_history::add(std::int64_t minute, std::int64_t millislots)
{
    if (minute <= last_minute_)
    {
        return false;
    }
    if (last_minute_ >= 0 && minute - last_minute_ > bucket_minutes)
    {
        // A gap, for example between two lease holders: the older minutes no longer describe the
        // current load.
        buckets_.clear();
        bucket_sum_ = 0;
        bucket_count_ = 0;
    }
    if (bucket_count_ > 0 && minute / bucket_minutes != last_minute_ / bucket_minutes)
    {
        close_bucket(last_minute_);
    }
    last_minute_ = minute;
    bucket_sum_ += millislots;
    ++bucket_count_;
    if ((minute + 1) % bucket_minutes != 0)
    {
        return false;
    }
    close_bucket(minute);
    return true;
}

void demand_history::close_bucket(std::int64_t minute)
{
    buckets_.push_back(bucket_sum_ / bucket_count_);
    bucket_sum_ = 0;
    bucket_count_ = 0;
    if (buckets_.size() > level_buckets)
    {
        buckets_.pop_front();
    }
    const bool ends_half_hour =
        minute / bucket_minutes % level_buckets_per_half_hour == level_buckets_per_half_hour - 1;
    if (ends_half_hour && buckets_.size() == level_buckets)
    {
        const std::int64_t index = minute / half_hour_minutes;
        half_hours_[index] = median({buckets_.begin(), buckets_.end()});
        update_profile(index);
        half_hours_.erase(half_hours_.begin(),
                          half_hours_.lower_bound(index - half_hours_kept + 1));
    }
}

void demand_history::update_profile(std::int64_t index)
{
    constexpr double newest_weight = 0.5;
    const double measured = static_cast<double>(half_hours_[index]);
    const auto earlier = profile_.find(index - half_hours_per_day);
    const double expected = earlier == profile_.end()
                                ? measured
                                : static_cast<double>(earlier->second) * recent_ratio();
    profile_[index] = std::llround(newest_weight * measured + (1.0 - newest_weight) * expected);
}

std::optional<double> demand_history::level() const
{
    if (buckets_.size() < level_buckets)
    {
        return std::nullopt;
    }
    return slots_per_millislot * static_cast<double>(median({buckets_.begin(), buckets_.end()}));
}

std::optional<double> demand_history::half_hour(std::int64_t index) const
{
    const auto found = half_hours_.find(index);
    if (found == half_hours_.end())
    {
        return std::nullopt;
    }
    return slots_per_millislot * static_cast<double>(found->second);
}

std::optional<double> demand_history::smoothed(std::int64_t index) const
{
    constexpr std::int64_t reach = 2;
    double sum = 0.0;
    std::int64_t known = 0;
    for (std::int64_t near = index - reach; near <= index + reach; ++near)
    {
        const auto found = profile_.find(near);
        sum += found == profile_.end() ? 0.0
                                       : slots_per_millislot * static_cast<double>(found->second);
        known += found == profile_.end() ? 0 : 1;
    }
    if (known == 0)
    {
        return std::nullopt;
    }
    return sum / static_cast<double>(known);
}

double demand_history::day_ratio(std::int64_t compared) const
{
    const std::int64_t now = (last_minute_ + 1) / half_hour_minutes;
    double today = 0.0;
    double yesterday = 0.0;
    for (std::int64_t back = 1; back <= compared; ++back)
    {
        const std::optional<double> recent = half_hour(now - back);
        const std::optional<double> earlier = smoothed(now - back - half_hours_per_day);
        if (recent && earlier)
        {
            today += *recent;
            yesterday += *earlier;
        }
    }
    return yesterday > 0.0 ? today / yesterday : 1.0;
}

double demand_history::recent_ratio() const
{
    constexpr std::int64_t three_hours = 6;
    /// The ratio over three hours is noisy. It is used alone only if it differs from the ratio over
    /// a day by more than this share of the latter.
    constexpr double sustained_change = 0.12;
    const double long_ratio = day_ratio(half_hours_per_day);
    const double short_ratio = day_ratio(three_hours);
    const bool has_changed = std::abs(short_ratio - long_ratio) > sustained_change * long_ratio;
    return has_changed ? short_ratio : (short_ratio + long_ratio) / 2.0;
}

demand_forecast demand_history::forecast(std::size_t steps) const
{
    /// Assumed ratio of the daily peak to the highest load so far, until a full day is known.
    constexpr double unknown_day_allowance = 1.5;
    const double present = level().value_or(0.0);
    std::int64_t max_recorded = 0;
    for (const auto& [index, millislots] : half_hours_)
    {
        max_recorded = std::max(max_recorded, millislots);
    }
    const double unknown_peak =
        unknown_day_allowance *
        std::max(present, slots_per_millislot * static_cast<double>(max_recorded));
    const double expected_ratio = recent_ratio();
    const double conservative_ratio = std::max(expected_ratio, day_ratio(half_hours_per_day));
    const std::int64_t now = (last_minute_ + 1) / half_hour_minutes;
    demand_forecast result;
    for (std::size_t step = 0; step < steps; ++step)
    {
        const std::int64_t ahead = static_cast<std::int64_t>(step) % half_hours_per_day;
        const std::optional<double> earlier = smoothed(now + ahead - half_hours_per_day);
        const bool known = half_hours_.size() >= static_cast<std::size_t>(half_hours_per_day);
        result.expected.push_back(earlier && known ? *earlier * expected_ratio : present);
        result.conservative.push_back(earlier && known ? *earlier * conservative_ratio
                                                       : unknown_peak);
    }
    return result;
}

boost::json::object demand_history::to_json() const
{
    boost::json::array buckets(buckets_.begin(), buckets_.end());
    return {{"last_minute", last_minute_},           {"bucket_sum", bucket_sum_},
            {"bucket_count", bucket_count_},         {"buckets", std::move(buckets)},
            {"half_hours", pairs_json(half_hours_)}, {"profile", pairs_json(profile_)}};
}

leaf::result<demand_history> demand_history::from_json(const boost::json::object& object,
                                                       const std::string& where)
{
    constexpr std::int64_t max_int64 = std::numeric_limits<std::int64_t>::max();
    demand_history history;
    json_reader reader(object, where);
    BOOST_LEAF_ASSIGN(history.last_minute_, reader.integer("last_minute", -1, max_int64));
    BOOST_LEAF_ASSIGN(history.bucket_sum_, reader.integer("bucket_sum", 0, max_int64));
    BOOST_LEAF_ASSIGN(history.bucket_count_, reader.integer("bucket_count", 0, bucket_minutes));
    BOOST_LEAF_AUTO(buckets, reader.array("buckets"));
    BOOST_LEAF_ASSIGN(history.half_hours_, read_pairs(reader, "half_hours"));
    BOOST_LEAF_ASSIGN(history.profile_, read_pairs(reader, "profile"));
    if (leaf::result<void> checked = reader.finish(); !checked)
    {
        return checked.error();
    }
    for (const boost::json::value& bucket : *buckets)
    {
        if (!bucket.is_int64() || history.buckets_.size() == level_buckets)
        {
            return leaf::new_error(input_error{where + ".buckets", boost::json::serialize(bucket),
                                               "at most 6 integers"});
        }
        history.buckets_.push_back(bucket.get_int64());
    }
    return history;
}

} // namespace lacewingquay::planner
