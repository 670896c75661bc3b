#pragma once

#include <string>

#include "src/base/clock.h"
#include "src/fleet/task_name.h"

namespace radishwing::sched {

/// Kind of a scheduler decision or observation.
enum class event_kind {
  kTaskStarted,  ///< The scheduler issued a start order.
  kTaskEnded,    ///< A runner listed the end of a run.
  kTaskAdopted,  ///< A runner listed a run that an earlier leader started.
  /// A run did not start, or was lost before a runner listed its end.
  kTaskLost,
  kStopOrdered,
  /// A run has held room on its runner for some time although the runner's
  /// listings do not have it.
  kRunNotListed,
  /// Tasks of a step wait for room at their place although they could start
  /// elsewhere.
  kPlaceWaitStarted,
  kPlaceWaitEnded,  ///< All tasks of the step have started.
  kJobFinished,
  /// The store refuses the progress record of a job, or would refuse it.
  kRecordRefused,
  kTeamHeldBack,  ///< A team has used its share of a pool and has more work.
};

/// A scheduler decision or observation, for logs and metrics.
struct scheduler_event {
  event_kind kind = event_kind::kTaskStarted;
  /// Only the job id is set for kJobFinished and kRecordRefused; empty for
  /// kTeamHeldBack.
  fleet::task_name task;
  int run = 0;  ///< Number of the run; 0 for kJobFinished.
  /// Id of the runner; name of the queue for kJobFinished, of the pool for
  /// kTeamHeldBack, and of the rack for kPlaceWaitStarted.
  std::string runner;
  /// How the run ended, why it was lost or stopped, what a run that is not
  /// listed waits for, why a task no longer waits
  /// for its place, the final phase of the job, why the record is refused, or
  /// the share of the team; empty for other events.
  std::string detail;
  /// Run time for kTaskEnded, time since the start order for kTaskLost and
  /// kStopOrdered, time since the first listing without the run for
  /// kRunNotListed, longest remaining wait for kPlaceWaitStarted, length of the
  /// wait for kPlaceWaitEnded, time since the acceptance of the job otherwise.
  millis elapsed_ms = 0;
  /// For kPlaceWaitStarted, the time until room is expected at the place.
  millis expected_ms = 0;
  /// For kPlaceWaitEnded, the number of tasks that started at the place.
  int near_tasks = 0;
  /// For kPlaceWaitEnded, the number of tasks that started elsewhere.
  int away_tasks = 0;
};

}  // namespace radishwing::sched
