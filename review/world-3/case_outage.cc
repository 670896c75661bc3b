// Case 11: lasting tasks and accepted jobs after two short outages of the store
// that follow each other.

#include <cstdlib>
#include <cstring>
#include <functional>
#include <iostream>
#include <string>
#include <vector>

#include "review/world-3/world.h"

namespace {

using namespace review;

constexpr int kRunners = 24;
constexpr int kMaxPairs = 5;
// As in day.toml.
constexpr millis kFirstOutageMs = 4000;
constexpr millis kUpBetweenMs = 100;
constexpr millis kSecondOutageMs = 5200;
// A lasting task has to be at work again from 6 s after its last run, a job
// must not have nothing at work for 3 s; both with the 4 s before calm.
constexpr millis kMaxIdleMs = 6000 + 3000;
constexpr millis kObservedMs = 24000;
constexpr millis kRecoveredMs = 8000;

class outage_case {
 public:
  explicit outage_case(world& deployment) : world_(deployment) {}

  void SubmitLastingJobs() {
    for (int i = 0; i < kRunners / 4; ++i) {
      job_plan job = world_.MakeJob("lasting", "cugo130");
      step_plan step;
      step.count = 4;
      step.cpu = 9000;  // One on each runner.
      step.long_running = true;
      step.anti_affinity = 1;
      step.may_miss = 1;
      job.steps = {step};
      lasting_.push_back(job.id);
      world_.Submit(std::move(job), i % world_.NodeCount());
    }
  }

  std::string SubmitQuickJob() {
    job_plan job = world_.MakeJob("quick", "cugo130");
    step_plan step;
    step.count = 2;
    step.cpu = 880;
    step.run_ms = 640;
    step.estimate_ms = 640;
    job.steps = {step};
    const std::string id = job.id;
    world_.Submit(std::move(job),
                  static_cast<int>(world_.Random()() %
                                   static_cast<unsigned>(world_.NodeCount())));
    return id;
  }

  void RunWithTraffic(millis duration) {
    for (millis t = 0; t < duration; t += 100) {
      if (t % 300 == 0) SubmitQuickJob();
      world_.RunFor(100);
    }
  }

  /// Number of lasting tasks that no runner has at work for `idle_ms`.
  int CountIdleTasks(millis idle_ms) {
    int idle = 0;
    for (const std::string& id : lasting_) {
      if (!world_.Book().FindJob(id)->accepted) continue;
      for (int i = 0; i < 4; ++i) {
        const std::string task = id + ".0.0." + std::to_string(i);
        millis last_end = 0;
        bool active = false;
        for (const book::run& run : world_.Book().Runs(task)) {
          active |= run.how.empty() && !run.lost;
          last_end = std::max(last_end, run.ended_at);
        }
        if (!active && world_.Book().Now() - last_end >= idle_ms) ++idle;
      }
    }
    return idle;
  }

  void Outage(millis duration) {
    world_.Book().Note("the store is down");
    world_.Store().SetModeForAll(store_mode::kReset);
    RunWithTraffic(duration);
    world_.Store().SetModeForAll(store_mode::kUp);
    world_.Book().Note("the store is up");
  }

  /// Two outages, then calm. Returns false if tasks stay idle.
  bool SurvivesPair(bool trouble) {
    if (trouble) {
      Outage(kFirstOutageMs);
      world_.RunFor(kUpBetweenMs);
      Outage(kSecondOutageMs);
    } else {
      RunWithTraffic(kFirstOutageMs + kUpBetweenMs + kSecondOutageMs);
    }
    const millis calm_since = world_.Book().Now();
    world_.RunFor(4000);
    const std::string job = SubmitQuickJob();
    world_.RunFor(kRecoveredMs - 4000);
    const auto recovered = [&] {
      return CountIdleTasks(0) == 0 && world_.Book().IsDone(job + ".0.0.0") &&
             world_.Book().IsDone(job + ".0.0.1");
    };
    if (recovered()) return true;
    world_.RunUntil(calm_since + kObservedMs - world_.Book().Now(), recovered);
    const int idle = CountIdleTasks(kMaxIdleMs);
    if (idle > 0) {
      world_.Book().Break(
          "LOST", std::to_string(idle) + " lasting tasks are not at work");
    }
    if (world_.Book().FindJob(job)->accepted &&
        world_.Book().Runs(job + ".0.0.0").empty()) {
      world_.Book().Break(
          "LOST", "the job " + job + " was accepted and nothing of it runs");
    }
    return !world_.Book().Broken();
  }

 private:
  world& world_;
  std::vector<std::string> lasting_;
};

}  // namespace

int main(int argc, char** argv) {
  if (argc != 3) return 2;
  const char* setting = std::getenv("TROUBLE");
  const bool trouble = !setting || std::strcmp(setting, "0") != 0;
  world_plan plan;
  plan.queues = {{"quick", "/puxa400/", "huvo11a"},
                 {"lasting", "/bobo563/", "huvo11a"}};
  plan.pools = {"huvo11a"};
  plan.tenants = {"cugo130"};
  world deployment(plan, argv[1], argv[2]);
  for (int i = 0; i < kRunners; ++i) {
    deployment.AddRunner({.id = "",
                          .pool = "huvo11a",
                          .zone = "z" + std::to_string(i % 3 + 1),
                          .rack = "r" + std::to_string(i / 4),
                          .address = ""});
  }
  if (!deployment.Start()) return 2;
  outage_case tested(deployment);
  tested.SubmitLastingJobs();
  if (!deployment.RunUntil(5000,
                           [&] { return tested.CountIdleTasks(0) == 0; })) {
    return 2;
  }
  deployment.RunFor(1500);
  for (int pair = 0; pair < kMaxPairs; ++pair) {
    if (!tested.SurvivesPair(trouble)) break;
  }
  for (const std::string& broken : deployment.Book().Breaks()) {
    std::cout << broken << '\n';
  }
  return deployment.Book().Broken() ? 1 : 0;
}
