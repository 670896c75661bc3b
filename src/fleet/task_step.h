#pragma once

#include <string>
#include <vector>

#include "src/base/clock.h"
#include "src/fleet/resources.h"

namespace radishwing::fleet {

/// One step of a job: `count` equal tasks.
struct task_step {
  int count = 1;
  resources needs;         ///< Of each task.
  millis estimate_ms = 0;  ///< The caller's rough run time of a task.
  std::vector<int> after;  ///< Steps that must be done before this one.
  bool checkpoints = false;
  bool gang = false;       ///< The tasks work only while all of them run.
  bool same_rack = false;  ///< Slower when spread over racks.
  bool allow_copies = false;
  bool long_running = false;
  /// The processor need is not counted against the runner.
  bool fills = false;
  std::string required_label;
  std::string data_rack;  ///< Slower on any other rack; empty for none.
  std::string image;
  int max_per_runner = 0;  ///< 0 for no limit.
  millis target_tail_ms = 0;
  int max_disrupted = 0;  ///< Tasks that may be away through our orders.
  bool bounded_disruption = false;  ///< Whether max_disrupted applies.
};

}  // namespace radishwing::fleet
