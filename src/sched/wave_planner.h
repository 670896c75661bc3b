#pragma once

#include <span>
#include <string>
#include <vector>

namespace radishwing::sched {

/// A host that is due for maintenance and is not draining yet.
struct due_host {
  std::string name;    ///< Name of the host.
  std::string pool;    ///< Name of the host's pool.
  int task_count = 0;  ///< Number of all tasks on the host.
  /// Number of tasks on the host that never end by themselves.
  int long_running_task_count = 0;
};

/// A host that is draining for maintenance.
struct draining_host {
  std::string pool;  ///< Name of the host's pool.
  /// True if the host has tasks that never end by themselves.
  bool has_long_running_tasks = false;
};

/// Returns the names of the `due` hosts to start draining now. In each pool a
/// few hosts with long-running tasks drain at once. These hosts take longest,
/// because a step may lose only one task at a time. Of the hosts without
/// long-running tasks, at most `free_slots` drain at once, and the hosts with
/// the fewest tasks come first. `free_slots` is the number of hosts that may go
/// down in addition to the hosts that are down already.
std::vector<std::string> ChooseHostsToDrain(
    std::span<const due_host> due, std::span<const draining_host> draining,
    int free_slots);

}  // namespace radishwing::sched
