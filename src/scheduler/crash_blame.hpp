#pragma once

#include "core/clock.hpp"
#include "job/progress.hpp"
#include "scheduler/settings.hpp"
#include "worker/model.hpp"

#include <chrono>
#include <cstdint>

/// Decides which tasks are held responsible for crashes of backend servers. A task may crash every
/// server that starts it; other runs on the server are lost with it and must not be given up. A
/// crash is first only suspected, when the server closes its connection, and counts once a later
/// incarnation proves that the process has ended. A server that is silent, cut off or drained, or
/// that ends by the manager's own order, has not crashed.
namespace lacewingquay::scheduler
{

/// What follows from a confirmed crash for one task.
enum class crash_verdict : std::uint8_t
{
    counted,
    /// The task has crashed enough servers and was alone on the last one.
    give_up
};

/// Notes that the server of a run has closed its connection `age` after the run was started; its
/// `at_start` is set. Returns false if the run is too old to be responsible or is noted already.
bool suspect_crash(job::crash_history& history, job::suspected_crash crash, milliseconds age,
                   const settings& values);

/// Handles an answer of the same incarnation: it has not crashed. Returns false if there is no such
/// suspicion.
bool clear_suspicion(job::crash_history& history, const job::suspected_crash& crash);

/// Returns the crashes of a stored task. The server of a suspicion stored by an earlier version is
/// that of the latest run; where that is unknown, the suspicion is dropped.
[[nodiscard]] job::crash_history restored_crashes(const job::task_progress& stored);

/// A run whose server has closed its connection.
struct exposed_run
{
    worker::task_name task;
    job::suspected_crash crash;
    /// When the connection was found closed or, after a takeover, the run was taken over.
    steady_time noticed{};
};

/// True if crashes of the task are counted or suspected.
[[nodiscard]] bool has_crashes(const job::crash_history& history);

/// Handles a run that has worked for longer than a crash takes.
void forget_crashes(job::crash_history& history);

/// True if a crash of the run is still suspected.
[[nodiscard]] bool is_suspected(const job::crash_history& history, int run);

/// Handles the proof that the server of the run has ended.
[[nodiscard]] crash_verdict confirm_crash(job::crash_history& history,
                                          const job::suspected_crash& crash,
                                          const settings& values);

/// True if the task is started only on a server without tasks of other jobs, so that the next crash
/// shows whether it is responsible.
[[nodiscard]] bool needs_isolation(const job::crash_history& history, const settings& values);

/// True if no task of another job may join the task's server, `age` after the task's start.
[[nodiscard]] bool needs_exclusive_server(const job::crash_history& history, milliseconds age,
                                          const settings& values);

} // namespace lacewingquay::scheduler
