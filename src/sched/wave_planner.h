#pragma once

#include <span>
#include <string>
#include <vector>

namespace radishwing::sched {

/// A host that is due for maintenance and has not begun to drain.
struct due_host {
  std::string name;
  std::string pool;
  int tasks = 0;          ///< That run on it.
  int lasting_tasks = 0;  ///< Of these, the ones that never end by themselves.
};

/// A host that drains for maintenance.
struct draining_host {
  std::string pool;
  bool has_lasting_tasks = false;
};

/// Chooses the hosts that begin to drain now. Hosts with lasting tasks take
/// longest, as a step loses one task at a time, so a few in each pool drain
/// from the start of the wave; the emptiest of the others fill `slots`, the
/// hosts that may go down at once.
std::vector<std::string> ChooseDrains(std::span<const due_host> due,
                                      std::span<const draining_host> draining,
                                      int slots);

}  // namespace radishwing::sched
