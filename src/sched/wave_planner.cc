#include "src/sched/wave_planner.h"

#include <algorithm>
#include <map>

namespace radishwing::sched {
namespace {

// Maximum number of hosts with long-running tasks that drain at once in a pool.
// The limit leaves hosts for new tasks, as a draining host accepts none.
constexpr int kMaxLongRunningDrains = 2;

}  // namespace

std::vector<std::string> ChooseHostsToDrain(
    std::span<const due_host> due, std::span<const draining_host> draining,
    int free_slots) {
  std::map<std::string, int> long_running_drains;
  for (const draining_host& host : draining) {
    if (host.has_long_running_tasks) {
      ++long_running_drains[host.pool];
    } else {
      --free_slots;
    }
  }
  std::vector<due_host> sorted(due.begin(), due.end());
  std::ranges::stable_sort(sorted, [](const due_host& a, const due_host& b) {
    return a.task_count < b.task_count;
  });
  std::vector<std::string> chosen;
  for (const due_host& host : sorted) {
    if (host.long_running_task_count > 0) {
      if (long_running_drains[host.pool] >= kMaxLongRunningDrains) continue;
      ++long_running_drains[host.pool];
      chosen.push_back(host.name);
    } else if (free_slots > 0) {
      --free_slots;
      chosen.push_back(host.name);
    }
  }
  return chosen;
}

}  // namespace radishwing::sched
