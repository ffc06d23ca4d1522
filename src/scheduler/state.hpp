#pragma once

#include "core/clock.hpp"
#include "job/model.hpp"
#include "job/progress.hpp"
#include "worker/model.hpp"

#include <chrono>
#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <vector>

namespace lacewingquay::scheduler
{

struct job_state;
struct server_state;

/// Life cycle of a task.
enum class task_phase : std::uint8_t
{
    /// To be started once its step is open.
    waiting,
    /// A backend server is chosen; the choice is not stored yet.
    assigned,
    /// The start order is about to be sent or under way, or its answer was lost.
    starting,
    running,
    /// It is unknown whether the run exists; the server's next report tells.
    unresolved,
    done
};

/// One task of an occurrence of a job.
struct task_state
{
    task_phase phase = task_phase::waiting;
    /// Number of the latest run.
    int run = 0;
    /// Runs that ended as failed.
    int failures = 0;
    /// Number of the latest failed run.
    int failed_run = 0;
    /// Server of the latest run; null while the task is waiting or done.
    server_state* server = nullptr;
    std::string checkpoint;
    /// When the task entered `starting` or `running`.
    steady_time since{};
    /// When the latest run's start order was stored or, after a takeover, the run was taken over.
    steady_time started{};
    /// For a gang, that of its first task counts.
    job::crash_history crashes;
    /// When the task last began to wait; limits how long it waits for a server of its own.
    steady_time isolated_since{};
    /// Reports requested before this do not resolve an `unresolved` run.
    steady_time resolve_after{};
    /// The run has to be stopped.
    bool stop_wanted = false;
    /// It is stopped only because it was not known to exist; a report of it takes the stop back.
    bool stop_revocable = false;
    /// The scheduler's list of stops has an entry of the task.
    bool stop_listed = false;
    /// When its stop became due.
    steady_time stop_due{};
    steady_time stop_sent{};
    /// Stop orders sent since then.
    int stop_attempts = 0;
    /// True for a long-running task that runs at full speed.
    bool at_full_speed = false;
    /// Reported progress of the latest run, in percent.
    int percent = 0;
    /// When the reported progress last rose.
    steady_time advanced{};
    /// When a run of the task was last known to be at work; before that, when it was added.
    steady_time last_at_work{};
    steady_time overdue_logged{};
};

/// True if the latest run may exist on a server.
[[nodiscard]] inline bool has_run(const task_state& task)
{
    return task.phase == task_phase::starting || task.phase == task_phase::running ||
           task.phase == task_phase::unresolved;
}

/// Permission of the advice service to run a step on one server.
struct ticket
{
    /// Start of the server incarnation for which it was given.
    std::int64_t server_born = 0;
    std::string text;
    steady_time valid_until{};
};

/// The tasks of one step of an occurrence.
struct step_state
{
    /// On queues with advice: tickets of the servers that may run the step, by server.
    std::map<std::string, ticket> tickets;
    /// Servers that the advice service has answered for; its answers do not change.
    std::set<std::string> advised;
    bool asking_advice = false;
    std::vector<task_state> tasks;
    int done = 0;
    /// True if all steps that it depends on are done.
    bool open = false;
    /// Tasks in `waiting`.
    int waiting = 0;
};

/// One occurrence of a job's steps.
struct occurrence_state
{
    int number = 0;
    std::vector<step_state> steps;
    int steps_done = 0;
    /// When the job was accepted or, for periodic jobs, when the occurrence was created.
    steady_time due{};
};

/// A job that has not reached a final state, or whose runs have not all ended.
struct job_state
{
    job::record record;
    /// Its queue in the current configuration, else as stored with the job.
    job::queue queue;
    /// Time after `due` within which an occurrence should finish.
    std::chrono::milliseconds allowed{0};
    job::state reported_state = job::state::queued;
    std::chrono::milliseconds ended{0};
    /// A run of one of its tasks is known to have begun. Unlike `reported_state`, it does not
    /// change when a start is merely decided.
    bool begun = false;
    std::vector<occurrence_state> occurrences;
    /// Number of the next occurrence to create, for periodic jobs.
    int next_occurrence = 0;
    int occurrences_done = 0;
    /// Progress rows that are older than this state. The first row also has the job's own state.
    std::set<std::int64_t> dirty_rows;
    /// Rows behind the first that may be stored.
    std::set<std::int64_t> further_rows;
    /// `begun` as last written to the first row.
    bool begun_written = false;
    /// The store has rejected a row of the job, so none is written until then.
    steady_time held_until{};
    /// Servers with ended runs of this job whose effect is not stored yet.
    std::vector<const server_state*> unstored_ends;
    /// A batch with the final state has been prepared.
    bool end_written = false;
    bool is_long_running = false;
    /// Runs that may be on backend servers.
    int runs = 0;
    /// Tasks of one occurrence.
    std::int64_t tasks_per_occurrence = 0;
};

/// Direct reference to a task. Valid as long as its job is known to the scheduler.
struct task_ref
{
    job_state* job = nullptr;
    std::size_t occurrence = 0;
    std::size_t step = 0;
    std::size_t index = 0;

    [[nodiscard]] task_state& task() const
    {
        return job->occurrences[occurrence].steps[step].tasks[index];
    }

    [[nodiscard]] step_state& parent_step() const
    {
        return job->occurrences[occurrence].steps[step];
    }

    [[nodiscard]] const job::step& definition() const { return job->record.work.steps[step]; }

    [[nodiscard]] job::task_position position() const
    {
        return {job->occurrences[occurrence].number, static_cast<int>(step),
                static_cast<int>(index)};
    }

    friend bool operator==(const task_ref&, const task_ref&) = default;
};

/// A run on a server that is not the current one of its task. It is stopped there.
struct unexpected_run
{
    int run = 0;
    /// Reports requested before this do not show that it has ended.
    steady_time noticed{};
    steady_time stop_sent{};
    /// Stop orders sent so far.
    int stop_attempts = 0;
    /// Capacity reserved for it until the server no longer lists it.
    job::resources booked;
};

/// A backend server and the runs that are known there.
struct server_state
{
    worker::server info;
    /// False once its registration has been removed; its runs may continue until the lease expires.
    bool registered = false;
    /// This incarnation is known to have ended; a registration of it that is read later is ignored.
    bool incarnation_ended = false;
    /// Capacity reserved by runs that may exist there.
    job::resources used;
    std::vector<task_ref> tasks;
    /// Long-running tasks among `tasks`.
    int long_running_tasks = 0;
    /// Best-effort tasks among `tasks`; these reserve no CPU.
    int best_effort = 0;
    /// Runs here that are not the current ones of their tasks.
    int unexpected_runs = 0;
    /// An order that ends all runs here, a move or a maintenance, is about to be sent or under way.
    bool ending = false;
    /// No new runs: the machine is to be moved or maintained, or is being drained.
    bool closed = false;
    /// No new tasks but those that have to run alone.
    bool held = false;
    /// Its machine is due for maintenance in a wave, so long-running tasks would soon have to move.
    bool maintenance_due = false;
    /// Avoided until then, after refusals or failures; chosen only if no other server fits.
    steady_time avoid_until{};
    /// Failed runs since the last successful one.
    int consecutive_failures = 0;
    /// End of the latest lease that may have been granted, on this host's clock.
    steady_time lease_end{};
    /// The server's steady clock minus this host's, as measured at `clock_read`.
    std::chrono::milliseconds clock_offset{0};
    steady_time clock_read{};
    bool clock_known = false;
    /// Highest number of an ended run that was read from reports.
    std::int64_t ends_read = 0;
    /// Highest number of an ended run whose effect is stored.
    std::int64_t ends_stored = 0;
    /// True once the server has answered a call with this host's fencing token.
    bool fencing_confirmed = false;
    /// Time of the last answer.
    steady_time last_answer{};
    /// Calls since the last answer that were not answered.
    int unanswered = 0;
    /// One of these was closed or refused, as when the process has ended.
    bool disconnected = false;
    steady_time disconnected_at{};
    /// Time of the last registration that was read.
    steady_time last_registration{};
    steady_time idle_since{};
    /// When its registration was first seen.
    steady_time joined{};
};

} // namespace lacewingquay::scheduler
