#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "src/base/clock.h"
#include "src/fleet/task_name.h"

namespace radishwing::fleet {

/// How a run of a task ended.
enum class run_end {
  kDone,          ///< The task succeeded.
  kFailed,        ///< The task or the runner failed. An attempt is used up.
  kStopped,       ///< A stop order ended the run.
  kLeaseExpired,  ///< The leader's lease on the runner expired.
  kGangBroken,    ///< Another member of the gang ended.
  kGangTimedOut,  ///< The run timed out waiting for the rest of the gang.
};

/// A run that has not ended, in a runner's listing.
struct listed_run {
  task_name task;
  int run = 0;  ///< Number of the run.
  /// Opaque text that identifies the run's newest checkpoint; may be empty.
  std::string checkpoint;
  /// Progress of the run; 100 for an available long-running task.
  int progress_percent = 0;
  /// Tail latency in ms of a latency-sensitive task; processor use of any other
  /// task.
  double load = 0;
};

/// A run that has ended and whose end the leader has not acknowledged yet.
struct listed_end {
  /// Sequence number of the end, from 1 in each incarnation of the runner.
  std::uint64_t end_number = 0;
  task_name task;
  int run = 0;  ///< Number of the run.
  run_end end_kind = run_end::kFailed;
  /// Opaque text that identifies the run's newest checkpoint; may be empty.
  std::string checkpoint;
};

/// A runner's response to a poll.
struct runner_listing {
  /// Time on the runner's clock, which starts at 0 with each incarnation.
  millis runner_clock_ms = 0;
  /// Unix time at which this incarnation started; 0 if not reported.
  millis started_unix_ms = 0;
  std::vector<listed_run> running;  ///< Runs that have not ended.
  std::vector<listed_end> ended;    ///< Ends that are not acknowledged.
};

}  // namespace radishwing::fleet
