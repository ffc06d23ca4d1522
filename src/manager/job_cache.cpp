#include "manager/job_cache.hpp"

#include <algorithm>

namespace lacewingquay::manager
{

job_cache::job_cache(std::size_t limit) : limit_(std::max<std::size_t>(1, limit)) {}

job_cache::entry& job_cache::find_or_add(std::string_view id)
{
    const std::string key(id);
    const auto found = jobs_.find(key);
    if (found != jobs_.end())
    {
        return found->second;
    }
    if (order_.size() >= limit_)
    {
        jobs_.erase(order_.front());
        order_.pop_front();
    }
    order_.push_back(key);
    return jobs_[key];
}

void job_cache::update(std::string_view id, job::state reported_state, std::int64_t version)
{
    entry& value = find_or_add(id);
    if (version >= value.version && !job::is_final(value.reported_state))
    {
        value.version = version;
        value.reported_state = reported_state;
    }
}

void job_cache::cancel(std::string_view id)
{
    find_or_add(id).cancelled = true;
}

std::optional<job::state> job_cache::state_of(std::string_view id) const
{
    const auto found = jobs_.find(std::string(id));
    if (found == jobs_.end())
    {
        return std::nullopt;
    }
    const entry& value = found->second;
    return value.cancelled && !job::is_final(value.reported_state) ? job::state::cancelled
                                                                   : value.reported_state;
}

} // namespace lacewingquay::manager
