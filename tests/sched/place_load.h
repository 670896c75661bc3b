#pragma once

#include <algorithm>
#include <cmath>
#include <map>
#include <random>
#include <string>
#include <vector>

#include "src/sched/scheduler.h"

namespace radishwing::sched {

/// A load of jobs whose data lies on racks, and the runners that serve it.
struct place_load {
  int racks = 4;
  int runners_per_rack = 4;
  double jobs_per_s = 40;
  millis length_ms = 10000;
  double remote_factor = 3;
  double data_share = 0.6;  ///< Share of the jobs that have data on a rack.
  double hot_share = 0;     ///< Share of these jobs whose data is on rack 0.
  double slow_rack_factor = 1;  ///< Ratio of run times on rack 0 to others.
  millis rack_lost_at = -1;     ///< Time at which rack 0 stops answering.
  /// Time at which a new leader takes over; it learns of the runs from
  /// listings.
  millis successor_at = -1;
};

/// What callers get under a load.
struct place_load_result {
  int jobs = 0;
  int in_time = 0;        ///< Jobs that ended within their objective.
  int finished = 0;       ///< Jobs that ended by the end of the load.
  int near_runs = 0;      ///< Runs of tasks with data that were near it.
  int away_runs = 0;      ///< Runs of tasks with data that were not.
  millis longest_ms = 0;  ///< Longest time from acceptance to the end of a job.
};

/// Plays a load against the scheduler in steps of kStepMs, without a network.
class place_load_player {
 public:
  place_load_player(const place_load& load, std::uint64_t seed,
                    const place_wait_policy& policy = {})
      : load_(load), random_(seed), policy_(policy) {
    Restart();
  }

  place_load_result Play() {
    double due = 0;
    while (now_ < load_.length_ms || result_.finished < result_.jobs) {
      if (now_ > 10 * load_.length_ms) break;
      now_ += kStepMs;
      if (now_ == load_.successor_at) Restart();
      if (now_ < load_.length_ms) {
        due += load_.jobs_per_s * kStepMs / 1000;
        for (; due >= 1; due -= 1) AddJob();
      }
      EndRuns();
      for (const order& given : subject_->Plan(now_, now_)) Carry(given);
      Persist();
      for (const order& given : subject_->Plan(now_, now_)) Carry(given);
      Persist();
      CountFinished();
    }
    return result_;
  }

 private:
  static constexpr millis kStepMs = 10;
  static constexpr int kTasks = 4;
  static constexpr millis kEstimateMs = 400;

  struct active_run {
    fleet::task_name task;
    int run = 0;
    millis started_at = 0;
    millis ends_at = 0;
  };
  struct runner {
    std::string rack;
    std::vector<active_run> runs;
    std::vector<fleet::listed_end> ends;
  };

  bool IsLost(const runner& entry) const {
    return load_.rack_lost_at >= 0 && now_ >= load_.rack_lost_at &&
           entry.rack == "rack0";
  }

  /// Begins a term: adds the runners, which list what runs on them.
  void Restart() {
    ++term_;
    subject_ = std::make_unique<scheduler>(term_ * 64);
    subject_->Places().speeds.SetInitialFactor(load_.remote_factor);
    subject_->Places().policy = policy_;
    fleet::fleet_config config;
    config.version = 1;
    config.pools.push_back({"pool", false, false});
    config.teams.push_back({"team", {"key"}, 1.0, {}});
    subject_->SetConfig(config);
    for (const auto& [id, record] : open_) {
      subject_->AddJob(record, true, now_, now_);
      (void)subject_->RestoreProgress(id, stored_[id], 1, now_);
    }
    std::set<std::string> ids;
    for (int i = 0; i < load_.racks * load_.runners_per_rack; ++i) {
      fleet::runner_report report;
      report.id = "r" + std::to_string(100 + i);
      report.pool = "pool";
      report.data_centre = "dc";
      report.rack = "rack" + std::to_string(i % load_.racks);
      report.capacity = {8000, 65536, 0};
      subject_->AddRunner(report);
      runners_[report.id].rack = report.rack;
      ids.insert(report.id);
    }
    subject_->SetRecordedRunners(ids);
    for (const std::string& id : ids) List(id);
  }

  void AddJob() {
    fleet::task_step step;
    step.count = kTasks;
    step.needs = {1000, 100, 0};
    step.estimate_ms = kEstimateMs;
    if (Chance(load_.data_share)) {
      step.data_rack =
          "rack" + std::to_string(Chance(load_.hot_share)
                                      ? 0
                                      : static_cast<int>(random_() % 1000) %
                                            load_.racks);
    }
    fleet::job_record record;
    record.id = "job" + std::to_string(10000 + result_.jobs++);
    record.queue = "queue";
    record.pool = "pool";
    record.team = "team";
    record.max_attempts = 3;
    record.stretch = 1.6;
    record.target_ms = 600;
    record.accepted_unix_ms = now_;
    record.request.steps = {step};
    open_[record.id] = record;
    subject_->AddJob(record, false, now_, now_);
  }

  void Carry(const order& given) {
    if (given.kind == order_kind::kStart) {
      runner& entry = runners_[given.runner];
      const auto& step = open_[given.task.job].request.steps[0];
      std::lognormal_distribution<double> noise(-0.1, 0.4);
      double run_ms = kEstimateMs * noise(random_);
      if (!step.data_rack.empty()) {
        const bool away = step.data_rack != entry.rack;
        if (away) run_ms *= load_.remote_factor;
        (away ? result_.away_runs : result_.near_runs) += 1;
      }
      if (entry.rack == "rack0") run_ms *= load_.slow_rack_factor;
      entry.runs.push_back(
          {given.task, given.run, now_,
           now_ + std::max<millis>(1, static_cast<millis>(run_ms))});
    }
    subject_->ApplyOrderOutcome(given, fleet::order_outcome::kAccepted, now_);
  }

  void EndRuns() {
    for (auto& [id, entry] : runners_) {
      if (IsLost(entry)) {
        // The leader drops a silent runner once its lease has expired.
        if (now_ < load_.rack_lost_at + kStepMs) {
          entry.runs.clear();
          subject_->RemoveRunner(id, now_);
        }
        continue;
      }
      const auto ended = std::stable_partition(
          entry.runs.begin(), entry.runs.end(),
          [&](const active_run& run) { return run.ends_at > now_; });
      if (ended == entry.runs.end()) continue;
      for (auto run = ended; run != entry.runs.end(); ++run) {
        entry.ends.push_back({++end_numbers_[id], run->task, run->run,
                              fleet::run_end::kDone, ""});
      }
      entry.runs.erase(ended, entry.runs.end());
      List(id);
    }
  }

  void List(const std::string& id) {
    runner& entry = runners_[id];
    if (IsLost(entry)) return subject_->SetReachable(id, false);
    fleet::runner_listing listing;
    listing.runner_clock_ms = now_;
    for (const active_run& run : entry.runs) {
      const int percent = static_cast<int>(100 * (now_ - run.started_at) /
                                           (run.ends_at - run.started_at));
      listing.running.push_back(
          {run.task, run.run, "", std::min(99, percent), 0});
    }
    listing.ended = entry.ends;
    subject_->ApplyListing(id, listing, now_, now_);
    entry.ends.clear();
  }

  void Persist() {
    for (const pending_write& write : subject_->TakeWrites(100000)) {
      stored_[write.job] = write.text;
      subject_->ReportWriteSuccess(write.job, write.progress_version, 1);
    }
  }

  void CountFinished() {
    std::erase_if(open_, [&](const auto& entry) {
      const job_state* job = subject_->FindJob(entry.first);
      if (!job || !job->IsFinished()) return false;
      const millis took = now_ - job->accepted_at;
      ++result_.finished;
      if (took <= job->ObjectiveMs()) ++result_.in_time;
      result_.longest_ms = std::max(result_.longest_ms, took);
      return true;
    });
  }

  bool Chance(double share) {
    return std::uniform_real_distribution<double>(0, 1)(random_) < share;
  }

  place_load load_;
  std::mt19937_64 random_;
  place_wait_policy policy_;
  int term_ = 0;
  millis now_ = 0;
  std::unique_ptr<scheduler> subject_;
  std::map<std::string, runner> runners_;
  std::map<std::string, std::uint64_t> end_numbers_;
  std::map<std::string, fleet::job_record> open_;  ///< Unfinished jobs.
  std::map<std::string, std::string> stored_;      ///< Progress records.
  place_load_result result_;
};

/// Policy that never waits.
inline place_wait_policy NoWait() {
  place_wait_policy policy;
  policy.deadline = [](const place_wait_terms& terms) { return terms.since; };
  policy.pass_up_deadline = policy.deadline;
  return policy;
}

/// Policy that waits for `wait_ms`, whatever is expected.
inline place_wait_policy FixedWait(millis wait_ms) {
  place_wait_policy policy;
  policy.deadline = [wait_ms](const place_wait_terms& terms) {
    return terms.since + wait_ms;
  };
  policy.pass_up_deadline = policy.deadline;
  policy.ignores_forecast = true;
  return policy;
}

}  // namespace radishwing::sched
