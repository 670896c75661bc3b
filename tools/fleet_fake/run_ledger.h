#pragma once

#include <map>
#include <string>

namespace radishwing::fleet_fake {

/// What all workers together have seen of each task.
struct run_ledger {
  struct entry {
    int starts = 0;
    int running = 0;
    int done = 0;
    bool doubled = false;  ///< Two runs at once, or a start after the end.
  };
  std::map<std::string, entry> tasks;

  void Started(const std::string& task) {
    entry& seen = tasks[task];
    if (seen.running > 0 || seen.done > 0) seen.doubled = true;
    ++seen.starts;
    ++seen.running;
  }
  void Ended(const std::string& task, bool done) {
    entry& seen = tasks[task];
    --seen.running;
    if (done) ++seen.done;
  }
  int Doubled() const {
    int count = 0;
    for (const auto& [task, seen] : tasks) count += seen.doubled ? 1 : 0;
    return count;
  }
};

}  // namespace radishwing::fleet_fake
