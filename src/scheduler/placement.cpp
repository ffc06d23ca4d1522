#include "scheduler/crash_blame.hpp"
#include "scheduler/scheduler.hpp"
#include "scheduler/work_estimate.hpp"

#include <algorithm>
#include <limits>
#include <optional>
#include <tuple>
#include <utility>

/// Order of waiting jobs and choice of servers. When a queue asks for several times the capacity of
/// its pool, jobs that can still finish on time go first, by least slack.
namespace lacewingquay::scheduler
{

namespace
{

/// A job that has waiting tasks in one occurrence.
struct candidate
{
    job_state* job = nullptr;
    std::size_t occurrence = 0;
    bool is_long_running = false;
    /// 0 if the job can be on time, 1 if it will be late, 2 if it is too late to be of use.
    int lateness = 0;
    /// Slack plus a penalty for the remaining work. Lower goes first among jobs of equal lateness.
    milliseconds rank{0};

    /// Long-running tasks first, as they serve callers continuously; then by configured priority,
    /// lateness and rank.
    [[nodiscard]] bool before(const candidate& other) const
    {
        if (is_long_running != other.is_long_running)
        {
            return is_long_running;
        }
        if (job->queue.priority != other.job->queue.priority)
        {
            return job->queue.priority < other.job->queue.priority;
        }
        if (lateness != other.lateness)
        {
            return lateness < other.lateness;
        }
        if (rank != other.rank)
        {
            return rank < other.rank;
        }
        return job->record.id < other.job->record.id;
    }
};

/// Most servers in one advice request; the advice service takes time for each.
constexpr std::size_t max_advised_servers = 20;

bool has_label(const server_state& server, std::string_view label)
{
    return label.empty() || std::find(server.info.labels.begin(), server.info.labels.end(),
                                      label) != server.info.labels.end();
}

} // namespace

/// One pass over the waiting tasks of all pools.
class placement
{
public:
    placement(scheduler& owner, steady_time now, std::size_t max_starts)
        : owner_(owner), now_(now), max_starts_(max_starts)
    {
        for (const auto& entry : owner_.servers_)
        {
            server_state& server = *entry.second;
            if (owner_.accepts_runs(server, now_))
            {
                pools_[server.info.pool].push_back(&server);
            }
        }
    }

    void run()
    {
        if (is_exhausted())
        {
            owner_.plan_needed_ = true;
            return;
        }
        owner_.unplaceable_.clear();
        std::vector<candidate> waiting = collect();
        std::sort(waiting.begin(), waiting.end(),
                  [](const candidate& left, const candidate& right) { return left.before(right); });
        hold_servers(waiting);
        for (const candidate& entry : waiting)
        {
            if (is_exhausted())
            {
                break;
            }
            place_job(entry);
        }
        // The rest is planned once earlier orders have been answered.
        owner_.plan_needed_ = owner_.plan_needed_ || (is_exhausted() && !waiting.empty());
    }

private:
    /// True if no further start order may be sent now.
    [[nodiscard]] bool is_exhausted() const { return owner_.assigned_.size() >= max_starts_; }

    /// Waiting tasks of one pool that need a server without tasks of other jobs.
    struct isolated_tasks
    {
        std::vector<task_ref> tasks;
        /// Tasks of the largest such gang.
        std::size_t largest_gang = 0;
    };

    [[nodiscard]] bool is_isolated(const task_ref& ref) const
    {
        return needs_isolation(scheduler::counted_task(ref).task().crashes, owner_.settings_);
    }

    /// A task that has waited for long for a server of its own shares one.
    [[nodiscard]] bool needs_own_server(const task_ref& ref) const
    {
        const task_state& counted = scheduler::counted_task(ref).task();
        return is_isolated(ref) && now_ - counted.isolated_since < owner_.settings_.isolation_wait;
    }

    [[nodiscard]] bool excludes_others(const task_ref& ref) const
    {
        const task_state& task = ref.task();
        const milliseconds age =
            task.phase == task_phase::assigned
                ? milliseconds(0)
                : std::chrono::duration_cast<milliseconds>(now_ - task.started);
        return needs_exclusive_server(scheduler::counted_task(ref).task().crashes, age,
                                      owner_.settings_);
    }

    /// A task that has to run alone shares its server only with tasks of its own job, which ends
    /// with it if it is given up.
    [[nodiscard]] bool may_share(const server_state& server, const task_ref& ref) const
    {
        const bool isolated = is_isolated(ref);
        // Long-running tasks serve callers, so they do not wait for tasks that run alone.
        if (server.held && !isolated && !ref.definition().long_running)
        {
            return false;
        }
        const bool alone = needs_own_server(ref);
        return std::all_of(server.tasks.begin(), server.tasks.end(),
                           [&](const task_ref& other)
                           {
                               return other.job == ref.job || (!alone && !excludes_others(other) &&
                                                               !(isolated && is_isolated(other)));
                           });
    }

    /// True if the server, once it is empty, can run the task.
    [[nodiscard]] bool can_run_alone(const server_state& server, const task_ref& ref) const
    {
        return server.long_running_tasks == 0 &&
               ref.definition().request.fits_into(server.info.capacity) &&
               has_label(server, ref.definition().required_label) && is_permitted(server, ref);
    }

    [[nodiscard]] isolated_tasks count_isolated(const candidate& entry) const
    {
        isolated_tasks result;
        const occurrence_state& occurrence = entry.job->occurrences[entry.occurrence];
        for (std::size_t step = 0; step < occurrence.steps.size(); ++step)
        {
            const step_state& state = occurrence.steps[step];
            std::size_t count = 0;
            for (std::size_t index = 0; state.open && index < state.tasks.size(); ++index)
            {
                const task_ref ref{entry.job, entry.occurrence, step, index};
                if (state.tasks[index].phase == task_phase::waiting && needs_own_server(ref))
                {
                    result.tasks.push_back(ref);
                    ++count;
                }
            }
            if (entry.job->record.work.steps[step].gang)
            {
                result.largest_gang = std::max(result.largest_gang, count);
            }
        }
        return result;
    }

    /// Keeps some servers free of new tasks until they are empty, so that tasks that have to run
    /// alone do not wait forever in a busy pool.
    void hold_servers(const std::vector<candidate>& waiting)
    {
        std::map<std::string, isolated_tasks> isolated;
        for (const candidate& entry : waiting)
        {
            const isolated_tasks found = count_isolated(entry);
            isolated_tasks& sum = isolated[entry.job->queue.pool];
            sum.tasks.insert(sum.tasks.end(), found.tasks.begin(), found.tasks.end());
            sum.largest_gang = std::max(sum.largest_gang, found.largest_gang);
        }
        for (auto& entry : pools_)
        {
            std::vector<server_state*> servers = entry.second;
            const isolated_tasks needed = isolated[entry.first];
            const std::size_t most =
                std::max(needed.largest_gang, std::max<std::size_t>(1, servers.size() / 4));
            std::size_t count = std::min({needed.tasks.size(), most, servers.size()});
            // Servers that are held already stay so; then those that are empty soonest.
            std::stable_sort(servers.begin(), servers.end(),
                             [](const server_state* left, const server_state* right)
                             { return hold_order(*left) < hold_order(*right); });
            for (server_state* server : servers)
            {
                server->held = count > 0 && std::any_of(needed.tasks.begin(), needed.tasks.end(),
                                                        [&](const task_ref& ref)
                                                        { return can_run_alone(*server, ref); });
                count -= server->held ? 1 : 0;
            }
        }
    }

    [[nodiscard]] static std::tuple<bool, int, std::size_t> hold_order(const server_state& server)
    {
        return {!server.held, server.long_running_tasks, server.tasks.size()};
    }

    std::vector<candidate> collect()
    {
        std::vector<candidate> waiting;
        for (const auto& entry : owner_.jobs_)
        {
            job_state& job = *entry.second;
            if (job::is_final(job.reported_state) || owner_.is_held_back(job) ||
                !pools_.contains(job.queue.pool))
            {
                continue;
            }
            for (std::size_t index = 0; index < job.occurrences.size(); ++index)
            {
                const occurrence_state& occurrence = job.occurrences[index];
                const bool ready = std::any_of(occurrence.steps.begin(), occurrence.steps.end(),
                                               [](const step_state& step)
                                               { return step.open && step.waiting > 0; });
                if (!ready)
                {
                    continue;
                }
                candidate found{&job, index, job.is_long_running, 0, {}};
                const milliseconds slack = std::chrono::duration_cast<milliseconds>(
                    occurrence.due + job.allowed - now_ - remaining_chain(job, occurrence));
                const settings& values = owner_.settings_;
                found.lateness =
                    slack >= values.scheduling_delay ? 0
                    : slack + job.allowed * values.useful_lateness_factor >= values.scheduling_delay
                        ? 1
                        : 2;
                // The penalty of jobs with more work than that is the same.
                constexpr double max_penalty_ms = 1e11;
                const double penalty_ms = remaining_work(job, occurrence) *
                                          static_cast<double>(values.work_penalty.count());
                found.rank =
                    slack +
                    milliseconds(static_cast<std::int64_t>(std::min(penalty_ms, max_penalty_ms)));
                waiting.push_back(found);
            }
        }
        return waiting;
    }

    void place_job(const candidate& entry)
    {
        occurrence_state& occurrence = entry.job->occurrences[entry.occurrence];
        for (std::size_t step = 0; step < occurrence.steps.size(); ++step)
        {
            step_state& state = occurrence.steps[step];
            if (!state.open || state.waiting == 0)
            {
                continue;
            }
            if (entry.job->record.work.steps[step].gang)
            {
                place_gang(entry, step);
                continue;
            }
            for (std::size_t index = 0; index < state.tasks.size() && !is_exhausted(); ++index)
            {
                task_state& task = state.tasks[index];
                if (task.phase != task_phase::waiting)
                {
                    continue;
                }
                const task_ref ref{entry.job, entry.occurrence, step, index};
                if (owner_.awaits_proof(ref, now_))
                {
                    continue;
                }
                server_state* server = choose_server(ref, {});
                if (server == nullptr)
                {
                    if (ref.job->queue.has_advice)
                    {
                        ask_advice(ref);
                    }
                    else
                    {
                        count_unplaceable(ref);
                    }
                    if (is_isolated(ref))
                    {
                        continue;
                    }
                    break;
                }
                assign(ref, *server);
            }
        }
    }

    /// Starts all tasks of the gang or none.
    void place_gang(const candidate& entry, std::size_t step)
    {
        step_state& state = entry.job->occurrences[entry.occurrence].steps[step];
        if (state.waiting != static_cast<int>(state.tasks.size()))
        {
            return;
        }
        std::vector<task_ref> placed;
        std::string rack;
        for (std::size_t index = 0; index < state.tasks.size(); ++index)
        {
            const task_ref ref{entry.job, entry.occurrence, step, index};
            server_state* server = choose_server(ref, rack);
            if (server == nullptr)
            {
                for (const task_ref& rolled_back : placed)
                {
                    --rolled_back.task().run;
                    owner_.requeue(rolled_back);
                }
                return;
            }
            rack = server->info.rack;
            assign(ref, *server);
            placed.push_back(ref);
        }
    }

    void assign(const task_ref& ref, server_state& server)
    {
        task_state& task = ref.task();
        --ref.parent_step().waiting;
        ++task.run;
        task.phase = task_phase::assigned;
        task.stop_wanted = false;
        server.held = false;
        owner_.attach(ref, server);
        owner_.assigned_.push_back(ref);
        owner_.mark_dirty(ref);
    }

    [[nodiscard]] static int runs_of_step(const server_state& server, const task_ref& ref)
    {
        return static_cast<int>(std::count_if(server.tasks.begin(), server.tasks.end(),
                                              [&](const task_ref& other) {
                                                  return other.job == ref.job &&
                                                         other.step == ref.step &&
                                                         other.occurrence == ref.occurrence;
                                              }));
    }

    /// Best-effort tasks slow down tasks with a latency target, so the two never share a server.
    [[nodiscard]] static bool is_compatible(const server_state& server, const job::step& step)
    {
        if (step.best_effort)
        {
            return std::none_of(server.tasks.begin(), server.tasks.end(),
                                [](const task_ref& other)
                                { return other.definition().latency_target.count() > 0; });
        }
        return step.latency_target.count() == 0 || server.best_effort == 0;
    }

    /// Requests advice on servers with enough free capacity for which the step has no answer yet
    /// or an expired ticket.
    void ask_advice(const task_ref& ref)
    {
        step_state& step = ref.parent_step();
        if (step.asking_advice)
        {
            return;
        }
        advice_request request{{ref.job->record.id, ref.position()}, {}};
        for (const server_state* server : pools_[ref.job->queue.pool])
        {
            const auto known = step.tickets.find(server->info.id);
            const bool renewable = known != step.tickets.end() && !is_valid(known->second, *server);
            if (request.servers.size() < max_advised_servers &&
                (renewable || !step.advised.contains(server->info.id)) &&
                ref.definition().request.fits_into(server->info.capacity - server->used))
            {
                request.servers.push_back(server->info.id);
            }
        }
        if (!request.servers.empty())
        {
            step.asking_advice = true;
            owner_.advice_requests_.push_back(std::move(request));
        }
    }

    [[nodiscard]] bool is_valid(const ticket& given, const server_state& server) const
    {
        return given.server_born == server.info.born && given.valid_until > now_;
    }

    [[nodiscard]] bool is_permitted(const server_state& server, const task_ref& ref) const
    {
        if (!ref.job->queue.has_advice)
        {
            return true;
        }
        const auto found = ref.parent_step().tickets.find(server.info.id);
        return found != ref.parent_step().tickets.end() && is_valid(found->second, server);
    }

    /// Counts the task if some server of its pool has free capacity for it, so that only labels,
    /// limits per server or incompatible tasks prevent its start. Long-running tasks always count:
    /// no end of another run will make room for them soon.
    void count_unplaceable(const task_ref& ref)
    {
        const std::vector<server_state*>& pool = pools_[ref.job->queue.pool];
        const job::resources& request = ref.definition().request;
        const bool has_room =
            ref.definition().long_running ||
            std::any_of(pool.begin(), pool.end(),
                        [&](const server_state* server)
                        { return request.fits_into(server->info.capacity - server->used); });
        owner_.unplaceable_[ref.job->queue.pool] += has_room ? 1 : 0;
    }

    /// Returns the best server for a task, or null. Prefers servers with little free capacity, so
    /// that others stay free for large tasks or become idle.
    server_state* choose_server(const task_ref& ref, std::string_view rack)
    {
        const job::step& step = ref.definition();
        job::resources request = step.request;
        if (step.best_effort)
        {
            request.cpu = 0;
        }
        server_state* best = nullptr;
        double best_score = std::numeric_limits<double>::max();
        for (server_state* server : pools_[ref.job->queue.pool])
        {
            if (!request.fits_into(server->info.capacity - server->used) ||
                !has_label(*server, step.required_label) || !is_compatible(*server, step) ||
                !is_permitted(*server, ref) || !may_share(*server, ref) ||
                (step.max_per_server > 0 && runs_of_step(*server, ref) >= step.max_per_server))
            {
                continue;
            }
            const double score = compute_score(*server, step, rack);
            if (score < best_score)
            {
                best = server;
                best_score = score;
            }
        }
        return best;
    }

    /// Placement score of a server; lower is better.
    [[nodiscard]] double compute_score(const server_state& server, const job::step& step,
                                       std::string_view rack) const
    {
        constexpr double other_rack_penalty = 10.0;
        constexpr double avoided_penalty = 1000.0;
        // Outweighs the preference for servers with other long-running tasks.
        constexpr double maintenance_due_penalty = 5.0;
        const double capacity =
            std::max<double>(1.0, static_cast<double>(server.info.capacity.cpu));
        double score = static_cast<double>(server.info.capacity.cpu - server.used.cpu) / capacity;
        if (step.best_effort)
        {
            score = -score;
        }
        if (step.long_running)
        {
            score -= std::min(server.long_running_tasks, 8) * 0.5;
            score += server.maintenance_due ? maintenance_due_penalty : 0.0;
        }
        if (!step.data_rack.empty() && step.data_rack != server.info.rack)
        {
            score += other_rack_penalty;
        }
        if (step.same_rack && !rack.empty() && rack != server.info.rack)
        {
            score += other_rack_penalty;
        }
        if (server.avoid_until > now_)
        {
            score += avoided_penalty;
        }
        return score;
    }

    scheduler& owner_;
    steady_time now_;
    std::size_t max_starts_;
    std::map<std::string, std::vector<server_state*>> pools_;
};

void scheduler::plan(steady_time now, std::size_t max_starts)
{
    placement(*this, now, max_starts).run();
}

} // namespace lacewingquay::scheduler
