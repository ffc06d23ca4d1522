#pragma once

#include "core/clock.hpp"
#include "job/model.hpp"
#include "scheduler/state.hpp"

namespace lacewingquay::scheduler
{

/// Sum of the estimates along the longest chain of steps.
[[nodiscard]] std::chrono::milliseconds longest_chain(const job::definition& work);

/// Estimated core seconds of all tasks.
[[nodiscard]] double core_seconds(const job::definition& work);

/// Sum of the estimates along the longest chain of steps that are not done.
[[nodiscard]] std::chrono::milliseconds remaining_chain(const job_state& job,
                                                        const occurrence_state& occurrence);

/// Estimated core seconds of the tasks that are not done.
[[nodiscard]] double remaining_work(const job_state& job, const occurrence_state& occurrence);

} // namespace lacewingquay::scheduler
