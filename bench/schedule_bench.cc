#include <string>
#include <vector>

#include "bench/bench_case.h"
#include "src/sched/scheduler.h"

namespace radishwing::bench {
namespace {

using namespace sched;

constexpr int kPools = 4;
constexpr int kTasksPerStep = 8;
constexpr int kRackSize = 8;
// Racks that jobs name; each pool has as many or more.
constexpr int kRacksPerPool = 10;
constexpr int kRounds = 400;

/// Returns a job. If `names_rack` is true, its data is on a rack of its pool.
fleet::job_record MakeJob(int number, int pool, bool names_rack) {
  fleet::task_step step;
  step.count = kTasksPerStep;
  step.needs = {1500, 4000, 0};
  step.estimate_ms = 640;
  if (names_rack) {
    step.data_rack = "rack-" + std::to_string(pool) + "-" +
                     std::to_string(number % kRacksPerPool);
  }
  fleet::task_step second = step;
  second.predecessors = {0};
  fleet::job_record job;
  job.id = "job-" + std::to_string(100'000 + number);
  job.queue = "queue-" + std::to_string(pool);
  job.pool = "pool-" + std::to_string(pool);
  job.team = "team-" + std::to_string(number % 20);
  job.max_attempts = 2;
  job.stretch = 1.6;
  job.target_ms = 600;
  job.accepted_unix_ms = 1000;
  job.request.steps = {step, second};
  return job;
}

/// Returns the median duration in µs of a round on full pools of
/// `runners_per_pool` runners with `backlog` waiting jobs, of which
/// `racks_percent` name a rack. In a round, one run ends and a scheduling pass
/// starts the run of another task.
double MedianRoundMicros(int runners_per_pool, int backlog, int racks_percent) {
  scheduler subject{1};
  subject.Places().speeds.SetInitialFactor(3);
  fleet::fleet_config config;
  for (int i = 0; i < 20; ++i) {
    config.teams.push_back({"team-" + std::to_string(i), {"key"}, 1.0, {}});
  }
  std::set<std::string> recorded;
  for (int p = 0; p < kPools; ++p) {
    config.pools.push_back({"pool-" + std::to_string(p), false, false});
    for (int r = 0; r < runners_per_pool; ++r) {
      fleet::runner_report report;
      report.id = "runner-" + std::to_string(p) + "-" + std::to_string(r);
      report.pool = "pool-" + std::to_string(p);
      report.rack =
          "rack-" + std::to_string(p) + "-" + std::to_string(r / kRackSize);
      report.capacity = {16000, 65536, 0};
      subject.AddRunner(report);
      subject.ApplyListing(report.id, {}, 1000, 1000);
      recorded.insert(report.id);
    }
  }
  subject.SetConfig(config);
  subject.SetRecordedRunners(recorded);
  for (int i = 0; i < backlog; ++i) {
    subject.AddJob(MakeJob(i, i % kPools, i / kPools % 100 < racks_percent),
                   false, 1000, 1000);
  }
  millis now = 1001;
  const auto persist_all = [&] {
    for (const pending_write& write : subject.TakeWrites(100'000)) {
      subject.ReportWriteSuccess(write.job, write.progress_version, 1);
    }
  };
  subject.Plan(now, now);
  persist_all();
  std::vector<order> running = subject.Plan(now, now);
  for (const order& start : running) {
    subject.ApplyOrderOutcome(start, fleet::order_outcome::kAccepted, now);
  }
  std::map<std::string, std::uint64_t> ends_by_runner;
  std::size_t next_end = 0;
  return MedianMicros(kRounds, [&](int) {
    if (next_end >= running.size()) return;
    const order ended = running[next_end++];
    now += 1;
    fleet::runner_listing listing;
    for (const order& other : running) {
      if (other.runner == ended.runner && other.task != ended.task) {
        listing.running.push_back({other.task, other.run, "", 50, 0});
      }
    }
    listing.ended.push_back({++ends_by_runner[ended.runner], ended.task,
                             ended.run, fleet::run_end::kDone, ""});
    subject.ApplyListing(ended.runner, listing, now, now);
    persist_all();
    for (const order& start : subject.Plan(now, now)) {
      subject.ApplyOrderOutcome(start, fleet::order_outcome::kAccepted, now);
    }
    subject.TakeEvents();
  });
}

std::vector<measurement> MeasureSchedule(std::uint64_t) {
  return {{"median with 300 runners, 1,000 jobs waiting",
           MedianRoundMicros(75, 1000, 0), "us", "", false},
          {"median with 300 runners, 4,000 jobs waiting",
           MedianRoundMicros(75, 4000, 0), "us", "", false},
          {"median with 300 runners, 4,000 jobs waiting, 60% name a rack",
           MedianRoundMicros(75, 4000, 60), "us", "", false},
          {"median with 500 runners, 10,000 jobs waiting",
           MedianRoundMicros(125, 10'000, 0), "us", "", false}};
}

const bench_registration kRegistration(
    {"schedule",
     "one end and the scheduling pass after it, 400 times, full runners and a "
     "backlog",
     MeasureSchedule});

}  // namespace
}  // namespace radishwing::bench
