#pragma once

#include <span>
#include <string>
#include <vector>

namespace radishwing::sched {

/// A host that is due for maintenance and is not draining yet.
struct due_host {
  std::string name;
  std::string pool;
  int tasks = 0;  ///< Number of all tasks on the host.
  int long_running_tasks =
      0;  ///< Number of tasks that never end by themselves.
};

/// A host that is draining for maintenance.
struct draining_host {
  std::string pool;
  bool has_long_running_tasks = false;
};

/// Returns the names of the `due` hosts to start draining now. Hosts with
/// long-running tasks drain longest, because a step may lose only one task at a
/// time, so a few of them in each pool start first and take no slot; each other
/// host, those with the fewest tasks first, takes one of `free_slots`.
///
/// `free_slots` is how many more hosts may be down; the hosts in `draining`
/// without long-running tasks already take one slot each.
std::vector<std::string> ChooseDrains(std::span<const due_host> due,
                                      std::span<const draining_host> draining,
                                      int free_slots);

}  // namespace radishwing::sched
