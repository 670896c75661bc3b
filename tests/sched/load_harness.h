#pragma once

#include <algorithm>
#include <functional>
#include <map>
#include <memory>
#include <random>
#include <string>
#include <vector>

#include "src/sched/scheduler.h"

namespace radishwing::sched {

/// A team's load: batch jobs that arrive at random times.
struct team_load {
  std::string name;
  double weight = 1;
  double jobs_per_s = 1;
  double flood_factor = 1;  ///< Factor of `jobs_per_s` during the flood.
  int priority = 0;
  double job_size = 1;  ///< Factor of the run times.
};

/// A job of the load, with what its caller got.
struct load_job {
  std::string team;
  millis accepted_at = 0;
  millis objective_ms = 0;  ///< By the true run times of the tasks.
  double core_ms = 0;       ///< Sum of the tasks' work.
  millis ended_at = -1;     ///< -1: not ended.
  bool began = false;

  bool IsInTime() const {
    return ended_at >= 0 && ended_at - accepted_at <= objective_ms;
  }
};

/// Plays seeded load on a scheduler without a network: runners carry out the
/// orders after a fixed delay, tasks run for times that the callers' estimates
/// miss by up to a half, and runners report the ends with the next tick.
struct load_harness {
  static constexpr millis kTickMs = 20;
  static constexpr std::int64_t kRunnerMillicores = 16000;
  static constexpr double kTaskMillicores = 1500;
  static constexpr millis kFloodStart = 10'000;
  static constexpr millis kFloodEnd = 22'000;

  explicit load_harness(int runner_count, std::vector<team_load> loads)
      : teams(std::move(loads)), runner_total(runner_count) {
    for (std::size_t t = 0; t < teams.size(); ++t) {
      config.teams.push_back({teams[t].name, {"key"}, teams[t].weight, {}});
      arrivals.emplace_back(100 + t);
      next_arrival.push_back(Gap(t, 0));
    }
    config.version = 1;
    config.pools.push_back({"pool", false, false});
    Connect();
  }

  /// Returns loads of ten teams of unequal size that need `load` of the room of
  /// `runner_count` runners. Each has a weight of about twice its usual load.
  /// Team `flooding` sends `flood_factor` times its usual during the flood.
  static std::vector<team_load> TenTeams(int runner_count, double load,
                                         double flood_factor = 1,
                                         int flooding = 0) {
    constexpr double kMeanJobCoreMs = 11'500;
    constexpr double kWeightFactor = 1.9;
    const auto size = [](int team) { return 1 / (1 + team * 0.5); };
    double sizes = 0;
    for (int t = 0; t < 10; ++t) sizes += size(t);
    const double jobs_per_s =
        load * runner_count * kRunnerMillicores / kMeanJobCoreMs;
    std::vector<team_load> loads;
    for (int t = 0; t < 10; ++t) {
      const double rate = jobs_per_s * size(t) / sizes;
      loads.push_back({"t" + std::to_string(t), kWeightFactor * rate, rate,
                       t == flooding ? flood_factor : 1});
    }
    return loads;
  }

  /// Introduces the runners and the configuration to `subject`.
  void Connect() {
    subject->SetConfig(config);
    std::set<std::string> recorded;
    for (int r = 0; r < runner_total; ++r) {
      fleet::runner_report report;
      report.id = "r" + std::to_string(100 + r);
      report.pool = "pool";
      report.data_centre = "dc";
      report.capacity = {kRunnerMillicores, 65536, 0};
      subject->AddRunner(report);
      recorded.insert(report.id);
      runner_runs.try_emplace(report.id);
    }
    subject->SetRecordedRunners(recorded);
    for (auto& [id, runs] : runner_runs) List(id, {});
  }

  /// Replaces the leader: a new scheduler reads the jobs and their progress,
  /// and the runners list what runs.
  void ReplaceLeader() {
    std::map<std::string, std::string> stored;
    for (auto& [id, record] : records) {
      const job_state* job = subject->FindJob(id);
      if (job && !job->IsFinished()) stored[id] = progress[id];
    }
    min_run += 1000;
    subject = std::make_unique<scheduler>(min_run);
    for (const auto& [id, text] : stored) {
      subject->AddJob(records.at(id), !text.empty(), now, now);
      if (text.empty()) continue;
      (void)subject->RestoreProgress(id, text, 5, now);
    }
    Connect();
  }

  /// Returns core-ms that the pool does in `duration`.
  double RoomCoreMs(millis duration) const {
    return static_cast<double>(runner_total * kRunnerMillicores) / 1000 *
           static_cast<double>(duration);
  }

  void PlayUntil(millis end) {
    for (; now < end; now += kTickMs) {
      EndRuns();
      for (std::size_t t = 0; t < teams.size(); ++t) {
        while (next_arrival[t] <= static_cast<double>(now)) {
          Submit(t);
          next_arrival[t] += Gap(t, next_arrival[t]);
        }
      }
      Schedule();
      if (Schedule() > 0) Schedule();
      NoteEnds();
    }
  }

  int Schedule() {
    for (const order& given : subject->Plan(now, now)) CarryOut(given);
    int written = 0;
    for (const pending_write& write : subject->TakeWrites(100'000)) {
      progress[write.job] = write.text;
      subject->ReportWriteSuccess(write.job, write.progress_version,
                                  ++store_revision);
      ++written;
    }
    for (scheduler_event& event : subject->TakeEvents()) {
      events.push_back(std::move(event));
    }
    return written;
  }

  void CarryOut(const order& given) {
    if (given.kind == order_kind::kStart) {
      const auto& tasks = run_times[given.task.job];
      const millis took = tasks[static_cast<std::size_t>(given.task.step)]
                               [static_cast<std::size_t>(given.task.index)];
      runs.push_back({now + kTickMs + took, given.runner, given.task, given.run,
                      fleet::run_end::kDone});
      runner_runs[given.runner][given.task] = given.run;
      jobs[given.task.job].began = true;
    } else if (given.kind == order_kind::kStop) {
      for (run& stopped : runs) {
        if (stopped.task != given.task || stopped.number != given.run) continue;
        if (stopped.ends_at > now + stop_ms) {
          wasted_ms += stop_ms;
          stopped.ends_at = now + stop_ms;
          stopped.how = fleet::run_end::kStopped;
        }
      }
    }
    subject->ApplyOrderOutcome(given, fleet::order_outcome::kAccepted, now);
  }

  void EndRuns() {
    std::map<std::string, std::vector<fleet::listed_end>> ends;
    std::erase_if(runs, [&](const run& ended) {
      if (ended.ends_at > now) return false;
      runner_runs[ended.runner].erase(ended.task);
      ends[ended.runner].push_back({++end_numbers[ended.runner], ended.task,
                                    ended.number, ended.how, ""});
      return true;
    });
    for (auto& [id, listed] : ends) List(id, std::move(listed));
  }

  void List(const std::string& id, std::vector<fleet::listed_end> ended) {
    fleet::runner_listing listing;
    listing.runner_clock_ms = now;
    listing.ended = std::move(ended);
    for (const auto& [task, number] : runner_runs[id]) {
      listing.running.push_back({task, number, "", 50, 0});
    }
    subject->ApplyListing(id, listing, now, now);
  }

  void NoteEnds() {
    for (const scheduler_event& event : events) {
      if (event.kind != event_kind::kJobFinished) continue;
      load_job& job = jobs[event.task.job];
      if (job.ended_at < 0) job.ended_at = now;
    }
    events.clear();
  }

  double Gap(std::size_t team, double at) {
    const bool flood = at >= kFloodStart && at < kFloodEnd;
    const double rate =
        teams[team].jobs_per_s * (flood ? teams[team].flood_factor : 1);
    return std::exponential_distribution(rate / 1000)(arrivals[team]);
  }

  /// Submits a job of one to three steps, each of about eight tasks.
  void Submit(std::size_t team) {
    std::mt19937_64& random = arrivals[team];
    std::uniform_real_distribution<double> unit(0, 1);
    const std::string id =
        teams[team].name + "-" + std::to_string(10'000'000 + jobs.size());
    fleet::job_record record;
    record.id = id;
    record.queue = "queue";
    record.pool = "pool";
    record.team = teams[team].name;
    record.priority = teams[team].priority;
    record.max_attempts = 3;
    record.stretch = 1.6;
    record.target_ms = 600;
    record.accepted_unix_ms = now;
    record.stored_revision = 1;
    load_job job{.team = record.team, .accepted_at = now};
    double chain = 0;
    const int steps = 1 + static_cast<int>(unit(random) * 2.2);
    for (int s = 0; s < steps; ++s) {
      fleet::task_step step;
      const double mean =
          std::min(1600.0, std::lognormal_distribution(6.34, 0.5)(random)) *
          teams[team].job_size;
      step.count = std::clamp(
          static_cast<int>(std::lognormal_distribution(1.9, 0.6)(random)), 1,
          32);
      step.needs = {static_cast<std::int64_t>(std::min(
                        4600.0, kTaskMillicores * std::lognormal_distribution(
                                                      -0.1, 0.45)(random))),
                    1000, 0};
      step.estimate_ms = static_cast<millis>(mean * (0.5 + unit(random)));
      if (s > 0) step.predecessors = {s - 1};
      std::vector<millis>& times = run_times[id].emplace_back();
      for (int i = 0; i < step.count; ++i) {
        times.push_back(static_cast<millis>(mean * (0.7 + 0.6 * unit(random))));
        job.core_ms += static_cast<double>(times.back()) *
                       static_cast<double>(step.needs.cpu_millicores) / 1000;
      }
      chain += static_cast<double>(*std::ranges::max_element(times));
      record.request.steps.push_back(step);
    }
    job.objective_ms = static_cast<millis>(1.6 * chain) + 600;
    jobs[id] = job;
    records[id] = record;
    subject->AddJob(record, false, now, now);
  }

  /// What callers got of the jobs accepted from `from` to `until`.
  struct outcome {
    int jobs = 0;
    int in_time = 0;
    int late = 0;  ///< Ended within three times the objective.
    int unfinished = 0;
    int near_misses = 0;  ///< Late by less than a third of the objective.
    double core_ms = 0;
    double in_time_core_ms = 0;
    double InTimeShare() const {
      return jobs == 0 ? 1 : static_cast<double>(in_time) / jobs;
    }
  };
  outcome Outcome(millis from, millis until,
                  const std::function<bool(const load_job&)>& include) const {
    outcome sum;
    for (const auto& [id, job] : jobs) {
      if (job.accepted_at < from || job.accepted_at >= until) continue;
      if (!include(job)) continue;
      ++sum.jobs;
      sum.core_ms += job.core_ms;
      const millis took = job.ended_at - job.accepted_at;
      if (job.IsInTime()) {
        ++sum.in_time;
        sum.in_time_core_ms += job.core_ms;
      } else if (job.ended_at < 0) {
        ++sum.unfinished;
      } else {
        if (took <= 3 * job.objective_ms) ++sum.late;
        if (3 * took <= 4 * job.objective_ms) ++sum.near_misses;
      }
    }
    return sum;
  }

  /// A run on a runner.
  struct run {
    millis ends_at = 0;
    std::string runner;
    fleet::task_name task;
    int number = 0;
    fleet::run_end how = fleet::run_end::kDone;
  };

  std::vector<team_load> teams;
  int runner_total;
  fleet::fleet_config config;
  std::vector<std::mt19937_64> arrivals;  ///< By team.
  std::vector<double> next_arrival;       ///< By team.
  millis now = 1000;
  millis stop_ms = 100;
  millis wasted_ms = 0;
  int min_run = 1;
  std::uint64_t store_revision = 100;
  std::unique_ptr<scheduler> subject = std::make_unique<scheduler>(1);
  std::map<std::string, load_job> jobs;
  std::map<std::string, fleet::job_record> records;
  std::map<std::string, std::string> progress;  ///< Stored progress records.
  std::map<std::string, std::vector<std::vector<millis>>> run_times;
  std::vector<run> runs;
  std::map<std::string, std::map<fleet::task_name, int>> runner_runs;
  std::map<std::string, std::uint64_t> end_numbers;
  std::vector<scheduler_event> events;
};

}  // namespace radishwing::sched
