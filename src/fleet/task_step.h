#pragma once

#include <string>
#include <vector>

#include "src/base/clock.h"
#include "src/fleet/resources.h"

namespace radishwing::fleet {

/// A step of a job. It consists of `count` tasks with the same needs.
struct task_step {
  int count = 1;           ///< Number of tasks.
  resources needs;         ///< Resources that each task needs.
  millis estimate_ms = 0;  ///< Run time of a task, estimated by the caller.
  /// Indexes of the steps that must end before this step starts.
  std::vector<int> predecessors;
  bool writes_checkpoints = false;  ///< Tasks write checkpoints to resume from.
  /// Gang-scheduled: a task makes progress only while all tasks of the step
  /// run.
  bool gang = false;
  bool same_rack = false;  ///< Tasks run slower if spread over several racks.
  /// A task may have two runs at once: the second one is a speculative copy.
  bool speculative = false;
  bool long_running = false;  ///< Tasks never end by themselves.
  /// Tasks use only spare processor time: their processor needs do not count
  /// against the runner's capacity.
  bool best_effort_cpu = false;
  std::string required_label;  ///< Runner label; empty if any runner will do.
  /// Rack of the input data; tasks run slower on other racks. Empty if none.
  std::string data_rack;
  std::string image;  ///< Image as requested; the scheduler does not use it.
  /// Maximum number of the step's tasks on one runner; 0 for no limit.
  int max_per_runner = 0;
  /// Target for the tail latency of each task; 0 if the tasks are not
  /// latency-sensitive.
  millis tail_latency_target_ms = 0;
  /// Disruption budget: the leader stops a task only while fewer than this
  /// number of the step's other tasks are unavailable.
  int max_unavailable = 0;
  bool has_disruption_budget = false;  ///< True if max_unavailable applies.
};

}  // namespace radishwing::fleet
