#pragma once

#include <cstdint>

namespace radishwing::sched {

/// What the jobs of a pool ask for at the moment.
struct pool_demand {
  /// Processor time of the tasks that could start and found no runner, in
  /// core-milliseconds.
  double blocked_core_ms = 0;
  /// Tasks without an end among them: each needs a place now.
  int blocked_lasting = 0;
  std::int64_t used_cpu_millis = 0;  ///< Of all runs, thousandths of a core.
  std::int64_t room_cpu_millis = 0;  ///< Of the runners that take work.
};

}  // namespace radishwing::sched
