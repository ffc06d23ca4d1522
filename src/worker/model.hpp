#pragma once

#include "core/address.hpp"
#include "job/model.hpp"
#include "job/progress.hpp"

#include <chrono>
#include <cstdint>
#include <string>
#include <string_view>
#include <tuple>
#include <vector>

namespace lacewingquay::worker
{

using std::chrono::milliseconds;

/// A backend server as it registers itself: one incarnation of a machine in a pool. A restart may
/// keep the id but changes `born`.
struct server
{
    std::string id;
    /// Machine on which it runs; empty if the registration does not name it.
    std::string machine;
    std::string pool;
    address endpoint;
    std::string availability_zone;
    /// Labels of the machine, such as its kind and rack.
    std::vector<std::string> labels;
    std::string rack;
    job::resources capacity;
    bool draining = false;
    /// While draining: lower bound of the time that is left.
    milliseconds drain_remaining{0};
    /// Start of this incarnation, in milliseconds since the Unix epoch.
    std::int64_t born = 0;
    /// The server's steady clock when it registered.
    milliseconds clock{0};
};

/// Identifies a task of a job.
struct task_name
{
    std::string job;
    job::task_position position;

    friend bool operator==(const task_name&, const task_name&) = default;

    friend bool operator<(const task_name& left, const task_name& right)
    {
        return std::tie(left.job, left.position) < std::tie(right.job, right.position);
    }
};

/// How a run ended.
enum class end_kind : std::uint8_t
{
    done,
    failed,
    /// Stopped by an order.
    stopped,
    /// The lease expired.
    lapsed,
    /// Another member of the gang ended.
    broken,
    /// The other members of the gang did not start in time.
    alone
};

/// A run that a backend server reports as running.
struct running_task
{
    task_name task;
    int run = 0;
    std::string checkpoint;
    /// Progress of the run; for long-running tasks the share of full speed, less than 100 while
    /// the task starts up.
    int percent = 0;
    /// Tail latency in milliseconds for a task that serves callers, else CPU use in thousandths of
    /// a core.
    std::int64_t usage = 0;
};

/// A run that a backend server reports as ended.
struct ended_task
{
    /// Sequence number of the end within one incarnation of the server, from 1.
    std::int64_t number = 0;
    task_name task;
    int run = 0;
    end_kind kind = end_kind::done;
    std::string checkpoint;
};

/// A backend server's report of its tasks.
struct report
{
    std::int64_t born = 0;
    /// The server's steady clock.
    milliseconds clock{0};
    std::vector<running_task> running;
    std::vector<ended_task> ended;
};

/// An order to start one run of a task.
struct start_order
{
    std::string server;
    std::int64_t server_born = 0;
    address endpoint;
    task_name task;
    int run = 0;
    std::string payload;
    std::string checkpoint;
    std::string ticket;
};

/// An order to stop one run of a task.
struct stop_order
{
    std::string server;
    std::int64_t server_born = 0;
    address endpoint;
    task_name task;
    int run = 0;
    /// Number of this attempt, from 1.
    int attempt = 1;
    /// Time since the stop became due.
    milliseconds due_for{0};
};

/// Why a call to a backend server brought no answer.
enum class call_failure : std::uint8_t
{
    /// It was answered, or nothing was sent.
    none,
    /// No answer or connection in time; the server may be running.
    silence,
    /// The connection was closed or refused, as when the process has ended.
    disconnected
};

/// Outcome of an order.
enum class order_outcome : std::uint8_t
{
    accepted,
    /// The server has seen a higher fencing token: another host is the owner now.
    fenced,
    /// This run or a later one of the task has been stopped or has ended there.
    stale_run,
    /// The deadline of the order has passed.
    too_late,
    no_room,
    /// The ticket of the advice service is missing or no longer valid.
    bad_ticket,
    /// The address now belongs to another server or incarnation.
    other_server,
    /// The server is unhealthy and has not executed the order.
    unhealthy,
    /// The server does not understand the order.
    malformed,
    /// Nothing was sent.
    not_sent,
    /// Nothing was sent, as the order was no longer due when its turn came.
    withdrawn,
    /// No answer: the order may have been executed or may be executed later.
    unknown
};

[[nodiscard]] constexpr std::string_view outcome_name(order_outcome value)
{
    switch (value)
    {
    case order_outcome::accepted:
        return "accepted";
    case order_outcome::fenced:
        return "fenced";
    case order_outcome::stale_run:
        return "stale_run";
    case order_outcome::too_late:
        return "too_late";
    case order_outcome::no_room:
        return "no_room";
    case order_outcome::bad_ticket:
        return "bad_ticket";
    case order_outcome::other_server:
        return "other_server";
    case order_outcome::unhealthy:
        return "unhealthy";
    case order_outcome::malformed:
        return "malformed";
    case order_outcome::withdrawn:
        return "withdrawn";
    case order_outcome::not_sent:
        return "not_sent";
    case order_outcome::unknown:
        return "unknown";
    }
    return "invalid";
}

} // namespace lacewingquay::worker
