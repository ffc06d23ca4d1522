#pragma once

#include "core/clock.hpp"
#include "job/model.hpp"
#include "job/progress.hpp"
#include "manager/configuration.hpp"
#include "scheduler/load.hpp"
#include "scheduler/settings.hpp"
#include "scheduler/state.hpp"
#include "worker/model.hpp"

#include <chrono>
#include <cstdint>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <string_view>
#include <unordered_map>
#include <unordered_set>
#include <utility>
#include <vector>

namespace lacewingquay::scheduler
{

using std::chrono::milliseconds;

/// The progress of one job, to be stored.
struct progress_write
{
    std::string job;
    std::string text;
    job::state shown = job::state::queued;
    /// The job has reached its final state with this write, at this age.
    bool ended = false;
    milliseconds age{0};
};

/// Changes that are stored in one transaction before any of them takes effect.
struct batch
{
    std::vector<progress_write> writes;
    /// Orders to be sent once the batch is stored.
    std::vector<worker::start_order> starts;
    /// Servers with the highest end that the stored progress covers.
    std::vector<std::pair<std::string, std::int64_t>> acknowledgements;

    [[nodiscard]] bool empty() const { return writes.empty() && acknowledgements.empty(); }
};

/// A question to the advice service: which of the servers may run a step.
struct advice_request
{
    /// Any task of the step.
    worker::task_name task;
    std::vector<std::string> servers;
};

/// Decides which task runs where. Holds the state of all jobs and backend servers of its domain;
/// the caller stores each batch before the orders in it are sent. Deterministic: the same calls
/// give the same decisions. Not thread-safe.
class scheduler
{
public:
    explicit scheduler(settings values);

    /// Takes the queues of a configuration. Jobs of a removed queue keep their last settings.
    void configure(const manager::configuration& values);

    /// Adds a job with its stored progress, or null. `age` is the time since it was accepted.
    void add_job(job::record record, const job::progress* stored, milliseconds age,
                 steady_time now);

    /// A job whose final state is stored and whose definition is no longer kept.
    void add_ended(std::string_view id, milliseconds ended);

    /// Ends a job on its caller's request; its runs are stopped.
    void cancel_job(std::string_view id, milliseconds store_time);

    /// Takes a registration.
    void update_server(const worker::server& info, steady_time now);

    /// The registration is gone. Its runs count as running until the lease has ended.
    void remove_server(std::string_view id, steady_time now);

    /// The life of the server that was ordered is over: it was moved, or another one answers.
    void server_gone(std::string_view id, std::int64_t born, steady_time now);

    /// A call to this life of the server brought no answer.
    void call_unanswered(std::string_view id, std::int64_t born);

    /// Takes the lists of a server, asked for at `asked`.
    void apply_report(std::string_view id, const worker::report& lists, steady_time asked,
                      steady_time now);

    /// Outcome of an order to start.
    void start_answered(const worker::start_order& order, worker::order_outcome outcome,
                        steady_time now);

    /// Outcome of an order to stop.
    void stop_answered(const worker::stop_order& order, worker::order_outcome outcome,
                       steady_time now);

    /// Gives up runs whose lease has ended, creates occurrences that are due and frees what ended.
    void advance(steady_time now, wall_time wall, milliseconds store_time);

    /// Chooses servers for waiting tasks and returns what has to be stored, at most `max_rows`
    /// jobs.
    batch prepare(steady_time now, std::size_t max_rows);

    /// The batch is stored: its starts are about to be sent, its ends may be forgotten.
    void stored(const batch& work, steady_time now);

    /// The batch is not known to be stored; it is prepared again.
    void not_stored(const batch& work);

    /// Orders to stop that are due.
    std::vector<worker::stop_order> take_stops(steady_time now);

    /// Questions about steps of queues with advice that wait for a permitted server.
    std::vector<advice_request> take_advice_requests();

    /// Servers that may run the step, each with its ticket. An unanswered question is asked again.
    void advice_answered(const advice_request& request, bool answered,
                         const std::vector<std::pair<std::string, std::string>>& tickets,
                         milliseconds validity, steady_time now);

    /// The deadline of a lease that begins now, on the server's clock; zero if none can be given.
    milliseconds grant_lease(server_state& server, steady_time now);

    /// Load of each pool, by its name.
    [[nodiscard]] std::map<std::string, pool_load> pool_loads() const;

    /// Processors, in thousandths of a core, that every pool can still be given: of machines that
    /// are idle, off or on their way.
    void set_spare_cpu(std::int64_t cpu) { spare_cpu_ = cpu; }

    /// Load of all queues.
    [[nodiscard]] load_report load(steady_time now) const;

    /// Asks lasting tasks of `server` to stop, as far as their disruption budgets allow.
    void evacuate(server_state& server);

    /// True if ending every run on `server` now would keep all disruption budgets.
    [[nodiscard]] bool can_interrupt(const server_state& server) const;

    /// True if a lasting task on `server` has not reached full speed yet.
    [[nodiscard]] static bool has_task_starting_up(const server_state& server);

    [[nodiscard]] server_state* find_server(std::string_view id);
    [[nodiscard]] const std::map<std::string, std::unique_ptr<server_state>, std::less<>>&
    servers() const
    {
        return servers_;
    }

    /// Jobs whose final state is stored and older than `retention`; they are forgotten here.
    std::vector<std::string> take_expired(milliseconds store_time, milliseconds retention);

    /// Jobs whose final state has been stored since the last call; their definitions are no longer
    /// needed.
    std::vector<std::string> take_ended();

    [[nodiscard]] std::size_t active_jobs() const { return jobs_.size(); }
    [[nodiscard]] bool knows_job(std::string_view id) const;

private:
    friend class placement;

    void apply_queue(job_state& job);
    void open_steps(job_state& job, std::size_t occurrence);
    void add_occurrence(job_state& job, int number, steady_time due);
    void restore(job_state& job, const job::progress& stored, steady_time now);
    void finish_task(const task_ref& ref);
    void finish_job(job_state& job, job::state shown);
    void detach(const task_ref& ref);
    void attach(const task_ref& ref, server_state& server);
    void requeue(const task_ref& ref);
    void apply_end(server_state& server, const worker::ended_task& ended, steady_time now);
    void end_of_gang(const task_ref& ref, worker::end_kind kind);
    void end_former_lives(const worker::server& info, steady_time now);
    [[nodiscard]] bool has_later_life(const worker::server& info) const;
    /// The server has started again under its id. Its runs are over, but an order that is still on
    /// its way would be carried out by the new life: each run is stopped there, which fences it,
    /// before the task is started elsewhere.
    void fence_runs(server_state& server, steady_time now);
    void lose_runs(server_state& server, std::string_view reason, steady_time now);
    void mark_dirty(job_state& job);
    [[nodiscard]] bool find_task(const worker::task_name& name, task_ref& ref);
    [[nodiscard]] server_state& server_entry(const std::string& id, std::int64_t born);
    [[nodiscard]] bool is_answering(const server_state& server) const;
    [[nodiscard]] bool is_working(const task_state& task) const;
    [[nodiscard]] int away(const task_ref& ref) const;
    [[nodiscard]] job::progress snapshot(const job_state& job) const;
    void judge_server(server_state& server, bool failed, steady_time now);
    void judge_speed(const task_ref& ref, int percent, steady_time now);
    void plan(steady_time now);
    void log_starts(const batch& work, steady_time now);
    /// Puts the jobs first that tasks or callers wait for: with servers chosen, or at their end.
    /// The ends of other tasks are stored with later batches. Returns the jobs with servers chosen.
    std::unordered_set<const job_state*> sort_dirty();

    settings settings_;
    std::unordered_map<std::string, job::queue> queues_;
    std::unordered_map<std::string, std::unique_ptr<job_state>> jobs_;
    std::map<std::string, std::unique_ptr<server_state>, std::less<>> servers_;
    /// Final states that are stored, by the time they were reached.
    std::multimap<milliseconds, std::string> finished_;
    std::unordered_map<std::string, milliseconds> finished_ids_;
    std::vector<std::string> ended_;
    std::vector<job_state*> dirty_;
    std::vector<task_ref> assigned_;
    /// Runs to stop that belong to no current task.
    std::map<std::pair<std::string, worker::task_name>, std::pair<int, steady_time>> foreign_;
    milliseconds store_time_{0};
    /// Time of the latest call that named it.
    steady_time now_{};
    /// By pool, as of the latest plan.
    std::map<std::string, int> unplaceable_;
    bool plan_needed_ = true;
    steady_time next_plan_{};
    std::vector<task_ref> stops_;
    std::vector<advice_request> questions_;
    std::int64_t spare_cpu_ = 0;
};

} // namespace lacewingquay::scheduler
