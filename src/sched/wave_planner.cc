#include "src/sched/wave_planner.h"

#include <algorithm>
#include <map>

namespace radishwing::sched {
namespace {

// Maximum number of hosts with long-running tasks that drain at once in a pool.
// Bounded because a draining host takes no new tasks.
constexpr int kLongRunningDrainsPerPool = 2;

}  // namespace

std::vector<std::string> ChooseDrains(std::span<const due_host> due,
                                      std::span<const draining_host> draining,
                                      int slots) {
  std::map<std::string, int> long_running_drains;
  for (const draining_host& host : draining) {
    if (host.has_long_running_tasks) {
      ++long_running_drains[host.pool];
    } else {
      --slots;
    }
  }
  std::vector<due_host> sorted(due.begin(), due.end());
  std::ranges::stable_sort(sorted, [](const due_host& a, const due_host& b) {
    return a.tasks < b.tasks;
  });
  std::vector<std::string> chosen;
  for (const due_host& host : sorted) {
    if (host.long_running_tasks > 0) {
      if (long_running_drains[host.pool] >= kLongRunningDrainsPerPool) continue;
      ++long_running_drains[host.pool];
      chosen.push_back(host.name);
    } else if (slots > 0) {
      --slots;
      chosen.push_back(host.name);
    }
  }
  return chosen;
}

}  // namespace radishwing::sched
