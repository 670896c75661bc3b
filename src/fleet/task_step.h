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
  bool speculative = false;
  bool long_running = false;
  /// Best effort: the processor need does not count against the runner.
  bool best_effort_cpu = false;
  std::string required_label;
  std::string data_rack;  ///< Slower on other racks; empty for none.
  std::string image;
  int max_per_runner = 0;  ///< 0 for no limit.
  millis tail_latency_target_ms = 0;
  int max_unavailable = 0;  ///< Tasks that orders may make unavailable at once.
  bool has_disruption_budget = false;  ///< Whether max_unavailable applies.
};

}  // namespace radishwing::fleet
