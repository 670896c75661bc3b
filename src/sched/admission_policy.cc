#include "src/sched/admission_policy.h"

#include <algorithm>
#include <functional>
#include <limits>

#include "src/sched/backlog_forecast.h"
#include "src/sched/job_steps.h"

namespace radishwing::sched {
namespace {

// Age up to which a summary is used while the leader can be reached, and time
// after a failed contact from which it counts as old. The leader sends a new
// one several times a second while jobs are submitted.
constexpr millis kOldSummaryMs = 1500;
// Age from which a summary of a shortage is renewed.
constexpr millis kRefreshAgeMs = 300;
// Least part of a queue's mean run time that the optimistic forecast assumes.
constexpr double kLeastRatioShare = 0.5;
// Work that stands for the start of a job without work ahead, which may have to
// wait for queues of a higher priority.
constexpr double kLeastCoreMs = 1;

bool IsJudgedByLoad(const fleet::job_request& request) {
  return request.repetitions == 0 &&
         std::ranges::none_of(request.steps, &fleet::task_step::long_running);
}

queue_run_times FindRunTimes(const pool_backlog& pool,
                             const std::string& queue) {
  const auto it =
      std::ranges::find(pool.queues, queue, &queue_run_times::queue);
  return it == pool.queues.end() ? queue_run_times{queue} : *it;
}

/// Durations of a job, by the learned run times of its queue.
struct job_durations {
  millis objective_ms = 0;
  millis shortest_run_ms = 0;  ///< Optimistic length of the critical path.

  /// Returns the time that the job can wait and still meet its objective.
  millis SlackMs() const {
    return std::max<millis>(0, objective_ms - shortest_run_ms);
  }
};

job_durations DurationsOf(const fleet::job_record& job,
                          const pool_backlog& pool) {
  const queue_run_times run_times = FindRunTimes(pool, job.queue);
  const auto path = static_cast<double>(CriticalPathMs(job.request, nullptr));
  const double shortest = std::max(run_times.mean_ratio * kLeastRatioShare,
                                   run_times.mean_ratio - run_times.spread);
  return {RoundedAmount(job.stretch * path * run_times.mean_ratio +
                        static_cast<double>(job.target_ms)),
          RoundedAmount(path * shortest)};
}

// Returns the time after which a job that is submitted again can meet its
// objective: the work ahead, which takes `wait_ms`, has shrunk to what the job
// can wait for. The id spreads the callers over the time in which that much
// work is done, so that they do not come back at once. If that time is beyond
// the longest one, they are spread over the last part up to it.
int RetryAfterSeconds(const std::string& id, millis wait_ms,
                      const job_durations& durations) {
  constexpr std::size_t kSteps = 4096;
  constexpr millis kLongestMs = kMaxRetryAfterSeconds * 1000;
  constexpr millis kLatestStartMs = kLongestMs - kLongestMs / 3;
  const millis slack = durations.SlackMs();
  const millis start = std::clamp<millis>(wait_ms - slack, 0, kLatestStartMs);
  const millis rest = kLongestMs - start;
  const millis range = start == kLatestStartMs ? rest : std::min(slack, rest);
  const millis delay =
      start + static_cast<millis>(std::hash<std::string>{}(id) % kSteps) *
                  range / static_cast<millis>(kSteps);
  return static_cast<int>(
      std::clamp<millis>(delay / 1000 + 1, 1, kMaxRetryAfterSeconds));
}

}  // namespace

std::string_view RefusalReasonName(refusal_reason reason) {
  return reason == refusal_reason::kTeamLimit ? "team_limit" : "pool_full";
}

bool admission_policy::ApplySummary(backlog_summary summary, millis now) {
  const millis computed_at = now - summary.age_ms;
  if (computed_at_ >= 0) {
    if (summary.fencing_token < summary_.fencing_token) return false;
    if (summary.fencing_token == summary_.fencing_token &&
        summary.sequence < summary_.sequence) {
      return false;
    }
  }
  RecordContact();
  for (auto& [name, known] : known_pools_) known.teams.clear();
  for (pool_backlog& pool : summary.pools) {
    CorrectCapacity(pool, summary.complete);
    known_pools_[pool.pool] = pool;
  }
  // The leader knows of most jobs that were accepted before it computed the
  // summary.
  if (summary.fencing_token != summary_.fencing_token ||
      summary.sequence != summary_.sequence) {
    accepted_.clear();
  }
  summary_ = std::move(summary);
  computed_at_ = computed_at;
  return true;
}

// Runners that have not listed their runs to a new leader are missing from its
// capacities, so that a larger known one is closer to the truth. Without one,
// nothing tells how many runners are missing.
void admission_policy::CorrectCapacity(pool_backlog& pool, bool complete) {
  pool_capacity& known = capacities_[pool.pool];
  if (complete && pool.room_millicores > 0) {
    known = {pool.capacity, pool.room_millicores};
  } else if (known.room_millicores > pool.room_millicores) {
    pool.capacity = known.capacity;
    pool.room_millicores = known.room_millicores;
  } else {
    pool.room_millicores = 0;
  }
}

millis admission_policy::SummaryAge(millis now) const {
  return computed_at_ < 0 ? std::numeric_limits<millis>::max()
                          : std::max<millis>(0, now - computed_at_);
}

bool admission_policy::NeedsSummary(millis now) const {
  if (failed_since_ >= 0) return true;
  const millis age = SummaryAge(now);
  return HasBacklog() ? age >= kRefreshAgeMs
                      : !known_pools_.empty() && age >= kOldSummaryMs;
}

bool admission_policy::IsSummaryOld(millis now) const {
  return failed_since_ >= 0 && now - failed_since_ >= kOldSummaryMs;
}

const pool_backlog* admission_policy::FindPool(const std::string& pool,
                                               millis now) const {
  // The leader is asked for a newer summary meanwhile, see NeedsSummary().
  if (failed_since_ < 0 && SummaryAge(now) >= kOldSummaryMs) return nullptr;
  const bool in_summary =
      std::ranges::find(summary_.pools, pool, &pool_backlog::pool) !=
      summary_.pools.end();
  if (!in_summary && !IsSummaryOld(now)) return nullptr;
  const auto known = known_pools_.find(pool);
  return known == known_pools_.end() ? nullptr : &known->second;
}

double admission_policy::AcceptedSince(const pool_claim& key,
                                       millis now) const {
  const auto it = accepted_.find(key);
  if (it == accepted_.end()) return 0;
  const accepted_work& work = it->second;
  if (!IsSummaryOld(now)) return work.core_ms;
  const std::uint64_t others = std::max<std::uint64_t>(1, summary_.nodes) - 1;
  return work.core_ms +
         (work.core_ms - work.largest_core_ms) * static_cast<double>(others);
}

millis admission_policy::ServedMs(const pool_claim& key, millis now) const {
  const pool_backlog& pool = known_pools_.at(key.first);
  if (FindClaim(pool, key.second)) return SummaryAge(now);
  const auto it = accepted_.find(key);
  return it == accepted_.end() ? 0 : now - it->second.since;
}

admission_decision admission_policy::Decide(const fleet::job_record& job,
                                            double weight, bool returning,
                                            millis now) const {
  admission_decision decision;
  if (!IsJudgedByLoad(job.request)) return decision;
  const pool_backlog* pool = FindPool(job.pool, now);
  // Without a known capacity there is no forecast.
  if (!pool || pool->room_millicores <= 0) return decision;
  decision.summary_age_ms = SummaryAge(now);
  const pool_claim key = KeyOf(job);
  const millis served_ms = ServedMs(key, now);
  const auto forecast = [&](double core_ms, competing_work competing) {
    work_forecast result = ForecastWork(
        *pool, key.second, weight, std::max(core_ms, kLeastCoreMs), competing);
    result.wait_ms = std::max<millis>(0, result.wait_ms - served_ms);
    return result;
  };
  const job_durations durations = DurationsOf(job, *pool);
  const waiting_work ahead =
      WorkAhead(key, *pool, returning, durations.SlackMs(), now);
  // Jobs that can still meet their objective go before late ones of any team
  // and priority, so only those delay a job that can meet its own.
  decision.forecast_ms =
      forecast(ahead.feasible_core_ms, competing_work::kFeasible).wait_ms +
      durations.shortest_run_ms;
  if (decision.forecast_ms <= durations.objective_ms) return decision;
  const work_forecast last =
      forecast(ahead.feasible_core_ms + ahead.late_core_ms,
               competing_work::kFeasibleAndLate);
  decision.forecast_ms = last.wait_ms + durations.shortest_run_ms;
  decision.accepted =
      decision.forecast_ms <= kValueLostFactor * durations.objective_ms;
  if (decision.accepted) return decision;
  decision.reason = last.bound_by_team_limit ? refusal_reason::kTeamLimit
                                             : refusal_reason::kPoolFull;
  // The callers that were refused before come first.
  const work_forecast clear = forecast(
      ahead.feasible_core_ms + ahead.late_core_ms + ahead.returning_core_ms,
      competing_work::kFeasibleAndLate);
  decision.retry_after_s = RetryAfterSeconds(job.id, clear.wait_ms, durations);
  return decision;
}

admission_policy::waiting_work admission_policy::WorkAhead(
    const pool_claim& key, const pool_backlog& pool, bool returning,
    millis slack_ms, millis now) const {
  waiting_work ahead;
  ahead.feasible_core_ms = AcceptedSince(key, now);
  const team_backlog* team = FindClaim(pool, key.second);
  if (team) {
    ahead.feasible_core_ms +=
        team->FeasibleCoreMsBefore(static_cast<double>(slack_ms));
    ahead.late_core_ms = team->late_core_ms;
  }
  if (returning) return ahead;
  if (team) {
    // If fewer callers come back than were told to, there is little feasible
    // work, and it bounds what is kept for them.
    ahead.feasible_core_ms +=
        std::min(team->due_core_ms, ahead.feasible_core_ms);
    ahead.returning_core_ms =
        std::max(0.0, team->returning_core_ms - team->due_core_ms);
  }
  const auto refused = refused_.find(key);
  if (refused != refused_.end()) {
    ahead.returning_core_ms += refused->second.core_ms;
  }
  return ahead;
}

double admission_policy::WorkOf(const fleet::job_record& job) const {
  const auto known = known_pools_.find(job.pool);
  if (known == known_pools_.end()) return 0;
  return EstimatedCoreMs(job.request, known->second.capacity) *
         FindRunTimes(known->second, job.queue).mean_ratio;
}

void admission_policy::RecordAccepted(const fleet::job_record& job,
                                      millis now) {
  if (!IsJudgedByLoad(job.request) || !known_pools_.contains(job.pool)) return;
  accepted_work& work =
      accepted_.try_emplace(KeyOf(job), accepted_work{0, 0, now}).first->second;
  const double core_ms = WorkOf(job);
  work.core_ms += core_ms;
  work.largest_core_ms = std::max(work.largest_core_ms, core_ms);
}

void admission_policy::RecordRefused(const fleet::job_record& job,
                                     const admission_decision& decision) {
  pool_claim key = KeyOf(job);
  AddRefusedWork({std::move(key.first), std::move(key.second), WorkOf(job),
                  decision.retry_after_s * 1000});
}

void admission_policy::AddRefusedWork(const returning_work& work) {
  if (work.core_ms <= 0) return;
  returning_work& sum = refused_[{work.pool, work.claim}];
  const double total = sum.core_ms + work.core_ms;
  sum.due_in_ms =
      static_cast<millis>((static_cast<double>(sum.due_in_ms) * sum.core_ms +
                           static_cast<double>(work.due_in_ms) * work.core_ms) /
                          total);
  sum.pool = work.pool;
  sum.claim = work.claim;
  sum.core_ms = total;
}

std::vector<returning_work> admission_policy::TakeRefusedWork() {
  std::vector<returning_work> taken;
  for (auto& [key, work] : refused_) taken.push_back(std::move(work));
  refused_.clear();
  return taken;
}

}  // namespace radishwing::sched
