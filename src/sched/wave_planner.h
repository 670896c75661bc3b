#pragma once

#include <span>
#include <string>
#include <vector>

namespace radishwing::sched {

/// A host that is due for maintenance and is not draining yet.
struct due_host {
  std::string name;
  std::string pool;
  int tasks = 0;               ///< All tasks on it.
  int long_running_tasks = 0;  ///< Those that never end by themselves.
};

/// A host that is draining for maintenance.
struct draining_host {
  std::string pool;
  bool has_long_running_tasks = false;
};

/// Chooses the hosts to start draining now. Hosts with long-running tasks take
/// longest, because a step may lose only one task at a time, so a few of them
/// in each pool start draining at the beginning of the wave. The other hosts,
/// those with the fewest tasks first, share `slots`, the number of hosts that
/// may be down at once.
std::vector<std::string> ChooseDrains(std::span<const due_host> due,
                                      std::span<const draining_host> draining,
                                      int slots);

}  // namespace radishwing::sched
