#pragma once

#include "core/clock.hpp"
#include "job/model.hpp"
#include "scheduler/scheduler.hpp"
#include "worker/model.hpp"

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <tuple>
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
    crashes_not_stored,
    /// Start orders are sent as planned, whatever has changed since.
    orders_not_checked,
    /// A stop is sent once for each run, whether it is answered or not.
    stops_not_repeated,
    /// No stop is sent while a transaction is under way.
    stops_wait_for_transaction,
    /// Calls reach whichever incarnation is up, and the owner assumes that a restarted server holds
    /// no longer lease than it was meant to.
    calls_reach_later_incarnation
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
    /// A commit takes up to 1.5 s, and its orders wait up to 0.6 s more before they are sent.
    double slow_commit = 0.0;
    /// A stop order does not arrive.
    double lost_stop = 0.0;
    double lost_stop_answer = 0.0;
    /// A stop order is carried out 0.2 s to 4 s late.
    double delayed_stop = 0.0;
    /// All servers change to a half to all of their capacity.
    double capacity_changes = 0.0;
};

/// Simulates backend servers, a store and successive owners in simulated time. Checks on every
/// start and acknowledgement that no task runs twice at once, before the steps it depends on, after
/// its end or beyond its attempts; and in every step that the count of waiting jobs omits none.
/// Once all faults have healed, it also checks that no task waits while a server has room for it.
/// Runs of a cancelled job must end within the time to notice and to repeat lost stops.
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

    /// Makes the store unavailable. Half of the registrations have expired when it returns and are
    /// renewed within 2 s.
    void cut_store(milliseconds time);

    /// Cuts off every third server, from the number `zone` on.
    void cut_zone(std::size_t zone, milliseconds time);

    /// Ends the owner with the next commit that has start orders, or after 1 s. That commit is
    /// stored, but its orders are not sent. Another owner takes over after 200 ms.
    void hand_over();

    /// Ends a server. Its machine returns with a server of another id; its registration expires at
    /// once or as after a crash.
    void end_server(const std::string& id, milliseconds return_time, bool is_unregistered);

    /// Restarts a server at once under the same id.
    void restart_server(const std::string& id);

    /// Cuts off one server.
    void cut_server(const std::string& id, milliseconds time);

    /// For some time, start orders are not answered, and executed 1 s to 5 s late.
    void hold_orders(milliseconds time) { orders_held_until_ = now_ + time; }

    /// Any server that is up.
    [[nodiscard]] std::string any_server();

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
        steady_time started{};
        /// For a task of a gang: all of its tasks are present, or were.
        bool is_gang_complete = false;
    };

    struct fake_server
    {
        worker::server info;
        /// Its registration in the store; follows `info` some time after a restart.
        worker::server registration;
        steady_time register_at{};
        /// When its clock showed zero; each incarnation has a clock of its own.
        steady_time clock_start{};
        bool up = true;
        steady_time restart_at{};
        /// Crashed by a task: its machine's next incarnation has another id.
        bool replaced = false;
        bool is_replaced_now = false;
        /// Until then a new owner still reads its registration.
        steady_time registered_until{};
        /// When it next renews its registration.
        steady_time next_heartbeat{};
        /// True once its registration has expired.
        bool lapsed = false;
        steady_time partitioned_until{};
        std::int64_t highest_token = 0;
        steady_time lease_end{};
        std::map<worker::task_name, run_entry> running;
        std::vector<worker::ended_task> ended;
        std::map<worker::task_name, int> closed_runs;
        std::int64_t ends = 0;
        steady_time next_poll{};
    };

    struct delayed_stop
    {
        steady_time at{};
        worker::stop_order order;
        std::int64_t token = 0;
    };

    struct delayed_start
    {
        steady_time at{};
        worker::start_order order;
        std::int64_t token = 0;
        milliseconds deadline{0};
        /// Delayed by the network for one step, not by the server.
        bool in_network = false;
    };

    void take_over();
    void commit();
    void write_rows(const scheduler::batch& work);
    void finish_commit(const scheduler::batch& work);
    void send_waiting_orders();
    /// Drops what the owner's process had under way; the store may perform its transaction.
    void drop_owner();
    void poll_servers();
    void advance_servers();
    /// Starts the work of gangs that are complete, and ends the runs of those that are not.
    void advance_gangs();
    void crash_servers();
    void replace_servers();
    void renew_registrations();
    void count_crash(const fake_server& server);
    void deliver_delayed_starts();
    void deliver_delayed_stops();
    void change_capacity();
    /// `deadline` is on the clock of the incarnation that was meant.
    worker::order_outcome start(const worker::start_order& order, std::int64_t token,
                                milliseconds deadline);
    [[nodiscard]] milliseconds clock_of(const fake_server& server) const;
    void extend_lease(fake_server& server, milliseconds deadline) const;
    [[nodiscard]] worker::report make_report(const fake_server& server) const;
    /// True if the order's connection reaches a later incarnation, which is then reported instead.
    bool reaches_other_incarnation(const worker::start_order& order);
    worker::order_outcome stop(const worker::stop_order& order, std::int64_t token);
    void send(const worker::start_order& order);
    void send(const worker::stop_order& order);
    void send_stops();
    void end_run(fake_server& server, const worker::task_name& task, worker::end_kind kind);
    void acknowledge_ends(fake_server& server, std::int64_t number);
    /// The stored progress of a job from all of its rows.
    [[nodiscard]] std::optional<job::progress> read_progress(const std::string& id) const;
    void check_start(const worker::start_order& order);
    /// Checks that the owner counts every job as waiting that no server has begun.
    void check_waiting_count();
    /// Checks that no task that could run has waited for 6 s since the last fault healed.
    void check_liveness();
    /// Checks that no run of a cancelled job has lasted for too long while the owner could stop it.
    void check_cancelled_runs();
    /// True if the owner has the server's address and the two can reach each other.
    [[nodiscard]] bool owner_reaches(const fake_server& server) const;
    void check_task_runs(const worker::task_name& task, const job::step& step);
    /// True if no fault is in effect.
    [[nodiscard]] bool is_calm() const;
    [[nodiscard]] bool is_store_away() const { return now_ < store_returns_at_; }
    [[nodiscard]] bool is_registered(const fake_server& server) const;
    [[nodiscard]] bool has_run_or_end(const worker::task_name& task) const;
    /// A server with enough free capacity for the step, or null.
    [[nodiscard]] const fake_server* find_room(const job::step& step) const;
    [[nodiscard]] job::resources used_by(const fake_server& server) const;
    [[nodiscard]] bool is_stored_as_done(const worker::task_name& task) const;
    /// What the owner knows of the task's run.
    [[nodiscard]] std::string describe_run(const worker::task_name& task) const;
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
    /// Progress rows by key.
    std::map<std::string, std::string> progress_;
    std::set<std::string> cancelled_;
    /// Jobs of which a server has started a task.
    std::set<std::string> begun_;
    std::set<std::string> known_to_owner_;
    std::vector<delayed_start> delayed_starts_;
    std::vector<delayed_stop> delayed_stops_;
    /// Number of a run on one server.
    using run_key = std::tuple<std::string, worker::task_name, int>;
    /// When the latest stop order without effect was sent.
    std::map<run_key, steady_time> failed_stops_;
    std::set<run_key> stopped_;
    /// By when runs of cancelled jobs must have been noticed and told to stop.
    std::map<run_key, steady_time> stop_due_;
    /// Jobs that the owner has been told are cancelled.
    std::set<std::string> told_cancelled_;
    job::resources full_capacity_;
    /// A transaction under way, which is performed at that time.
    std::optional<std::pair<steady_time, scheduler::batch>> transaction_;
    /// Stored start orders and when they are sent.
    std::vector<std::pair<steady_time, worker::start_order>> waiting_orders_;
    /// Time and server of each end as done.
    std::map<worker::task_name, std::pair<steady_time, std::string>> done_;
    /// Tasks whose end as done the owner has acknowledged.
    std::set<worker::task_name> acknowledged_done_;
    std::map<worker::task_name, int> acknowledged_failures_;
    std::map<worker::task_name, steady_time> last_start_;
    std::map<std::string, steady_time> lapsed_;
    steady_time store_returns_at_{};
    bool store_was_away_ = false;
    steady_time orders_held_until_{};
    bool handing_over_ = false;
    steady_time hand_over_by_{};
    /// Since when, without a fault, a task has had no run although a server had room.
    std::map<worker::task_name, steady_time> waiting_since_;
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
