#include "src/sched/wave_planner.h"

#include <algorithm>
#include <map>

namespace radishwing::sched {
namespace {

// Hosts with lasting tasks that drain at a time in one pool; they take no new
// work meanwhile.
constexpr int kLastingDrainsPerPool = 2;

}  // namespace

std::vector<std::string> ChooseDrains(std::span<const due_host> due,
                                      std::span<const draining_host> draining,
                                      int slots) {
  std::map<std::string, int> lasting_drains;
  for (const draining_host& host : draining) {
    if (host.has_lasting_tasks) {
      ++lasting_drains[host.pool];
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
    if (host.lasting_tasks > 0) {
      if (lasting_drains[host.pool] >= kLastingDrainsPerPool) continue;
      ++lasting_drains[host.pool];
      chosen.push_back(host.name);
    } else if (slots > 0) {
      --slots;
      chosen.push_back(host.name);
    }
  }
  return chosen;
}

}  // namespace radishwing::sched
