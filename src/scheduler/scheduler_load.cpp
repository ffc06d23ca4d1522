#include "scheduler/scheduler.hpp"
#include "scheduler/work_estimate.hpp"

#include <algorithm>

namespace lacewingquay::scheduler
{

namespace
{

/// Outstanding work in core seconds.
struct work_amount
{
    double on_time = 0.0;
    /// Work that can be on time or late but of use.
    double useful = 0.0;
};

/// Outstanding work and capacity of one pool.
struct pool_work
{
    std::map<int, work_amount> by_priority;
    /// Cores that are not reserved by long-running tasks.
    double cores = 0.0;
};

[[nodiscard]] double to_cores(std::int64_t cpu)
{
    return static_cast<double>(cpu) / 1'000.0;
}

} // namespace

std::map<std::string, pool_load> scheduler::pool_loads() const
{
    std::map<std::string, pool_load> result;
    for (const auto& entry : servers_)
    {
        const server_state& server = *entry.second;
        if (server.registered && !server.info.draining)
        {
            pool_load& load = result[server.info.pool];
            // A closed server runs what it has, and no more.
            load.capacity += server.closed ? server.used : server.info.capacity;
            load.running += server.used;
        }
    }
    for (const auto& entry : jobs_)
    {
        const job_state& job = *entry.second;
        if (job::is_final(job.reported_state))
        {
            continue;
        }
        for (const occurrence_state& occurrence : job.occurrences)
        {
            for (std::size_t index = 0; index < occurrence.steps.size(); ++index)
            {
                const step_state& step = occurrence.steps[index];
                if (step.open && step.waiting > 0)
                {
                    const job::resources& request = job.record.work.steps[index].request;
                    job::resources& waiting = result[job.queue.pool].waiting;
                    waiting.cpu += step.waiting * request.cpu;
                    waiting.memory += step.waiting * request.memory;
                    waiting.accelerators += step.waiting * request.accelerators;
                }
            }
        }
    }
    for (const auto& entry : unplaceable_)
    {
        result[entry.first].unplaceable = entry.second;
    }
    return result;
}

queue_load load_report::of(const job::queue& queue) const
{
    queue_load result;
    const auto count = waiting.find(queue.name);
    result.waiting = count == waiting.end() ? 0 : count->second;
    const auto pool = pools.find(queue.pool);
    if (pool != pools.end())
    {
        for (const std::pair<const int, backlog>& entry : pool->second)
        {
            if (entry.first <= queue.priority)
            {
                result.drain = entry.second.drain;
                result.cpu = entry.second.cpu;
                result.useful_drain = entry.second.useful_drain;
            }
        }
    }
    return result;
}

load_report scheduler::load(steady_time now) const
{
    load_report result;
    std::map<std::string, pool_work> pools;
    for (const auto& entry : servers_)
    {
        const server_state& server = *entry.second;
        if (!server.registered || server.info.draining || server.unanswered > 0)
        {
            continue;
        }
        std::int64_t long_running_cpu = 0;
        for (const task_ref& ref : server.tasks)
        {
            const job::step& step = ref.definition();
            long_running_cpu += step.long_running && !step.best_effort ? step.request.cpu : 0;
        }
        // The capacity may have shrunk below what runs.
        pools[server.info.pool].cores +=
            to_cores(std::max<std::int64_t>(0, server.info.capacity.cpu - long_running_cpu));
    }
    for (const auto& entry : jobs_)
    {
        const job_state& job = *entry.second;
        if (!job.begun && !job::is_final(job.reported_state))
        {
            ++result.waiting[job.record.queue.name];
        }
        if (job::is_final(job.reported_state) || job.is_long_running)
        {
            continue;
        }
        for (const occurrence_state& occurrence : job.occurrences)
        {
            const milliseconds slack = std::chrono::duration_cast<milliseconds>(
                occurrence.due + job.allowed - now - remaining_chain(job, occurrence));
            if (slack + job.allowed * settings_.useful_lateness_factor < settings_.scheduling_delay)
            {
                continue;
            }
            const double work = remaining_work(job, occurrence);
            work_amount& amount = pools[job.queue.pool].by_priority[job.queue.priority];
            amount.useful += work;
            amount.on_time += slack >= settings_.scheduling_delay ? work : 0.0;
        }
    }
    for (const auto& entry : pools)
    {
        const double cores = entry.second.cores + to_cores(spare_cpu_);
        const auto time_for = [cores](double work)
        {
            return milliseconds(static_cast<std::int64_t>(work / cores * 1'000.0));
        };
        work_amount work;
        for (const std::pair<const int, work_amount>& amount : entry.second.by_priority)
        {
            work.on_time += amount.second.on_time;
            work.useful += amount.second.useful;
            if (work.useful > 0.0 && cores > 0.0)
            {
                result.pools[entry.first][amount.first] = {
                    time_for(work.on_time), static_cast<std::int64_t>(cores * 1'000.0),
                    time_for(work.useful)};
            }
        }
    }
    return result;
}

} // namespace lacewingquay::scheduler
