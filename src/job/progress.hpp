#pragma once

#include "core/error.hpp"
#include "job/model.hpp"

#include <boost/leaf.hpp>

#include <cstddef>
#include <cstdint>
#include <span>
#include <string>
#include <string_view>
#include <tuple>
#include <utility>
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

/// A run whose server has closed its connection, until the server answers again or its end is
/// confirmed.
struct suspected_crash
{
    int run = 0;
    /// True if the run had been started just before.
    bool at_start = false;
    /// True if only tasks of this job were on that server.
    bool alone = false;
    /// Machine of that server, by which a later owner recognises the next incarnation.
    std::string machine;
    /// Empty in rows of an earlier version; the server of the task's latest run is meant.
    std::string server;
    /// Start of that server incarnation, in milliseconds since the Unix epoch.
    std::int64_t born = 0;

    friend bool operator==(const suspected_crash&, const suspected_crash&) = default;
};

/// What is known of backend servers that crashed while they ran a task.
struct crash_history
{
    /// Crashes shortly after the start of one of its runs.
    int crashes = 0;
    /// Number of the latest run that a crash was counted for.
    int crashed_run = 0;
    /// True if it was among the last tasks started before the latest of these crashes.
    bool suspect = false;
    /// Oldest first.
    std::vector<suspected_crash> suspicions;

    friend bool operator==(const crash_history&, const crash_history&) = default;
};

/// Stored progress of a task that has been started or has ended.
struct task_progress
{
    task_position position;
    bool done = false;
    /// Number of the latest run, from 1.
    int run = 0;
    /// Runs that ended as failed; an end that is reported twice counts once.
    int failures = 0;
    /// Number of the latest failed run.
    int failed_run = 0;
    /// Backend server of the latest run if it may still run there, else empty.
    std::string server;
    /// Start of that server incarnation, in milliseconds since the Unix epoch.
    std::int64_t server_born = 0;
    /// Checkpoint to resume from, or empty.
    std::string checkpoint;
    crash_history crashes{};
    /// Machine of `server`, by which a later owner recognises the next incarnation; may be empty.
    std::string machine{};

    friend bool operator==(const task_progress&, const task_progress&) = default;
};

/// The stored progress of one job. Tasks that have never started are omitted.
struct progress
{
    state reported_state = state::queued;
    /// When the job reached a final state, on the store's steady clock; zero before.
    milliseconds ended{0};
    /// A run of one of its tasks is known to have begun.
    bool begun = false;
    std::vector<task_progress> tasks;
    /// Numbers of the rows behind the first, from 1, from which tasks were read.
    std::vector<std::int64_t> further_rows{};

    friend bool operator==(const progress&, const progress&) = default;
};

[[nodiscard]] std::string_view state_name(state value);
[[nodiscard]] boost::leaf::result<state> parse_state(std::string_view text);

/// Returns the text of a job's first progress row: a line for the job, then a line for each task. A
/// task's crash history and the machine of its server follow the start of its server, separated by
/// slashes, if there are any. Texts that a line cannot hold as they are, such as a checkpoint with
/// a line feed, are percent-encoded, which a percent sign at the start of the line tells. A job
/// with many tasks has further rows, which `serialize_tasks` returns.
[[nodiscard]] std::string serialize_progress(const progress& value);

/// Returns the text of a further progress row: a line for each task.
[[nodiscard]] std::string serialize_tasks(std::span<const task_progress> tasks);

/// Shortens what is stored of a task so that its line has at most `limit` bytes: without its
/// suspected crashes, then without its checkpoint. Returns false if that was necessary.
bool fit_line(task_progress& task, std::size_t limit);

/// Key of a progress row of a job: the job's id, with the number of a further row.
[[nodiscard]] std::string progress_key(std::string_view job, std::int64_t row);

/// The inverse of `progress_key`: the job's id and the number of the row, 0 for the first.
[[nodiscard]] std::pair<std::string, std::int64_t> parse_progress_key(std::string_view key);

/// Parses the text of `serialize_progress`; fails with an `input_error` that quotes the line.
[[nodiscard]] boost::leaf::result<progress> parse_progress(std::string_view text);

/// Parses the text of `serialize_tasks`; fails with an `input_error` that quotes the line.
[[nodiscard]] boost::leaf::result<std::vector<task_progress>> parse_tasks(std::string_view text);

/// Parses the job state only, without the tasks.
[[nodiscard]] boost::leaf::result<state> parse_progress_state(std::string_view text);

} // namespace lacewingquay::job
