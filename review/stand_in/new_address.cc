#include <algorithm>
#include <set>

#include "review/stand_in/scenarios.h"

namespace review {
using namespace radishwing;
namespace {

constexpr millis kRunMs = 700;
constexpr int kTaskCpu = 4000;
constexpr millis kOutageMs = 2500;
constexpr millis kFinishMs = 14000;  // finish_s
constexpr millis kIdleMs = 3000;     // LOST: a job has nothing running for 3 s.

}  // namespace

outcome PlayNewAddress(deployment& system, bool trouble) {
  system.AddService(kRunMs);
  if (!system.WaitUntilReady()) return outcome::kCouldNotRun;
  auto submit_for = [&, next = 1](millis time) mutable {
    const millis until = system.record.Now() + time;
    while (system.record.Now() < until) {
      const int number = next++;
      system.Submit(JobId(number), number, JobBody(4, kTaskCpu, kRunMs));
      system.RunFor(250);
    }
  };
  submit_for(4000);
  if (trouble) {
    for (runner* entry : system.Rack("rack-1")) entry->LosePower();
  }
  submit_for(kOutageMs);
  if (trouble) {
    for (runner* entry : system.Rack("rack-1")) {
      entry->StartAgain(true, entry->Kind());
      system.RunFor(120);
    }
  }
  submit_for(6000);
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
