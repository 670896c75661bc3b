#pragma once

#include <string>
#include <vector>

#include "src/base/clock.h"
#include "src/fleet/resources.h"

namespace radishwing::fleet {

/// A step of a job, which consists of `count` equal tasks.
struct task_step {
  int count = 1;
  resources needs;         ///< Of each task.
  millis estimate_ms = 0;  ///< Run time of a task, estimated by the caller.
  std::vector<int> after;  ///< Indexes of the steps that it depends on.
  bool checkpoints = false;
  bool gang = false;       ///< Gang-scheduled: progress needs all tasks.
  bool same_rack = false;  ///< Slower if spread over several racks.
  bool allow_copies = false;
  bool long_running = false;
  /// Best effort: the processor need does not count against the runner.
  bool fills = false;
  std::string required_label;
  std::string data_rack;  ///< Slower on other racks; empty for none.
  std::string image;
  int max_per_runner = 0;  ///< 0 for no limit.
  millis target_tail_ms = 0;
  int max_disrupted = 0;  ///< Tasks that orders may make unavailable at once.
  bool bounded_disruption = false;  ///< Whether max_disrupted applies.
};

}  // namespace radishwing::fleet
