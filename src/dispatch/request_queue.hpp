#pragma once

#include "dispatch/messages.hpp"

#include <algorithm>
#include <array>
#include <cstdint>
#include <deque>

namespace lacewingquay::dispatch
{

/// A slot request queued at a dispatcher.
struct queued_request
{
    slot_request request;
    steady_time arrived_at;
    /// Arrival at the first dispatcher. A forwarded request keeps its arrival time for ordering.
    steady_time since;
    steady_time deadline_at;
    /// A deferrable request is treated as normal from this time on.
    steady_time due_at;
};

/// Requests ordered by priority, then arrival.
class request_queue
{
public:
    using queue = std::deque<queued_request>;

    void push(queued_request entry)
    {
        queue& target = classes_[static_cast<std::size_t>(entry.request.urgency)];
        const auto position = std::upper_bound(target.begin(), target.end(), entry.since,
                                               [](steady_time since, const queued_request& other)
                                               { return since < other.since; });
        target.insert(position, std::move(entry));
    }

    /// The requests of one priority, ordered by arrival.
    [[nodiscard]] queue& of(config::priority urgency)
    {
        return classes_[static_cast<std::size_t>(urgency)];
    }

    [[nodiscard]] std::size_t size() const
    {
        return classes_[0].size() + classes_[1].size() + classes_[2].size();
    }

    /// Number of requests that start before a new one of this priority.
    [[nodiscard]] std::size_t ahead_of(config::priority urgency) const
    {
        std::size_t count = 0;
        for (std::size_t i = 0; i <= static_cast<std::size_t>(urgency); ++i)
        {
            count += classes_[i].size();
        }
        return count;
    }

    /// Removes a request; returns false if it is not queued.
    bool remove(std::uint64_t request_id, name_id holder)
    {
        for (queue& requests : classes_)
        {
            for (auto entry = requests.begin(); entry != requests.end(); ++entry)
            {
                if (entry->request.request_id == request_id && entry->request.holder == holder)
                {
                    requests.erase(entry);
                    return true;
                }
            }
        }
        return false;
    }

    /// Drops requests past their deadline and promotes due deferrable requests to normal priority.
    void on_tick(steady_time now)
    {
        for (queue& requests : classes_)
        {
            std::erase_if(requests,
                          [now](const queued_request& entry) { return now >= entry.deadline_at; });
        }
        queue& deferrable = of(config::priority::deferrable);
        for (const queued_request& entry : deferrable)
        {
            if (now >= entry.due_at)
            {
                of(config::priority::normal).push_back(entry);
                of(config::priority::normal).back().request.urgency = config::priority::normal;
            }
        }
        std::erase_if(deferrable,
                      [now](const queued_request& entry) { return now >= entry.due_at; });
    }

    void clear()
    {
        for (queue& requests : classes_)
        {
            requests.clear();
        }
    }

    [[nodiscard]] std::array<queue, 3>& classes() { return classes_; }

private:
    std::array<queue, 3> classes_;
};

} // namespace lacewingquay::dispatch
