#include <algorithm>
#include <map>

#include "review/stand_in/scenarios.h"

namespace review {
using namespace radishwing;
namespace {

constexpr millis kRunMs = 400;
constexpr int kTaskCpu = 4000;
constexpr millis kOutageMs = 1000;

}  // namespace

outcome PlayShortOutage(deployment& system, bool trouble) {
  system.AddService(kRunMs);
  if (!system.WaitUntilReady()) return outcome::kCouldNotRun;
  int next = 1;
  // Some work for each runner. Its ends are acknowledged, then all is quiet.
  for (int round = 0; round < 3; ++round) {
    for (int i = 0; i < 4; ++i) {
      const int number = next++;
      system.Submit(JobId(number), number, JobBody(4, kTaskCpu, kRunMs));
    }
    const bool done = system.RunUntil(10000, [&] {
      system.AskForStates();
      return system.AllSucceeded();
    });
    if (!done) return outcome::kCouldNotRun;
    system.RunFor(100);
  }
  if (trouble) {
    for (runner* entry : system.Rack("rack-1")) entry->LosePower();
  }
  system.RunFor(kOutageMs);
  if (trouble) {
    for (runner* entry : system.Rack("rack-1"))
      entry->StartAgain(false, entry->Kind());
  }
  for (int i = 0; i < 4; ++i) {
    const int number = next++;
    system.Submit(JobId(number), number, JobBody(4, kTaskCpu, kRunMs));
  }
  system.RunUntil(20000, [&] {
    system.AskForStates();
    system.RunFor(100);
    return system.AllSucceeded();
  });
  system.RunFor(2000);
  // TWICE: a start after a run of the task has ended done, if that end is taken
  // note of then or later.
  int twice = 0;
  for (const run_record& first : system.runs) {
    if (first.how != "done" || first.noted_at < 0) continue;
    for (const run_record& later : system.runs) {
      if (later.task != first.task || later.started_at < first.ended_at ||
          &later == &first) {
        continue;
      }
      ++twice;
      system.record.Write(
          "TWICE: task " + first.task + " run " + std::to_string(first.run) +
          " ended done on " + first.runner + " at " +
          std::to_string(first.ended_at) + " ms, noted at " +
          std::to_string(first.noted_at) + " ms; run " +
          std::to_string(later.run) + " started on " + later.runner + " at " +
          std::to_string(later.started_at) + " ms");
    }
  }
  system.record.Write(std::to_string(system.runs.size()) + " runs, " +
                      std::to_string(twice) + " of a task that was done");
  return twice == 0 ? outcome::kHeld : outcome::kBroken;
}

}  // namespace review
