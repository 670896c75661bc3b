#include <algorithm>
#include <map>

#include "review/scenarios.h"

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
  return JudgeTwice(system);
}

}  // namespace review
