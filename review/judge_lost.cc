#include <set>

#include "review/scenarios.h"

namespace review {
using namespace radishwing;
namespace {

constexpr millis kFinishMs = 14000;  // finish_s
constexpr millis kIdleMs = 3000;  // A job may have nothing running this long.

}  // namespace

outcome JudgeLost(deployment& system) {
  system.record.Write("end of the traffic");
  system.RunFor(kFinishMs);
  // LOST: finish_s after the end of the traffic, a job has nothing running for
  // 3 s, although there is room for it.
  std::set<std::string> idle;
  for (const auto& [id, job] : system.jobs) {
    if (job.accepted_at >= 0) idle.insert(id);
  }
  const millis until = system.record.Now() + kIdleMs;
  while (system.record.Now() < until) {
    system.AskForStates();
    system.RunFor(100);
    int used = 0;
    int capacity = 0;
    for (const auto& entry : system.runners) {
      used += entry->RunningCpu();
      capacity += entry->Kind().cpu;
      std::erase_if(idle, [&](const auto& id) { return entry->Runs(id); });
    }
    // The rule holds while under half of the capacity is in use.
    if (used * 2 >= capacity) idle.clear();
  }
  system.RunFor(3000);
  std::erase_if(idle, [&](const auto& id) {
    return system.jobs[id].state == "succeeded";
  });
  std::size_t accepted = 0;
  for (const auto& [id, job] : system.jobs) accepted += job.accepted_at >= 0;
  for (const std::string& id : idle) {
    system.record.Write("LOST: job " + id + " is shown as " +
                        system.jobs[id].state +
                        ", nothing of it has run for 3 s, all runners idle");
  }
  system.record.Write(std::to_string(accepted) + " jobs accepted, " +
                      std::to_string(idle.size()) + " lost");
  if (accepted == 0) return outcome::kCouldNotRun;
  return idle.empty() ? outcome::kHeld : outcome::kBroken;
}

}  // namespace review
