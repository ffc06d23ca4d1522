#pragma once

#include "core/clock.hpp"
#include "job/model.hpp"
#include "job/progress.hpp"
#include "manager/configuration.hpp"
#include "scheduler/crash_blame.hpp"
#include "scheduler/load.hpp"
#include "scheduler/settings.hpp"
#include "scheduler/state.hpp"
#include "worker/model.hpp"

#include <chrono>
#include <cstdint>
#include <limits>
#include <map>
#include <memory>
#include <optional>
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

/// A progress row of a job, to be stored.
struct progress_write
{
    std::string job;
    /// Empty if the row is to be removed.
    std::string text;
    job::state reported_state = job::state::queued;
    /// True if the job reaches its final state with this write, at age `age`.
    bool ended = false;
    milliseconds age{0};
    /// Number of the row; the first, 0, has the job's state.
    std::int64_t row = 0;
};

/// Changes that are stored in one transaction before any of them takes effect.
struct batch
{
    std::vector<progress_write> writes;
    /// Start orders to send once the batch is stored.
    std::vector<worker::start_order> starts;
    /// By server: the highest number of an ended run that the stored progress covers.
    std::vector<std::pair<std::string, std::int64_t>> acknowledgements;

    [[nodiscard]] bool empty() const { return writes.empty() && acknowledgements.empty(); }
};

/// A request to the advice service: which of the servers may run a step.
struct advice_request
{
    /// Any task of the step.
    worker::task_name task;
    std::vector<std::string> servers;
};

/// Assigns tasks to backend servers. Holds the state of all jobs and backend servers of its domain.
/// The caller must store each batch before it sends the orders in it. Deterministic: the same calls
/// give the same decisions. Not thread-safe.
class scheduler
{
public:
    explicit scheduler(settings values);

    /// Replaces the queues by those of a configuration. Jobs of a removed queue fall back to the
    /// queue settings stored with them.
    void configure(const manager::configuration& values);

    /// Adds a job. `stored` is its stored progress, or null; `age` is the time since acceptance.
    void add_job(job::record record, const job::progress* stored, milliseconds age,
                 steady_time now);

    /// Adds a job whose final state is stored and whose definition is no longer kept. `ended` is on
    /// the store's steady clock.
    void add_ended(std::string_view id, milliseconds ended);

    /// Cancels a job and stops its runs. `age` is the time since the caller cancelled it, if known.
    /// A job that is not known counts as ended, so that it is not run if it is added later. Returns
    /// true if the job was running or waiting.
    bool cancel_job(std::string_view id, milliseconds store_time,
                    std::optional<milliseconds> age = std::nullopt);

    /// Adds a server or updates it from its current registration.
    void update_server(const worker::server& info, steady_time now);

    /// Handles a removed registration. The runs there count as running until the lease has expired.
    void remove_server(std::string_view id, steady_time now);

    /// Handles the end of the server incarnation that started at `born`: it has been moved, or
    /// another one answers at its address. Its runs are lost.
    void end_incarnation(std::string_view id, std::int64_t born, steady_time now);

    /// Records that a call to this incarnation of the server was not answered.
    void call_unanswered(std::string_view id, std::int64_t born, worker::call_failure failure,
                         steady_time now);

    /// Applies a server's report of running and ended tasks, which was requested at `requested_at`.
    void apply_report(std::string_view id, const worker::report& report, steady_time requested_at,
                      steady_time now);

    /// True unless the server's capacity has shrunk since the order's task was assigned to it, so
    /// that the order would start more than fits. To be checked immediately before it is sent.
    [[nodiscard]] bool has_room(const worker::start_order& order) const;

    /// True unless the order's task was given up or cancelled after the order was planned, or its
    /// server takes no new runs any more. To be checked immediately before the order is sent: its
    /// run may have been replaced by another while the batch was stored.
    [[nodiscard]] bool is_start_due(const worker::start_order& order);

    /// True if the run is still to be stopped. To be checked immediately before the order is sent.
    [[nodiscard]] bool is_stop_due(const worker::stop_order& order);

    /// Handles the outcome of a start order.
    void start_answered(const worker::start_order& order, worker::order_outcome outcome,
                        steady_time now);

    /// Handles the outcome of a stop order.
    void stop_answered(const worker::stop_order& order, worker::order_outcome outcome,
                       steady_time now);

    /// Gives up runs whose lease has expired, forgets servers that are no longer needed and creates
    /// the occurrences that are due.
    void advance(steady_time now, wall_time wall, milliseconds store_time);

    /// Chooses servers for waiting tasks and returns the changes to store, in at most `max_rows`
    /// rows. No further servers are chosen once `max_starts` start orders are to be sent; only the
    /// last gang may exceed that.
    batch prepare(steady_time now, std::size_t max_rows,
                  std::size_t max_starts = std::numeric_limits<std::size_t>::max());

    /// Commits a stored batch: its start orders are about to be sent, and servers may discard the
    /// ended runs that it acknowledges.
    void stored(const batch& work, steady_time now);

    /// Returns a batch that may not have been stored; its changes are prepared again.
    void not_stored(const batch& work);

    /// As `not_stored`, for a batch that the store will never accept. If it has a single row, the
    /// job of that row is set aside for some time, so that it holds back no other.
    void rejected(const batch& work, steady_time now);

    /// Returns the stop orders that are due.
    std::vector<worker::stop_order> take_stops(steady_time now);

    /// Returns the pending advice requests, for steps of queues with advice that wait for a
    /// permitted server.
    std::vector<advice_request> take_advice_requests();

    /// Handles the answer to an advice request. `tickets` holds the servers that may run the step,
    /// each with its ticket. An unanswered request is repeated.
    void advice_answered(const advice_request& request, bool answered,
                         const std::vector<std::pair<std::string, std::string>>& tickets,
                         milliseconds validity, steady_time now);

    /// Grants a lease that begins now. Returns its deadline on the server's clock, or zero if none
    /// can be granted.
    milliseconds grant_lease(server_state& server, steady_time now);

    /// Takes the clock from an answer of the server that does not name its incarnation, to a call
    /// that was sent at `sent_at` to the one that started at `born`. Zero is ignored. A clock that
    /// is behind is that of a later incarnation, which may hold its longest lease.
    void observe_clock(std::string_view id, std::int64_t born, milliseconds clock,
                       steady_time sent_at, steady_time now);

    /// Load of each pool, by its name.
    [[nodiscard]] std::map<std::string, pool_load> pool_loads() const;

    /// Sets the CPU, in thousandths of a core, that any pool can still be given: of machines that
    /// are idle, off or being moved.
    void set_spare_cpu(std::int64_t cpu) { spare_cpu_ = cpu; }

    /// Load of all queues.
    [[nodiscard]] load_report load(steady_time now) const;

    /// Stops long-running tasks on `server` as far as their disruption budgets allow; on a draining
    /// server, all that run.
    void evacuate(server_state& server);

    /// True if ending every run on `server` now would keep all disruption budgets.
    [[nodiscard]] bool can_interrupt(const server_state& server) const;

    /// True if a long-running task on `server` has not reached full speed yet.
    [[nodiscard]] static bool has_task_starting_up(const server_state& server);

    /// True if a run on `server` is being stopped. It has not saved its checkpoint yet, and whether
    /// it has ended is known only from a later report.
    [[nodiscard]] static bool has_task_stopping(const server_state& server);

    [[nodiscard]] server_state* find_server(std::string_view id);
    [[nodiscard]] const std::map<std::string, std::unique_ptr<server_state>, std::less<>>&
    servers() const
    {
        return servers_;
    }

    /// Removes and returns jobs whose final state is stored and older than `retention`; a limited
    /// number per call.
    std::vector<std::string> take_expired(milliseconds store_time, milliseconds retention);

    /// Returns the jobs whose final state has been stored since the last call; their definitions
    /// are no longer needed.
    std::vector<std::string> take_ended();

    [[nodiscard]] std::size_t active_jobs() const { return jobs_.size(); }
    [[nodiscard]] bool knows_job(std::string_view id) const;

private:
    friend class placement;

    void apply_queue(job_state& job);
    void open_steps(job_state& job, std::size_t occurrence);
    void add_occurrence(job_state& job, int number, steady_time due, steady_time now);
    void restore(job_state& job, const job::progress& stored, steady_time now);
    /// Takes over which rows the job has.
    void restore_rows(job_state& job, const job::progress& stored);
    /// Ends the restored runs of servers that are known to have ended.
    void end_restored_runs(const job::progress& stored, steady_time now);
    void finish_task(const task_ref& ref);
    /// `cancel_age` is the time since the caller cancelled the job, if known.
    void finish_job(job_state& job, job::state reported_state,
                    std::optional<milliseconds> cancel_age = std::nullopt);
    void detach(const task_ref& ref);
    void attach(const task_ref& ref, server_state& server);
    void requeue(const task_ref& ref);
    /// Has the task's run stopped. If `revocable`, a report of the run takes that back.
    void request_stop(const task_ref& ref, bool revocable = false);
    void apply_end(server_state& server, const worker::ended_task& ended, steady_time now);
    void stop_unexpected(server_state& server, const worker::task_name& name, int run);
    /// Finishes a task that an earlier run than the present one has done.
    void finish_superseded(const task_ref& ref);
    void end_gang_run(const task_ref& ref, worker::end_kind kind);
    /// Handles a new incarnation under the server's id, whichever is read first: its registration
    /// or its report.
    void begin_incarnation(server_state& server, std::int64_t born, steady_time now);
    /// Assumes that the server holds its longest lease from now on.
    void assume_longest_lease(server_state& server, steady_time now);
    /// By how much a slow clock may have fallen behind the offset that was measured.
    [[nodiscard]] milliseconds max_clock_lag(const server_state& server, steady_time now) const;
    /// Time after which a lease has surely expired, on this host's clock.
    [[nodiscard]] milliseconds lease_bound(milliseconds lease) const;
    void end_earlier_incarnations(const worker::server& info, steady_time now);
    [[nodiscard]] bool has_later_incarnation(const worker::server& info) const;
    /// Handles a server that has restarted under the same id. Its runs have ended, but a start
    /// order still in the network would be executed by the new incarnation. So each run is first
    /// fenced by a stop order there, and only then is the task started elsewhere.
    void fence_runs(server_state& server, steady_time now);
    void lose_runs(server_state& server, std::string_view reason, steady_time now);
    /// Handles an answer to a call of this incarnation.
    void record_answer(server_state& server, steady_time now);
    /// The task that counts crashes for `ref`: a gang's are counted for its first task.
    [[nodiscard]] static task_ref counted_task(const task_ref& ref);
    /// Notes the runs that may be responsible if the server has crashed.
    void suspect_runs(const server_state& server, steady_time now);
    /// The server has answered after its connection was closed.
    void clear_suspects(const server_state& server);
    /// Clears suspicions if the server has registered since its connection was closed.
    void check_registration(server_state& server, const worker::server& info);
    /// Forgets the crashes and suspicions of a task whose present run has worked for longer than
    /// crashes took, unless a suspicion may still be proved.
    void clear_proved(const task_ref& ref, steady_time now);
    /// Suspected crashes of the task that the next incarnation of their server may prove.
    [[nodiscard]] int pending_proofs(const task_ref& ref, steady_time now) const;
    /// True if the task may have crashed enough servers to be given up, which is not proved yet.
    [[nodiscard]] bool awaits_proof(const task_ref& ref, steady_time now) const;
    /// Counts the crash of an incarnation that is known to have ended.
    void confirm_crashes(const worker::server& ended);
    /// Counts the crashes of the incarnations before `started` on its machine.
    void confirm_crashes_before(const worker::server& started);
    /// Takes over the suspicions of the job's tasks.
    void restore_suspicions(job_state& job, steady_time now);
    template <typename Predicate>
    void blame_runs(Predicate has_ended);
    /// Marks the row with the job's own state as older than this state.
    void mark_dirty(job_state& job) { mark_dirty(job, 0); }
    /// Marks the row with the task.
    void mark_dirty(const task_ref& ref) { mark_dirty(*ref.job, row_of(ref)); }
    void mark_dirty(job_state& job, std::int64_t row);
    /// Number of the progress row that holds the task.
    [[nodiscard]] std::int64_t row_of(const task_ref& ref) const;
    /// True if the task's progress, or that of its gang, is not stored yet.
    [[nodiscard]] bool is_unstored(const task_ref& ref) const;
    [[nodiscard]] bool is_held_back(const job_state& job) const { return now_ < job.held_until; }
    /// Adds rows of the job to the batch; returns false once the batch is full.
    bool add_rows(job_state& job, std::size_t max_rows, std::size_t& bytes, batch& result);
    /// Text of a progress row; what does not fit into a row is left out.
    [[nodiscard]] std::string row_text(job_state& job, std::int64_t row) const;
    /// Adds the ends of runs whose effect is stored.
    void add_acknowledgements(batch& result) const;
    [[nodiscard]] bool find_task(const worker::task_name& name, task_ref& ref);
    [[nodiscard]] server_state& server_entry(const std::string& id, std::int64_t born);
    [[nodiscard]] bool is_answering(const server_state& server) const;
    [[nodiscard]] bool is_available(const task_state& task) const;
    [[nodiscard]] int unavailable_tasks(const task_ref& ref) const;
    /// True if a stop of the task is an evacuation, which its disruption budget has to permit.
    [[nodiscard]] static bool is_evacuation(const task_ref& ref);
    /// The tasks of one row that have to be stored.
    [[nodiscard]] std::vector<job::task_progress> snapshot(const job_state& job,
                                                           std::int64_t row) const;
    void record_run_result(server_state& server, bool failed, steady_time now);
    void check_run_progress(const task_ref& ref, int percent, steady_time now);
    void plan(steady_time now, std::size_t max_starts);
    /// Logs long-running tasks that have not been at work for long, and what they wait for.
    void log_overdue_tasks(steady_time now);
    void log_overdue_task(const task_ref& ref, steady_time now) const;
    /// True if new runs may be started on the server.
    [[nodiscard]] bool accepts_runs(const server_state& server, steady_time now) const;
    void log_starts(const batch& work, steady_time now);
    /// Moves jobs with newly assigned tasks and jobs in a final state to the front of `dirty_`, as
    /// tasks or callers wait for these. The progress of other jobs is stored with later batches.
    /// Returns the jobs with newly assigned tasks.
    std::unordered_set<const job_state*> sort_dirty();

    settings settings_;
    std::unordered_map<std::string, job::queue> queues_;
    std::unordered_map<std::string, std::unique_ptr<job_state>> jobs_;
    std::map<std::string, std::unique_ptr<server_state>, std::less<>> servers_;
    /// Jobs whose final state is stored, by the time it was reached on the store's steady clock.
    std::multimap<milliseconds, std::string> finished_;
    std::unordered_map<std::string, milliseconds> finished_ids_;
    std::vector<std::string> ended_;
    /// Runs that are responsible if their server has crashed.
    std::vector<exposed_run> exposed_runs_;
    std::vector<job_state*> dirty_;
    std::vector<task_ref> assigned_;
    /// By server and task.
    std::map<std::pair<std::string, worker::task_name>, unexpected_run> unexpected_runs_;
    milliseconds store_time_{0};
    /// Time of the latest call that passed the time.
    steady_time now_{};
    /// Unplaceable tasks by pool, as of the latest placement pass.
    std::map<std::string, int> unplaceable_;
    bool plan_needed_ = true;
    steady_time next_plan_{};
    steady_time next_overdue_check_{};
    std::vector<task_ref> stops_;
    std::vector<advice_request> advice_requests_;
    std::int64_t spare_cpu_ = 0;
};

} // namespace lacewingquay::scheduler
