// Case 12: small jobs beside large ones that find no empty worker.

#include <cstdlib>
#include <cstring>
#include <iostream>
#include <string>
#include <vector>

#include "review/world-3/world.h"

namespace {

using namespace review;

constexpr int kRunners = 6;
constexpr std::int64_t kWorkerCpu = 16000;
constexpr int kSmallJobs = 3;  // Each in a queue of its own.
// finish_s: jobs are asked for that long after the last one was handed in.
constexpr millis kFinishMs = 14000;
// For that long, a job must not have nothing at work.
constexpr millis kIdleMs = 3000;

class large_jobs_case {
 public:
  explicit large_jobs_case(world& deployment) : world_(deployment) {}

  void SubmitLastingJob() {
    job_plan job = world_.MakeJob("lasting", "cugo130");
    step_plan step;
    step.count = kRunners;
    step.cpu = 1300;
    step.long_running = true;
    step.anti_affinity = 1;
    step.may_miss = 1;
    job.steps = {step};
    lasting_ = job.id;
    world_.Submit(std::move(job), 0);
  }

  bool LastingTasksAreAtWork() {
    for (int i = 0; i < kRunners; ++i) {
      const auto& runs =
          world_.Book().Runs(lasting_ + ".0.0." + std::to_string(i));
      if (runs.empty() || !runs.back().how.empty()) return false;
    }
    return true;
  }

  /// A job of five steps in a row, each of which needs a whole worker.
  void SubmitLargeJob() {
    job_plan job = world_.MakeJob("export", "cugo130");
    for (int i = 0; i < 5; ++i) {
      step_plan step;
      step.cpu = kWorkerCpu;
      step.mem_mb = 7600;
      step.estimate_ms = 7000;
      step.run_ms = 7000;
      if (i > 0) step.after = {i - 1};
      job.steps.push_back(step);
    }
    world_.Submit(std::move(job), 0);
  }

  /// A job of two steps whose estimates are too low.
  void SubmitSmallJob(int number) {
    job_plan job = world_.MakeJob("inline-" + std::to_string(number), "tena2");
    for (int i = 0; i < 2; ++i) {
      step_plan step;
      step.cpu = 880;
      step.estimate_ms = 640;
      step.run_ms = 2600;
      if (i > 0) step.after = {i - 1};
      job.steps.push_back(step);
    }
    small_.push_back(job.id);
    world_.Submit(std::move(job), number % world_.NodeCount());
  }

  /// True if the second step's turn has come and nothing of the job runs.
  bool IsIdle(const std::string& id) {
    book& records = world_.Book();
    return records.FindJob(id)->accepted && records.IsDone(id + ".0.0.0") &&
           records.Runs(id + ".0.1.0").empty();
  }

  /// Watches the small jobs for kIdleMs.
  void Judge() {
    std::vector<std::string> idle;
    for (const std::string& id : small_) {
      if (IsIdle(id)) idle.push_back(id);
    }
    world_.RunFor(kIdleMs);
    for (const std::string& id : idle) {
      if (!IsIdle(id)) continue;
      world_.Book().Break(
          "LOST", id +
                      " has nothing at work though the turn of its second "
                      "step has come; its state is " +
                      world_.StateOf(id, 1).second);
    }
  }

 private:
  world& world_;
  std::string lasting_;
  std::vector<std::string> small_;
};

}  // namespace

int main(int argc, char** argv) {
  if (argc != 3) return 2;
  const char* setting = std::getenv("TROUBLE");
  const bool trouble = !setting || std::strcmp(setting, "0") != 0;
  world_plan plan;
  plan.queues = {{"export", "/puxa400/", "huvo11a", 1, 4, 1.6, 600},
                 {"inline-0", "/wuhu344/", "huvo11a", 0, 2, 1.6, 600},
                 {"inline-1", "/cufi501/", "huvo11a", 0, 2, 1.6, 600},
                 {"inline-2", "/tije37/", "huvo11a", 0, 2, 1.6, 600},
                 {"lasting", "/bobo563/", "huvo11a", 0, 3, 2.2, 2500}};
  plan.pools = {"huvo11a"};
  plan.spare_pool = "lohu93e";
  plan.tenants = {"cugo130", "tena2"};
  plan.cap_cpu = 200000;
  world deployment(plan, argv[1], argv[2]);
  for (int i = 0; i < kRunners; ++i) {
    deployment.AddRunner({.id = "",
                          .pool = "huvo11a",
                          .zone = "z" + std::to_string(i % 3 + 1),
                          .rack = "r" + std::to_string(i / 4),
                          .address = "",
                          .cpu = kWorkerCpu});
  }
  deployment.AddSpareMachine("m-5a1e0", "z1", "r9", kWorkerCpu);
  if (!deployment.Start()) return 2;
  large_jobs_case tested(deployment);
  tested.SubmitLastingJob();
  if (!deployment.RunUntil(8000,
                           [&] { return tested.LastingTasksAreAtWork(); })) {
    return 2;
  }
  deployment.RunFor(4000);
  if (trouble) {
    for (int i = 0; i < 3; ++i) tested.SubmitLargeJob();
  }
  deployment.RunFor(300);
  for (int i = 0; i < kSmallJobs; ++i) {
    tested.SubmitSmallJob(i);
  }
  deployment.RunFor(kFinishMs);
  tested.Judge();
  deployment.RunFor(12000);
  for (const std::string& broken : deployment.Book().Breaks()) {
    std::cout << broken << '\n';
  }
  return deployment.Book().Broken() ? 1 : 0;
}
