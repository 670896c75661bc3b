#pragma once

#include <map>
#include <string>

namespace radishwing::fleet_fake {

/// Records the runs of each task on all runners, to detect duplicate runs.
struct run_recorder {
  struct task_history {
    int started_runs = 0;
    int active_runs = 0;
    int completed_runs = 0;
    /// True if two runs were active at once, or a run started after another run
    /// had completed the task.
    bool duplicated = false;
  };
  std::map<std::string, task_history> tasks;  ///< By task name.

  void RecordStart(const std::string& task) {
    task_history& history = tasks[task];
    if (history.active_runs > 0 || history.completed_runs > 0)
      history.duplicated = true;
    ++history.started_runs;
    ++history.active_runs;
  }
  /// Records the end of a run of `task`. `completed` is true if the run
  /// completed the task, and false if it was stopped or its lease expired.
  void RecordEnd(const std::string& task, bool completed) {
    task_history& history = tasks[task];
    --history.active_runs;
    if (completed) ++history.completed_runs;
  }
  /// Returns the number of tasks with duplicate runs.
  int DuplicatedTaskCount() const {
    int count = 0;
    for (const auto& [task, history] : tasks)
      count += history.duplicated ? 1 : 0;
    return count;
  }
};

}  // namespace radishwing::fleet_fake
