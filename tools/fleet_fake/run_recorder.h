#pragma once

#include <map>
#include <string>

namespace radishwing::fleet_fake {

/// Records the runs of each task across all workers, to detect duplicate runs.
struct run_recorder {
  struct task_history {
    int starts = 0;
    int running = 0;
    int completed = 0;
    bool duplicated = false;  ///< Concurrent runs, or a start after completion.
  };
  std::map<std::string, task_history> tasks;

  void RecordStart(const std::string& task) {
    task_history& history = tasks[task];
    if (history.running > 0 || history.completed > 0) history.duplicated = true;
    ++history.starts;
    ++history.running;
  }
  void RecordEnd(const std::string& task, bool done) {
    task_history& history = tasks[task];
    --history.running;
    if (done) ++history.completed;
  }
  int DuplicatedCount() const {
    int count = 0;
    for (const auto& [task, history] : tasks)
      count += history.duplicated ? 1 : 0;
    return count;
  }
};

}  // namespace radishwing::fleet_fake
