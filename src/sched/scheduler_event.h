#pragma once

#include <string>

#include "src/base/clock.h"
#include "src/fleet/task_name.h"

namespace radishwing::sched {

/// Kind of a scheduler decision or observation.
enum class event_kind {
  kTaskStarted,
  kTaskEnded,
  kTaskAdopted,
  kTaskLost,
  kStopOrdered,
  kJobFinished,
};

/// A scheduler decision or observation, for logs and metrics.
struct scheduler_event {
  event_kind kind = event_kind::kTaskStarted;
  fleet::task_name task;
  int run = 0;
  std::string runner;
  std::string detail;  ///< End kind, reason of a stop, or final job phase.
  millis took_ms = 0;  ///< Run time of a task or age of a job.
};

}  // namespace radishwing::sched
