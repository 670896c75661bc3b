#include "review/scenarios.h"

namespace review {
using namespace radishwing;
namespace {

constexpr millis kRunMs = 700;
constexpr int kTaskCpu = 4000;
constexpr millis kOutageMs = 2500;

}  // namespace

outcome PlayNewAddress(deployment& system, bool trouble) {
  system.AddService(kRunMs);
  if (!system.WaitUntilReady()) return outcome::kCouldNotRun;
  system.SubmitFor(4000, JobBody(4, kTaskCpu, kRunMs));
  if (trouble) {
    for (runner* entry : system.Rack("rack-1")) entry->LosePower();
  }
  system.SubmitFor(kOutageMs, JobBody(4, kTaskCpu, kRunMs));
  if (trouble) {
    for (runner* entry : system.Rack("rack-1")) {
      entry->StartAgain(true, entry->Kind());
      system.RunFor(120);
    }
  }
  system.SubmitFor(6000, JobBody(4, kTaskCpu, kRunMs));
  return JudgeLost(system);
}

}  // namespace review
