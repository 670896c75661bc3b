#include <algorithm>

#include "src/sched/job_steps.h"
#include "src/sched/place_starter.h"
#include "src/sched/scheduler.h"

// The scheduling pass: which jobs start tasks, in which order.

namespace radishwing::sched {
namespace {

// Multiple of its objective beyond which a job counts as very late. A job that
// ends before that point still has some value.
constexpr int kVeryLateFactor = 3;
// Interval of the checks for retries, stuck tasks, paces and due repetitions.
constexpr millis kHousekeepingIntervalMs = 50;

// Returns true if `used` plus `needs` exceeds no amount of `limit`, where 0
// means no limit.
bool IsWithinLimit(const fleet::resources& limit, const fleet::resources& used,
                   const fleet::resources& needs) {
  const auto fits = [](std::int64_t maximum, std::int64_t in_use,
                       std::int64_t more) {
    return maximum == 0 || in_use + more <= maximum;
  };
  return fits(limit.cpu_millicores, used.cpu_millicores,
              needs.cpu_millicores) &&
         fits(limit.memory_mb, used.memory_mb, needs.memory_mb) &&
         fits(limit.accelerators, used.accelerators, needs.accelerators);
}

}  // namespace

std::vector<order> scheduler::Plan(millis now, millis unix_now) {
  std::vector<order> out;
  std::erase_if(active_jobs_,
                [](const job_state* job) { return job->IsFinished(); });
  if (now - last_housekeeping_at_ >= kHousekeepingIntervalMs) {
    last_housekeeping_at_ = now;
    for (job_state* job : active_jobs_) CreateRepetitions(*job, unix_now);
    CheckRuns(now, out);
    PlanPace(out);
  }
  IssueDeferredStarts(now, out);
  PlanStarts(now, out);
  place_starter(*this, now).StartDeferred(out);
  out.insert(out.begin(), queued_orders_.begin(), queued_orders_.end());
  queued_orders_.clear();
  return out;
}

void scheduler::IndexRunners(millis now) {
  if (pools_stale_) {
    pools_stale_ = false;
    pools_.clear();
    for (auto& [id, runner] : runners_) {
      pools_[runner.report.pool].push_back(&runner);
    }
  }
  schedulable_runners_.clear();
  for (const auto& [pool, runners] : pools_) {
    for (runner_state* runner : runners) {
      if (IsSchedulable(*runner, now))
        schedulable_runners_[pool].push_back(runner);
    }
  }
}

void scheduler::CreateRepetitions(job_state& job, millis unix_now) {
  const fleet::job_request& request = job.record.request;
  const int total = std::max(1, request.repetitions);
  while (job.created_repetitions < total) {
    const int number = job.created_repetitions;
    if (request.repetitions > 0 &&
        unix_now < request.first_due_ms + number * request.interval_ms) {
      return;
    }
    job.repetitions[number] = MakeRepetition(request);
    ++job.created_repetitions;
  }
}

scheduler::ranked_job scheduler::RankJob(job_state& job, millis now) const {
  ranked_job ranked{.job = &job};
  if (job.long_running) return ranked;
  const double ratio = run_times_.MeanRatio(job.record.queue);
  const auto objective = static_cast<millis>(
      job.record.stretch * static_cast<double>(job.critical_path_ms) * ratio +
      static_cast<double>(job.record.target_ms));
  const auto remaining = static_cast<millis>(
      static_cast<double>(job.remaining_critical_path_ms) * ratio);
  ranked.latest_start = job.accepted_at + objective - remaining;
  const millis late_start =
      job.accepted_at + kVeryLateFactor * objective - remaining;
  ranked.start_class = now <= ranked.latest_start ? 1
                       : now <= late_start        ? 2
                                                  : 3;
  return ranked;
}

void scheduler::UpdateUnlistedUsage() {
  unlisted_usage_.clear();
  if (unlisted_runners_.empty()) return;
  for (const job_state* job : active_jobs_) {
    if (!job->awaits_listings || !MayHaveUnlistedRuns(*job)) continue;
    const auto& request = job->record.request;
    for (const auto& [number, repetition] : job->repetitions) {
      for (std::size_t s = 0; s < repetition.steps.size(); ++s) {
        if (!IsStepReady(request, repetition, s)) continue;
        for (const task_state& task : repetition.steps[s].tasks) {
          if (task.done || !task.runs.empty()) continue;
          unlisted_usage_[job->record.team] += request.steps[s].needs;
        }
      }
    }
  }
}

void scheduler::PlanStarts(millis now, std::vector<order>& out) {
  unlisted_sites_.clear();
  for (const auto& [id, site] : unlisted_runners_) unlisted_sites_.insert(site);
  UpdateUnlistedUsage();
  IndexRunners(now);
  unplaceable_needs_.clear();
  blocked_demand_.clear();
  advice_requests_.clear();
  std::vector<ranked_job> ranked;
  for (job_state* job : active_jobs_) {
    if (job->awaits_listings) job->awaits_listings = MayHaveUnlistedRuns(*job);
    // While writes to the store fail, a job gets capacity only if its start
    // orders need no write of its progress record.
    if (!store_writable_ && !RecordCoversStarts(*job)) continue;
    ranked.push_back(RankJob(*job, now));
  }
  std::ranges::sort(ranked, [](const ranked_job& a, const ranked_job& b) {
    if (a.start_class != b.start_class) return a.start_class < b.start_class;
    const int a_priority = a.job->record.priority;
    const int b_priority = b.job->record.priority;
    if (a_priority != b_priority) return a_priority < b_priority;
    if (a.latest_start != b.latest_start) {
      return a.latest_start < b.latest_start;
    }
    return a.job->record.id < b.job->record.id;
  });
  for (const ranked_job& entry : ranked) StartTasksOf(*entry.job, now, out);
}

void scheduler::StartTasksOf(job_state& job, millis now,
                             std::vector<order>& out) {
  for (auto& [number, repetition] : job.repetitions) {
    if (repetition.done) continue;
    const auto& request = job.record.request;
    for (std::size_t s = 0; s < repetition.steps.size(); ++s) {
      const step_state& step = repetition.steps[s];
      if (step.done_count == static_cast<int>(step.tasks.size()) ||
          !IsStepReady(request, repetition, s)) {
        continue;
      }
      if (request.steps[s].gang) {
        StartGang(job, number, repetition, static_cast<int>(s), now, out);
      } else {
        StartStep(job, number, repetition, static_cast<int>(s), now, out);
      }
    }
  }
}

bool scheduler::IsWithinTeamLimit(const job_state& job,
                                  const fleet::resources& needs) const {
  const fleet::team_config* team = config_.FindTeam(job.record.team);
  if (!team) return true;
  fleet::resources used;
  const auto it = team_usage_.find(job.record.team);
  if (it != team_usage_.end()) used += it->second;
  const auto unlisted = unlisted_usage_.find(job.record.team);
  if (unlisted != unlisted_usage_.end()) used += unlisted->second;
  return IsWithinLimit(team->resource_limit, used, needs);
}

bool scheduler::MayHaveUnlistedRuns(const job_state& job) const {
  return std::ranges::any_of(unlisted_sites_, [&](const runner_site& unlisted) {
    return unlisted.pool == job.record.pool &&
           (job.data_centres_unknown ||
            job.data_centres.contains(unlisted.data_centre));
  });
}

}  // namespace radishwing::sched
