#pragma once

#include <string>
#include <vector>

#include "src/base/clock.h"
#include "src/sched/run_state.h"

namespace radishwing::sched {

/// State of one task of one repetition of a job.
struct task_state {
  bool done = false;  ///< The task succeeded; in a gang, any member did.
  /// Numbers of the runs that used up an attempt. Their ends may be reported
  /// out of order and, after a leader change, more than once.
  std::vector<int> failed_runs;
  int last_run = 0;       ///< Highest run number ever used.
  millis not_before = 0;  ///< Earliest time of the next start order.
  /// Opaque text from a runner that identifies the newest checkpoint; empty if
  /// there is none.
  std::string checkpoint;
  /// Id of the runner of the last failed or stuck run; empty if there is none.
  std::string last_failed_runner;
  std::vector<run_state> runs;  ///< Runs that may exist on a runner.
};

}  // namespace radishwing::sched
