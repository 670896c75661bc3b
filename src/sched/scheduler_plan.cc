#include <algorithm>
#include <iterator>

#include "src/sched/job_rank.h"
#include "src/sched/job_steps.h"
#include "src/sched/place_starter.h"
#include "src/sched/scheduler.h"
#include "src/sched/start_queue.h"

// The scheduling pass: which jobs start tasks, in which order.

namespace radishwing::sched {
namespace {

// Interval of the checks for retries, stuck tasks, paces and due repetitions.
constexpr millis kHousekeepingIntervalMs = 50;
// Duration from which a shortage of a pool counts as lasting: hosts that move
// to the pool need about as long.
constexpr millis kLastingShortageMs = 2000;
// Interval of the reports of the teams' shares.
constexpr millis kShareReportIntervalMs = 1000;

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

std::int64_t FreeMillicores(const runner_state& runner) {
  return runner.report.capacity.cpu_millicores - runner.used.cpu_millicores;
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
  std::map<std::string, fleet::resources> capacities;
  for (const auto& [pool, runners] : pools_) {
    fleet::resources& capacity = capacities[pool];
    for (runner_state* runner : runners) {
      capacity += runner->report.capacity;
      if (IsSchedulable(*runner, now))
        schedulable_runners_[pool].push_back(runner);
    }
  }
  shares_.BeginPass(now, std::move(capacities));
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

std::set<std::string> scheduler::FindShortPools(millis now) {
  std::set<std::string> lasting;
  std::map<std::string, millis> since;
  for (const auto& [pool, blocked] : blocked_demand_) {
    if (blocked.blocked_core_ms <= blocked.late_core_ms) continue;
    const auto known = short_since_.find(pool);
    since[pool] = known == short_since_.end() ? now : known->second;
    if (now - since[pool] >= kLastingShortageMs) lasting.insert(pool);
  }
  short_since_ = std::move(since);
  return lasting;
}

void scheduler::PlanStarts(millis now, std::vector<order>& out) {
  std::set<std::string> short_pools = FindShortPools(now);
  unlisted_sites_.clear();
  for (const auto& [id, site] : unlisted_runners_) unlisted_sites_.insert(site);
  UpdateUnlistedUsage();
  IndexRunners(now);
  unplaceable_needs_.clear();
  blocked_demand_.clear();
  advice_requests_.clear();
  start_queue queue(shares_, std::move(short_pools));
  const bool store_blocked = IsStoreBlocked(now);
  for (job_state* job : active_jobs_) {
    if (job->awaits_listings) job->awaits_listings = MayHaveUnlistedRuns(*job);
    // While writes to the store fail, a job gets capacity only if its start
    // orders need no write of its progress record.
    const bool record_blocked = store_blocked || now < job->write_held_until;
    if (record_blocked && !RecordCoversStarts(*job)) continue;
    queue.Add(*job,
              RankJob(*job, run_times_.MeanRatio(job->record.queue), now));
  }
  StartInOrder(queue, now, out);
  ReportShares(now);
}

void scheduler::StartInOrder(start_queue& queue, millis now,
                             std::vector<order>& out) {
  // Jobs of one pool follow each other, so that the search for the blocked
  // demand of the pool is rarely repeated.
  const pool_demand* demand = nullptr;
  const std::string* pool = nullptr;
  const auto blocked_core_ms = [&](const job_state& job) {
    if (!demand || *pool != job.record.pool) {
      const auto it = blocked_demand_.find(job.record.pool);
      demand = it == blocked_demand_.end() ? nullptr : &it->second;
      pool = &job.record.pool;
    }
    return demand ? demand->blocked_core_ms : 0;
  };
  int starts = 0;
  bool room_kept = false;
  while (job_state* job = queue.Next(starts)) {
    if (!room_kept && queue.Prospect() >= job_prospect::kLate) {
      room_kept = true;
      KeepRoomForTimelyWork();
    }
    const int runs_before = job->active_runs;
    const double blocked_before = blocked_core_ms(*job);
    StartTasksOf(*job, now, out);
    starts = job->active_runs - runs_before;
    shares_.AddWaiting(*job->account, blocked_core_ms(*job) - blocked_before);
  }
}

// Late work has smaller tasks than timely work that waits for a hole of its
// size. It would fill each hole before it is large enough. It gets the other
// runners: those on which no hole can arise as long-running tasks take the
// room, and, while less than half of the pool is in use, half of them all.
void scheduler::KeepRoomForTimelyWork() {
  for (auto& entry : unplaceable_needs_) {
    const std::string& pool = entry.first;
    fleet::resources& needs = entry.second;
    const auto blocked = blocked_demand_.find(pool);
    if (blocked == blocked_demand_.end() ||
        blocked->second.blocked_core_ms <= 0) {
      continue;
    }
    std::vector<runner_state*>& runners = schedulable_runners_[pool];
    const auto kept_end = std::stable_partition(
        runners.begin(), runners.end(), [&](const runner_state* runner) {
          return (needs + runner->long_running_use)
              .FitsIn(runner->report.capacity);
        });
    std::int64_t free = 0;
    std::int64_t used = 0;
    for (const runner_state* runner : runners) {
      free += FreeMillicores(*runner);
      used += runner->used.cpu_millicores;
    }
    auto kept = kept_end - runners.begin();
    if (used < free) {
      // The runners with the most room are the nearest to a hole.
      std::stable_sort(runners.begin(), kept_end,
                       [](const runner_state* a, const runner_state* b) {
                         return FreeMillicores(*a) > FreeMillicores(*b);
                       });
      kept = std::min(kept, (std::ssize(runners) + 1) / 2);
    }
    runners.erase(runners.begin(), runners.begin() + kept);
    if (runners.empty()) needs = {};
  }
}

void scheduler::ReportShares(millis now) {
  if (now - shares_reported_at_ < kShareReportIntervalMs) return;
  shares_reported_at_ = now;
  share_reports_ = shares_.Report();
  for (const share_report& report : share_reports_) {
    if (!report.held_back) continue;
    events_.push_back({event_kind::kTeamHeldBack, fleet::task_name(), 0,
                       report.pool, FormatShareReport(report), 0});
  }
}

void scheduler::StartTasksOf(job_state& job, millis now,
                             std::vector<order>& out) {
  // Later repetitions wait, so that the progress record stays short enough for
  // the store.
  int open = 0;
  for (auto& [number, repetition] : job.repetitions) {
    if (repetition.done) continue;
    if (++open > job.max_open_repetitions) return;
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
