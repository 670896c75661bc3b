#include "review/scenarios.h"

namespace review {
using namespace radishwing;
namespace {

constexpr millis kRunMs = 400;
constexpr int kTaskCpu = 1000;
// Time after its end for which a job is kept: the setting status_s, which is
// 20 s here, and 60 s more that the node adds.
constexpr millis kKeptMs = 80000;
constexpr millis kOutageMs = 3000;
// 20 jobs a second, as many as the site has.
constexpr millis kIntervalMs = 50;

}  // namespace

outcome PlayStoreOutage(deployment& system, bool trouble) {
  const std::string body = JobBody(2, kTaskCpu, kRunMs);
  system.AddService(kRunMs);
  if (!system.WaitUntilReady()) return outcome::kCouldNotRun;
  const millis began_at = system.record.Now();
  system.SubmitFor(kOutageMs + 3000, body, kIntervalMs);
  system.RunFor(began_at + kKeptMs + 1500 - system.record.Now());
  // Now the first jobs are dropped, one after the other. New jobs come.
  system.SubmitFor(500, body, kIntervalMs);
  if (trouble) system.store.SetDown(true);
  system.SubmitFor(kOutageMs, body, kIntervalMs);
  if (trouble) system.store.SetDown(false);
  system.SubmitFor(4000, body, kIntervalMs);
  system.RunFor(3000);
  return JudgeTwice(system);
}

}  // namespace review
