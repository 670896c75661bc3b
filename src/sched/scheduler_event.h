#pragma once

#include <string>

#include "src/base/clock.h"
#include "src/fleet/task_name.h"

namespace radishwing::sched {

/// What the scheduler decided or learned.
enum class event_kind {
  kTaskStarted,
  kTaskEnded,
  kTaskAdopted,
  kTaskLost,
  kStopOrdered,
  kJobFinished,
};

/// One decision, for logs and metrics.
struct scheduler_event {
  event_kind kind = event_kind::kTaskStarted;
  fleet::task_name task;
  int run = 0;
  std::string runner;
  std::string detail;  ///< How it ended, why it was stopped, the final state.
  millis took_ms = 0;  ///< Run time of a task, age of a job.
};

}  // namespace radishwing::sched
