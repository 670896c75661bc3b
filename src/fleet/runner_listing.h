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
  kFailed,      ///< Through its own fault or the runner's; uses an attempt.
  kStopped,     ///< By our order.
  kLapsed,      ///< Its lease ran out.
  kGangBroken,  ///< Another member of its gang ended.
  kGangAlone,   ///< It waited too long for the rest of its gang.
};

/// A run that a runner has at the moment.
struct listed_run {
  task_name task;
  int run = 0;
  std::string checkpoint;
  int percent = 0;  ///< Of its work; 100 for a long-running task at work.
  double load = 0;  ///< Tail in ms for a serving task, else processor in use.
};

/// A run that has ended and is not acknowledged yet.
struct listed_end {
  std::uint64_t number = 0;  ///< Grows from 1 in each life of the runner.
  task_name task;
  int run = 0;
  run_end how = run_end::kFailed;
  std::string checkpoint;
};

/// A runner's answer to a look at it.
struct runner_listing {
  millis runner_clock_ms = 0;
  millis born_unix_ms = 0;  ///< 0 if it was not said.
  std::vector<listed_run> running;
  std::vector<listed_end> ended;
};

}  // namespace radishwing::fleet
