#pragma once

#include <algorithm>
#include <array>
#include <boost/test/unit_test.hpp>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "src/sched/admission_policy.h"
#include "src/sched/backlog_codec.h"
#include "src/sched/backlog_publisher.h"

namespace radishwing::sched {

/// Plays submissions of two teams of equal weight to a pool that runs 100 jobs
/// at once, through five nodes that each decide by themselves. A job runs for a
/// second and has an objective of two seconds. Free places go to the team with
/// fewer running jobs, and in a team to jobs that can still be in time first.
struct shared_pool {
  static constexpr std::size_t kPlaces = 100;
  static constexpr millis kRunMs = 1000;
  static constexpr millis kObjectiveMs = 2000;
  static constexpr millis kStepMs = 10;
  static constexpr int kOtherJobsPerSecond = 25;

  /// What is submitted.
  struct load {
    int flood_jobs_per_s = 0;  ///< Of the team "flood".
    millis flood_until_ms = 0;
    millis end_ms = 0;
  };
  /// What the callers of a team got.
  struct team_result {
    int submitted = 0;  ///< New jobs.
    int accepted = 0;   ///< New jobs and returned ones.
    int refused = 0;    ///< Refusals of new jobs.
    int returned = 0;   ///< Submissions of jobs that were refused before.
    int returned_accepted = 0;
    int in_time = 0;  ///< Jobs that met their objective.
    int without_value =
        0;  ///< Accepted jobs that ended too late for any value.
    int largest_retry_after_s = 0;
  };
  struct queued_job {
    fleet::job_record record;
    millis accepted_at = 0;
  };
  struct running_job {
    std::string team;
    millis accepted_at = 0;
    millis end_at = 0;
  };

  void Run(const load& submitted) {
    for (now = 0; now < submitted.end_ms; now += kStepMs) {
      const bool floods = now < submitted.flood_until_ms;
      if (floods) Arrive("flood", submitted.flood_jobs_per_s);
      // After the flood, the team submits as many jobs as before it.
      if (!floods) Arrive("flood", kOtherJobsPerSecond);
      Arrive("other", kOtherJobsPerSecond);
      const auto due = returns.equal_range(now);
      std::vector<fleet::job_record> jobs;
      for (auto it = due.first; it != due.second; ++it) {
        jobs.push_back(it->second);
      }
      for (const fleet::job_record& job : jobs) Submit(job, true);
      EndRuns();
      StartRuns();
      if (now > submitted.flood_until_ms + kSettleMs) {
        refused_after_flood += refused_in_step;
      }
      refused_in_step = 0;
    }
    for (auto& [team, queue] : queues) {
      results[team].without_value += static_cast<int>(queue.size());
    }
  }

  /// Time after a flood until its backlog and the returned callers are served.
  static constexpr millis kSettleMs = 15000;
  static constexpr millis kPatienceMs = 10000;

  std::map<std::string, team_result> results;
  int refused_after_flood = 0;

  struct node {
    admission_policy policy;
    millis updated_at = -1000;
  };

  void Arrive(const std::string& team, int per_second) {
    double& due = arrivals[team];
    due += per_second * static_cast<double>(kStepMs) / 1000;
    for (; due >= 1; due -= 1) {
      fleet::job_record job;
      job.id = team + std::to_string(++job_count);
      job.queue = "queue";
      job.pool = "pool";
      job.team = team;
      job.stretch = 1;
      job.target_ms = kObjectiveMs - kRunMs;
      fleet::task_step step;
      step.needs = {1000, 0, 0};
      step.estimate_ms = kRunMs;
      job.request.steps = {step};
      ++results[team].submitted;
      Submit(job, false);
    }
  }

  void Submit(const fleet::job_record& job, bool returning) {
    node& entry = nodes[next_node++ % nodes.size()];
    constexpr millis kPollIntervalMs = 300;
    if (now - entry.updated_at >= kPollIntervalMs) Update(entry);
    team_result& result = results[job.team];
    result.returned += returning ? 1 : 0;
    const admission_decision decision =
        entry.policy.Decide(job, 1, returning, now);
    if (decision.accepted) {
      entry.policy.RecordAccepted(job, now);
      ++result.accepted;
      result.returned_accepted += returning ? 1 : 0;
      queues[job.team].push_back({job, now});
      // The leader answers the notification of the job.
      Update(entry);
      return;
    }
    result.largest_retry_after_s =
        std::max(result.largest_retry_after_s, decision.retry_after_s);
    ++refused_in_step;
    if (!returning) {
      ++result.refused;
      entry.policy.RecordRefused(job, decision);
    }
    const millis back_at = now + decision.retry_after_s * 1000;
    millis& first_refused_at =
        first_refusals.try_emplace(job.id, now).first->second;
    // Callers give up some time after the first refusal.
    if (back_at - first_refused_at < kPatienceMs) returns.emplace(back_at, job);
  }

  void Update(node& entry) {
    entry.updated_at = now;
    publisher.RecordNode(std::to_string(&entry - nodes.data()), now);
    publisher.AddRefusedWork(entry.policy.TakeRefusedWork(), now);
    const backlog_summary& summary = publisher.Summary(now, 200);
    const auto received = DecodeBacklog(EncodeBacklog(summary));
    BOOST_REQUIRE(Ok(received));
    entry.policy.ApplySummary(Value(received), now);
  }

  backlog_summary Compute() const {
    backlog_summary summary;
    pool_backlog pool;
    pool.pool = "pool";
    pool.capacity = {1000 * kPlaces, 0, 0};
    pool.room_millicores = 1000 * kPlaces;
    for (const auto& [team, queue] : queues) {
      team_backlog backlog;
      backlog.claim = {team, 0};
      for (const queued_job& job : queue) {
        const auto slack = static_cast<double>(Slack(job));
        if (slack < -2 * kObjectiveMs) continue;
        backlog.waiting_millicores += 1000;
        (slack < 0 ? backlog.late_core_ms
                   : backlog.feasible_core_ms[SlackIndex(slack)]) += kRunMs;
      }
      if (backlog.WaitingCoreMs() > 0) pool.teams.push_back(backlog);
    }
    if (!pool.teams.empty()) summary.pools = {pool};
    return summary;
  }

  millis Slack(const queued_job& job) const {
    return job.accepted_at + kObjectiveMs - kRunMs - now;
  }

  void EndRuns() {
    std::erase_if(running, [&](const running_job& job) {
      if (job.end_at > now) return false;
      const millis age = job.end_at - job.accepted_at;
      team_result& result = results[job.team];
      result.in_time += age <= kObjectiveMs ? 1 : 0;
      result.without_value += age > kValueLostFactor * kObjectiveMs ? 1 : 0;
      --places_used[job.team];
      return true;
    });
  }

  void StartRuns() {
    while (running.size() < kPlaces) {
      std::string chosen;
      for (const auto& [team, queue] : queues) {
        if (queue.empty()) continue;
        if (chosen.empty() || places_used[team] < places_used[chosen]) {
          chosen = team;
        }
      }
      if (chosen.empty()) return;
      std::vector<queued_job>& queue = queues[chosen];
      const auto next = std::ranges::min_element(queue, {}, [&](const auto& j) {
        const millis slack = Slack(j);
        const int late = slack >= 0 ? 0 : slack >= -2 * kObjectiveMs ? 1 : 2;
        return std::pair(late, slack);
      });
      running.push_back({chosen, next->accepted_at, now + kRunMs});
      ++places_used[chosen];
      queue.erase(next);
    }
  }

  millis now = 0;
  int job_count = 0;
  int refused_in_step = 0;
  std::size_t next_node = 0;
  std::array<node, 5> nodes;
  std::map<std::string, double> arrivals;
  std::map<std::string, std::vector<queued_job>> queues;
  std::vector<running_job> running;
  std::map<std::string, int> places_used;
  std::multimap<millis, fleet::job_record> returns;  ///< By time.
  std::map<std::string, millis> first_refusals;      ///< By job.
  backlog_publisher publisher{[this] { return Compute(); }};
};

}  // namespace radishwing::sched
