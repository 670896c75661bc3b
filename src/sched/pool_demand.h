#pragma once

#include <cstdint>

namespace radishwing::sched {

/// Current demand of the jobs of a pool, and the pool's capacity.
struct pool_demand {
  /// Estimated processor time of the ready tasks for which no runner was found,
  /// in core-milliseconds.
  double blocked_core_ms = 0;
  /// Number of ready long-running tasks for which no runner was found; they
  /// are not part of `blocked_core_ms`.
  int blocked_long_running = 0;
  std::int64_t used_cpu_millis = 0;      ///< By all runs, in 1/1000 core.
  std::int64_t capacity_cpu_millis = 0;  ///< Of runners that accept tasks.
};

}  // namespace radishwing::sched
