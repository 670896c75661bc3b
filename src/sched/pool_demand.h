#pragma once

#include <algorithm>
#include <cstdint>

namespace radishwing::sched {

/// Current demand of a pool's jobs, and the pool's capacity.
struct pool_demand {
  /// Estimated processor time of the ready tasks for which no runner was found,
  /// in core-milliseconds.
  double blocked_core_ms = 0;
  /// Part of `blocked_core_ms` of jobs that can no longer meet their objective.
  double late_core_ms = 0;
  /// Part of `late_core_ms` of jobs that will end too late to be of value.
  double very_late_core_ms = 0;
  /// Number of ready long-running tasks for which no runner was found; they
  /// are not part of `blocked_core_ms`.
  int blocked_long_running_tasks = 0;
  /// Processor capacity that runs use, in 1/1000 core.
  std::int64_t used_millicores = 0;
  /// Part of `used_millicores` of jobs that can no longer meet their objective.
  std::int64_t late_used_millicores = 0;
  /// Total processor capacity of the pool's runners that accept tasks, in
  /// 1/1000 core.
  std::int64_t capacity_millicores = 0;
  /// Estimated processor time of all tasks of the jobs that were added since
  /// the scheduler was created, in core-milliseconds. Long-running tasks are
  /// not part of it.
  double arrived_core_ms = 0;

  /// Returns the blocked work of jobs that can still meet their objective.
  double UsefulCoreMs() const {
    return std::max(0.0, blocked_core_ms - late_core_ms);
  }
};

}  // namespace radishwing::sched
