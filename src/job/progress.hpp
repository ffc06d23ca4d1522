#pragma once

#include "core/error.hpp"
#include "job/model.hpp"

#include <boost/leaf.hpp>

#include <string>
#include <string_view>
#include <tuple>
#include <vector>

namespace lacewingquay::job
{

/// Position of a task: occurrence, step and index within the step, all counted from 0.
struct task_position
{
    int occurrence = 0;
    int step = 0;
    int index = 0;

    friend bool operator==(const task_position&, const task_position&) = default;

    friend bool operator<(const task_position& left, const task_position& right)
    {
        return std::tie(left.occurrence, left.step, left.index) <
               std::tie(right.occurrence, right.step, right.index);
    }
};

/// What is stored of a task that has been started or has ended.
struct task_progress
{
    task_position position;
    bool done = false;
    /// Number of the latest run, from 1.
    int run = 0;
    /// Runs that ended as failed, and the latest of them; an end that is listed twice counts once.
    int failures = 0;
    int failed_run = 0;
    /// Backend server of the latest run if it may still run there, else empty.
    std::string server;
    /// Start of that backend server, in milliseconds since the Unix epoch.
    std::int64_t server_born = 0;
    /// Checkpoint to resume from, or empty.
    std::string checkpoint;

    friend bool operator==(const task_progress&, const task_progress&) = default;
};

/// The stored progress of one job. Tasks that never started are left out.
struct progress
{
    state shown = state::queued;
    /// When the job reached a final state, on the store's steady clock; zero before.
    milliseconds ended{0};
    std::vector<task_progress> tasks;

    friend bool operator==(const progress&, const progress&) = default;
};

[[nodiscard]] std::string_view state_name(state value);
[[nodiscard]] boost::leaf::result<state> parse_state(std::string_view text);

/// Text of a progress row: a line for the job, then a line for each task.
[[nodiscard]] std::string serialize_progress(const progress& value);

/// Reads `serialize_progress`; fails with `input_error` that names the line.
[[nodiscard]] boost::leaf::result<progress> parse_progress(std::string_view text);

/// Reads the state alone, without the tasks.
[[nodiscard]] boost::leaf::result<state> parse_progress_state(std::string_view text);

} // namespace lacewingquay::job
