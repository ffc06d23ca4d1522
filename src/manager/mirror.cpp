#include "manager/mirror.hpp"

#include <utility>

namespace lacewingquay::manager
{

job::state mirror::shown_state(const entry& value)
{
    return value.cancelled && !job::is_final(value.shown) ? job::state::cancelled : value.shown;
}

template <typename Change>
void mirror::change(std::string_view id, Change&& apply)
{
    entry& value = jobs_[std::string(id)];
    const auto counts = [](const entry& job)
    {
        return job.stored && shown_state(job) == job::state::queued;
    };
    const bool before = counts(value);
    apply(value);
    const bool after = counts(value);
    if (before != after)
    {
        std::size_t& count = waiting_[value.queue];
        count = after ? count + 1 : count - 1;
    }
}

void mirror::add_job(std::string_view id, std::string_view queue)
{
    change(id,
           [&](entry& value)
           {
               if (!value.stored)
               {
                   value.stored = true;
                   value.queue = std::string(queue);
               }
           });
}

void mirror::set_state(std::string_view id, job::state shown, std::int64_t version)
{
    change(id,
           [&](entry& value)
           {
               if (version >= value.version && !job::is_final(value.shown))
               {
                   value.version = version;
                   value.shown = shown;
               }
           });
}

void mirror::cancel(std::string_view id)
{
    change(id, [](entry& value) { value.cancelled = true; });
}

void mirror::remove(std::string_view id)
{
    change(id, [](entry& value) { value.stored = false; });
    jobs_.erase(std::string(id));
}

std::optional<job::state> mirror::state_of(std::string_view id) const
{
    const auto found = jobs_.find(std::string(id));
    if (found == jobs_.end() || !found->second.stored)
    {
        return std::nullopt;
    }
    return shown_state(found->second);
}

std::size_t mirror::waiting(std::string_view queue) const
{
    const auto found = waiting_.find(queue);
    return found == waiting_.end() ? 0 : found->second;
}

} // namespace lacewingquay::manager
