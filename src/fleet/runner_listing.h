#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "src/base/clock.h"
#include "src/fleet/task_name.h"

namespace radishwing::fleet {

/// How a run of a task ended.
enum class run_end {
  kDone,
  kFailed,        ///< Task or runner failure; uses up an attempt.
  kStopped,       ///< By a stop order.
  kLeaseExpired,  ///< Its lease expired.
  kGangBroken,    ///< Another member of its gang ended.
  kGangTimedOut,  ///< Timed out waiting for the rest of its gang.
};

/// A run that exists on a runner.
struct listed_run {
  task_name task;
  int run = 0;
  std::string checkpoint;
  int percent = 0;  ///< Progress; 100 for an available long-running task.
  /// Tail latency in ms for a latency-sensitive task, else processor use.
  double load = 0;
};

/// A run that has ended and whose end is not acknowledged yet.
struct listed_end {
  std::uint64_t number = 0;  ///< Counts from 1 in each incarnation.
  task_name task;
  int run = 0;
  run_end end_kind = run_end::kFailed;
  std::string checkpoint;
};

/// A runner's response to a poll.
struct runner_listing {
  millis runner_clock_ms = 0;
  millis started_unix_ms = 0;  ///< 0 if not reported.
  std::vector<listed_run> running;
  std::vector<listed_end> ended;
};

}  // namespace radishwing::fleet
