#include "scheduler/work_estimate.hpp"

#include <algorithm>
#include <vector>

namespace lacewingquay::scheduler
{

using std::chrono::milliseconds;

milliseconds longest_chain(const job::definition& work)
{
    std::vector<milliseconds> finish(work.steps.size());
    milliseconds longest{0};
    for (std::size_t index = 0; index < work.steps.size(); ++index)
    {
        milliseconds before{0};
        for (const std::size_t earlier : work.steps[index].after)
        {
            before = std::max(before, finish[earlier]);
        }
        finish[index] = before + work.steps[index].estimate;
        longest = std::max(longest, finish[index]);
    }
    return longest;
}

double core_seconds(const job::definition& work)
{
    double total = 0.0;
    for (const job::step& step : work.steps)
    {
        total += static_cast<double>(step.count * step.request.cpu) / 1e3 *
                 std::chrono::duration<double>(step.estimate).count();
    }
    return total;
}

milliseconds remaining_chain(const job_state& job, const occurrence_state& occurrence)
{
    std::vector<milliseconds> finish(occurrence.steps.size());
    milliseconds longest{0};
    for (std::size_t index = 0; index < finish.size(); ++index)
    {
        const job::step& definition = job.record.work.steps[index];
        milliseconds before{0};
        for (const std::size_t earlier : definition.after)
        {
            before = std::max(before, finish[earlier]);
        }
        const bool done = occurrence.steps[index].done == definition.count;
        finish[index] = before + (done ? milliseconds(0) : definition.estimate);
        longest = std::max(longest, finish[index]);
    }
    return longest;
}

double remaining_work(const job_state& job, const occurrence_state& occurrence)
{
    double work = 0.0;
    for (std::size_t index = 0; index < occurrence.steps.size(); ++index)
    {
        const job::step& step = job.record.work.steps[index];
        const std::int64_t left = step.count - occurrence.steps[index].done;
        work += static_cast<double>(left * step.request.cpu) / 1e3 *
                std::chrono::duration<double>(step.estimate).count();
    }
    return work;
}

} // namespace lacewingquay::scheduler
