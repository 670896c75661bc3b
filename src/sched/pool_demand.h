#pragma once

#include <cstdint>

namespace radishwing::sched {

/// Current demand of a pool's jobs, and the pool's capacity.
struct pool_demand {
  /// Estimated processor time of the ready tasks for which no runner was found,
  /// in core-milliseconds.
  double blocked_core_ms = 0;
  /// Number of ready long-running tasks for which no runner was found; they
  /// are not part of `blocked_core_ms`.
  int blocked_long_running_tasks = 0;
  /// Processor capacity that runs use, in 1/1000 core.
  std::int64_t used_millicores = 0;
  /// Total processor capacity of the pool's runners that accept tasks, in
  /// 1/1000 core.
  std::int64_t capacity_millicores = 0;
};

}  // namespace radishwing::sched
