// Case 13: a queue with advice, before and after empty runners are added.

#include <cstdlib>
#include <cstring>
#include <iostream>
#include <string>

#include "review/world-3/world.h"

namespace {

using namespace review;

constexpr int kRunners = 22;
constexpr int kAddedRunners = 6;  // A share of 0.27.
constexpr millis kFinishMs = 14000;
constexpr millis kIdleMs = 3000;

void AddRunner(world& deployment, int i) {
  deployment.AddRunner({.id = "",
                        .pool = "huvo11a",
                        .zone = "z" + std::to_string(i % 3 + 1),
                        .rack = "r" + std::to_string(i / 4),
                        .address = ""});
}

std::string SubmitJob(world& deployment, int node) {
  job_plan job = deployment.MakeJob("checked", "cugo130");
  step_plan step;
  step.count = 4;
  step.cpu = 880;
  step.estimate_ms = 640;
  step.run_ms = 640;
  job.steps = {step};
  const std::string id = job.id;
  deployment.Submit(std::move(job), node);
  return id;
}

bool HasBegun(world& deployment, const std::string& id) {
  for (int i = 0; i < 4; ++i) {
    if (!deployment.Book().Runs(id + ".0.0." + std::to_string(i)).empty()) {
      return true;
    }
  }
  return false;
}

}  // namespace

int main(int argc, char** argv) {
  if (argc != 3) return 2;
  const char* setting = std::getenv("TROUBLE");
  const bool trouble = !setting || std::strcmp(setting, "0") != 0;
  world_plan plan;
  plan.queues = {
      {"checked", "/puxa400/", "huvo11a", 1, 4, 1.6, 600, 200, 100, 3000}};
  plan.pools = {"huvo11a"};
  plan.tenants = {"cugo130"};
  plan.cap_cpu = 200000;
  world deployment(plan, argv[1], argv[2]);
  for (int i = 0; i < kRunners; ++i) AddRunner(deployment, i);
  if (!deployment.Start()) return 2;
  const std::string before = SubmitJob(deployment, 0);
  if (!deployment.RunUntil(kFinishMs,
                           [&] { return HasBegun(deployment, before); })) {
    return 2;
  }
  deployment.RunFor(2000);
  if (trouble) {
    deployment.Book().Note("empty runners are added");
    for (int i = 0; i < kAddedRunners; ++i) {
      AddRunner(deployment, kRunners + i);
      deployment.RunFor(2000);
    }
  } else {
    deployment.RunFor(2000 * kAddedRunners);
  }
  const std::string after = SubmitJob(deployment, 1);
  deployment.RunFor(kFinishMs + kIdleMs);
  if (deployment.Book().FindJob(after)->accepted &&
      !HasBegun(deployment, after)) {
    // It is watched for as long again, to show that no wait ends it.
    deployment.RunFor(kFinishMs + kIdleMs);
    deployment.Book().Break(
        "LOST",
        after + " was accepted and nothing of it has run " +
            (HasBegun(deployment, after) ? "in time" : "at all") +
            ", calls for advice: " + std::to_string(deployment.AdviceCalls()));
  }
  for (const std::string& broken : deployment.Book().Breaks()) {
    std::cout << broken << '\n';
  }
  return deployment.Book().Broken() ? 1 : 0;
}
