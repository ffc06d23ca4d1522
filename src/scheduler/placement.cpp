#include "scheduler/scheduler.hpp"
#include "scheduler/work_estimate.hpp"

#include <algorithm>
#include <limits>
#include <optional>
#include <utility>

/// Order of waiting jobs and choice of servers. Answers the turn of one queue that asks for several
/// times its pool: jobs that can still meet their objective go first, by least slack.
namespace lacewingquay::scheduler
{

namespace
{

/// A job with waiting tasks of one occurrence.
struct candidate
{
    job_state* job = nullptr;
    std::size_t occurrence = 0;
    bool lasting = false;
    /// 0 if the job can be on time, 1 if it will be late, 2 if it is too late to be of use.
    int lateness = 0;
    /// Lower goes first within a class.
    milliseconds rank{0};

    /// Lasting tasks first, as they serve callers all the time; then by the configured priority,
    /// then jobs that can be on time, then by slack and work.
    [[nodiscard]] bool before(const candidate& other) const
    {
        if (lasting != other.lasting)
        {
            return lasting;
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

/// Servers in one question; the advice service takes time for each.
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
    placement(scheduler& owner, steady_time now) : owner_(owner), now_(now)
    {
        for (const auto& entry : owner_.servers_)
        {
            server_state& server = *entry.second;
            if (server.registered && !server.closed && !server.info.draining &&
                server.clock_known && server.unanswered == 0 &&
                std::max(server.answered, server.heard) + owner_.settings_.silence_limit >= now_)
            {
                pools_[server.info.pool].push_back(&server);
            }
        }
    }

    void run()
    {
        owner_.unplaceable_.clear();
        std::vector<candidate> waiting = collect();
        std::sort(waiting.begin(), waiting.end(),
                  [](const candidate& left, const candidate& right) { return left.before(right); });
        for (const candidate& entry : waiting)
        {
            place(entry);
        }
    }

private:
    std::vector<candidate> collect()
    {
        std::vector<candidate> waiting;
        for (const auto& entry : owner_.jobs_)
        {
            job_state& job = *entry.second;
            if (job::is_final(job.shown) || !pools_.contains(job.queue.pool))
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
                found.lateness = slack >= values.reaction ? 0
                                 : slack + job.allowed * values.useful_lateness >= values.reaction
                                     ? 1
                                     : 2;
                found.rank =
                    slack + milliseconds(static_cast<std::int64_t>(remaining_work(job, occurrence) *
                                                                   values.work_penalty.count()));
                waiting.push_back(found);
            }
        }
        return waiting;
    }

    void place(const candidate& entry)
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
            for (std::size_t index = 0; index < state.tasks.size(); ++index)
            {
                task_state& task = state.tasks[index];
                if (task.phase != task_phase::waiting)
                {
                    continue;
                }
                const task_ref ref{entry.job, entry.occurrence, step, index};
                server_state* server = choose(ref, {});
                if (server == nullptr)
                {
                    if (ref.job->queue.has_advice)
                    {
                        ask_advice(ref);
                    }
                    else
                    {
                        note_unplaceable(ref);
                    }
                    break;
                }
                assign(ref, *server);
            }
        }
    }

    /// All members start together or none.
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
            server_state* server = choose(ref, rack);
            if (server == nullptr)
            {
                for (const task_ref& undone : placed)
                {
                    --undone.task().run;
                    owner_.requeue(undone);
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
        --ref.steps().waiting;
        ++task.run;
        task.phase = task_phase::assigned;
        task.stop_wanted = false;
        owner_.attach(ref, server);
        owner_.assigned_.push_back(ref);
        owner_.mark_dirty(*ref.job);
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

    /// Tasks that fill disturb tasks that serve callers; the two are kept on different servers.
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

    /// Asks about servers with room that the step has no answer for yet, or whose ticket is over.
    void ask_advice(const task_ref& ref)
    {
        step_state& step = ref.steps();
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
            owner_.questions_.push_back(std::move(request));
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
        const auto found = ref.steps().tickets.find(server.info.id);
        return found != ref.steps().tickets.end() && is_valid(found->second, server);
    }

    /// Counts the task if its pool has the processors and memory for it.
    void note_unplaceable(const task_ref& ref)
    {
        const std::vector<server_state*>& pool = pools_[ref.job->queue.pool];
        const job::resources& request = ref.definition().request;
        const bool has_room =
            std::any_of(pool.begin(), pool.end(),
                        [&](const server_state* server)
                        { return request.fits_into(server->info.capacity - server->used); });
        owner_.unplaceable_[ref.job->queue.pool] += has_room ? 1 : 0;
    }

    /// The best server for a task, or null. Full servers are filled first, so that others stay
    /// free for wide tasks or become idle.
    server_state* choose(const task_ref& ref, std::string_view rack)
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
                !is_permitted(*server, ref) ||
                (step.max_per_server > 0 && runs_of_step(*server, ref) >= step.max_per_server))
            {
                continue;
            }
            const double score = rate(*server, step, rack);
            if (score < best_score)
            {
                best = server;
                best_score = score;
            }
        }
        return best;
    }

    /// Lower is better.
    [[nodiscard]] double rate(const server_state& server, const job::step& step,
                              std::string_view rack) const
    {
        constexpr double other_rack = 10.0;
        constexpr double avoided = 1000.0;
        const double capacity =
            std::max<double>(1.0, static_cast<double>(server.info.capacity.cpu));
        double score = static_cast<double>(server.info.capacity.cpu - server.used.cpu) / capacity;
        if (step.best_effort)
        {
            score = -score;
        }
        if (step.long_running)
        {
            score -= std::min(server.lasting, 8) * 0.5;
        }
        if (!step.data_rack.empty() && step.data_rack != server.info.rack)
        {
            score += other_rack;
        }
        if (step.same_rack && !rack.empty() && rack != server.info.rack)
        {
            score += other_rack;
        }
        if (server.avoid_until > now_)
        {
            score += avoided;
        }
        return score;
    }

    scheduler& owner_;
    steady_time now_;
    std::map<std::string, std::vector<server_state*>> pools_;
};

void scheduler::plan(steady_time now)
{
    placement(*this, now).run();
}

} // namespace lacewingquay::scheduler
