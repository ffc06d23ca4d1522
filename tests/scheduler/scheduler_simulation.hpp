#pragma once

#include "core/clock.hpp"
#include "job/model.hpp"
#include "scheduler/scheduler.hpp"
#include "worker/model.hpp"

#include <cstdint>
#include <map>
#include <memory>
#include <random>
#include <set>
#include <string>
#include <vector>

namespace lacewingquay::test
{

using std::chrono::milliseconds;

/// Bugs that the simulation can inject; its checks must detect each of them.
enum class injected_bug
{
    none,
    /// Backend servers accept orders of former owners.
    no_fencing,
    /// Ended runs are acknowledged to the server before they are stored.
    ends_acknowledged_before_stored,
    /// A start without an answer is treated as not run.
    unanswered_start_is_not_run,
    /// A new owner immediately repeats the runs of servers that it cannot reach.
    takeover_without_waiting,
    /// A new owner does not know which tasks have crashed servers.
    crashes_not_stored
};

/// Probabilities of faults, for each order or each step of 50 ms.
struct fault_rates
{
    double lost_answer = 0.0;
    double delayed_order = 0.0;
    double task_fails = 0.0;
    double server_crash = 0.0;
    double server_partitioned = 0.0;
    double owner_killed = 0.0;
    double store_answer_lost = 0.0;
    double store_refuses = 0.0;
};

/// Simulates backend servers, a store and successive owners in simulated time. Checks on every
/// start and acknowledgement that no task runs twice at once, before the steps it depends on, after
/// its end or beyond its attempts; and in every step that the count of waiting jobs omits none.
class scheduler_simulation
{
public:
    scheduler_simulation(std::uint32_t seed, fault_rates rates, injected_bug bug);

    /// Adds servers to the pool "pool".
    void add_servers(int count, job::resources capacity);

    /// Stores a job; the owner learns of it in the next step.
    void submit(job::record record);

    /// Cancels a job.
    void cancel(const std::string& id);

    /// Makes a task crash each server that starts it, at most 1 s after the start. The server
    /// returns under a new id, on the same machine.
    void make_deadly(const worker::task_name& task) { deadly_.insert(task); }

    /// Sets after which time crashed servers return; 3 s if it is not called.
    void set_replacement_time(milliseconds least, milliseconds most)
    {
        min_replacement_time_ = least;
        max_replacement_time_ = most;
    }

    /// Ends the owner's process; another one takes over after 2.5 s.
    void kill_owner();

    /// Changes what the servers can run and register from now on.
    void set_capacity(job::resources capacity);

    /// Start orders that did not fit on their server.
    [[nodiscard]] std::size_t starts_without_room() const { return starts_without_room_; }

    /// Advances by one step of 50 ms.
    void step();
    void run(milliseconds time);

    /// Ends all faults from now on.
    void stop_faults() { rates_ = {}; }

    [[nodiscard]] const std::vector<std::string>& violations() const { return violations_; }
    [[nodiscard]] job::state reported_state(const std::string& id) const;
    [[nodiscard]] std::size_t starts() const { return starts_; }
    /// Crashes of servers while they ran the task.
    [[nodiscard]] int crashes_under(const worker::task_name& task) const;
    /// The most such crashes for one task of the job.
    [[nodiscard]] int most_crashes(const std::string& job) const;
    [[nodiscard]] std::size_t owners() const { return static_cast<std::size_t>(term_); }
    [[nodiscard]] scheduler::scheduler& owner() { return *owner_; }
    [[nodiscard]] steady_time now() const { return now_; }

private:
    struct run_entry
    {
        int run = 0;
        steady_time end_at{};
        worker::end_kind kind = worker::end_kind::done;
        std::string job;
        /// When it crashes the server.
        steady_time crash_at = steady_time::max();
    };

    struct fake_server
    {
        worker::server info;
        /// Its registration in the store; follows `info` some time after a restart.
        worker::server registration;
        steady_time register_at{};
        bool up = true;
        steady_time restart_at{};
        /// Crashed by a task: its machine's next incarnation has another id.
        bool replaced = false;
        bool is_replaced_now = false;
        /// Until then a new owner still reads its registration.
        steady_time registered_until{};
        steady_time partitioned_until{};
        std::int64_t highest_token = 0;
        steady_time lease_end{};
        std::map<worker::task_name, run_entry> running;
        std::vector<worker::ended_task> ended;
        std::map<worker::task_name, int> closed_runs;
        std::int64_t ends = 0;
        steady_time next_poll{};
    };

    struct delayed_start
    {
        steady_time at{};
        worker::start_order order;
        std::int64_t token = 0;
        steady_time deadline{};
        /// Delayed by the network for one step, not by the server.
        bool in_network = false;
    };

    void take_over();
    void commit();
    void poll_servers();
    void advance_servers();
    void crash_servers();
    void replace_servers();
    void count_crash(const fake_server& server);
    void deliver_delayed_starts();
    worker::order_outcome start(const worker::start_order& order, std::int64_t token,
                                steady_time deadline);
    worker::order_outcome stop(const worker::stop_order& order, std::int64_t token);
    void send(const worker::start_order& order);
    void end_run(fake_server& server, const worker::task_name& task, worker::end_kind kind);
    void acknowledge_ends(fake_server& server, std::int64_t number);
    void check_start(const worker::start_order& order);
    /// Checks that the owner counts every job as waiting that no server has begun.
    void check_waiting_count();
    void record_violation(const std::string& text);
    [[nodiscard]] bool chance(double probability);
    [[nodiscard]] bool reachable(const fake_server& server) const;
    [[nodiscard]] worker::call_failure failure_of(const std::string& server) const;

    std::mt19937 random_;
    fault_rates rates_;
    injected_bug bug_;
    steady_time now_{std::chrono::hours(1)};
    std::int64_t term_ = 0;
    std::unique_ptr<scheduler::scheduler> owner_;
    steady_time next_owner_at_{};
    std::map<std::string, fake_server> servers_;
    std::map<std::string, job::record> jobs_;
    std::map<std::string, std::string> progress_;
    std::set<std::string> cancelled_;
    /// Jobs of which a server has started a task.
    std::set<std::string> begun_;
    std::set<std::string> known_to_owner_;
    std::vector<delayed_start> delayed_starts_;
    /// Time and server of each end as done.
    std::map<worker::task_name, std::pair<steady_time, std::string>> done_;
    /// Tasks whose end as done the owner has acknowledged.
    std::set<worker::task_name> acknowledged_done_;
    std::map<worker::task_name, int> acknowledged_failures_;
    std::map<worker::task_name, steady_time> last_start_;
    std::map<std::string, steady_time> lapsed_;
    std::set<worker::task_name> deadly_;
    milliseconds min_replacement_time_{3'000};
    milliseconds max_replacement_time_{3'000};
    std::map<worker::task_name, int> crashes_;
    /// Those of `crashes_` that the task itself caused.
    std::map<worker::task_name, int> own_crashes_;
    std::map<worker::task_name, int> starts_after_crashes_;
    std::vector<std::string> violations_;
    std::size_t starts_ = 0;
    std::size_t starts_without_room_ = 0;
    int max_attempts_ = 4;
};

/// A job of `steps` steps, each after the one before.
[[nodiscard]] job::record make_job(const std::string& id, int steps, int tasks, std::int64_t cpu,
                                   milliseconds estimate);

} // namespace lacewingquay::test
