#include <algorithm>

#include "src/sched/job_steps.h"
#include "src/sched/scheduler.h"

// The scheduling pass and the placement of new runs.

namespace radishwing::sched {
namespace {

// A run of a step that allows speculative copies gets a copy when the run takes
// longer than kSpeculationFactor times its expected run time plus
// kSpeculationSlackMs. The slack covers the delay until a listing includes the
// end of the run.
constexpr double kSpeculationFactor = 2;
constexpr millis kSpeculationSlackMs = 300;
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

void scheduler::StartStep(job_state& job, int repetition_number,
                          repetition_state& repetition, int step_number,
                          millis now, std::vector<order>& out) {
  const auto s = static_cast<std::size_t>(step_number);
  const fleet::task_step& step = job.record.request.steps[s];
  step_state& state = repetition.steps[s];
  std::vector<order> starts;
  for (std::size_t i = 0; i < state.tasks.size(); ++i) {
    task_state& task = state.tasks[i];
    if (start_allowance_ <= 0) break;
    if (task.done || now < task.not_before) continue;
    if (!task.runs.empty() && !NeedsCopy(job, step, task, now)) continue;
    // An unlisted run of the task may exist, so only a step that allows
    // speculative copies may start another one.
    if (job.awaits_listings && !step.speculative) continue;
    if (!IsWithinTeamLimit(job, step.needs)) break;
    const auto unplaceable = unplaceable_needs_.find(job.record.pool);
    if (unplaceable != unplaceable_needs_.end() &&
        unplaceable->second.FitsIn(ReservedResources(step))) {
      AddBlockedDemand(job, step, state);
      break;
    }
    runner_state* runner = ChooseRunner(job, step, state, repetition_number,
                                        step_number, task, now);
    if (!runner) {
      RecordPlacementFailure(
          job, step, StepName(job, repetition_number, step_number), now);
      AddBlockedDemand(job, step, state);
      break;
    }
    const fleet::task_name name{job.record.id, repetition_number, step_number,
                                static_cast<int>(i)};
    PlaceRun(name, FindTask(name), *runner,
             std::max(min_run_, task.last_run + 1), now, starts);
  }
  DispatchStarts(job, starts, now, out);
}

// Records task needs that no runner can satisfy, so that the pass skips later
// steps with the same or greater needs. A pass only adds runs, so the free
// capacity only shrinks during the pass.
void scheduler::RecordPlacementFailure(const job_state& job,
                                       const fleet::task_step& step,
                                       const std::string& step_name,
                                       millis now) {
  if (job.record.ticket_valid_ms > 0) {
    RequestAdvice(job, step, step_name, now);
  } else if (step.max_per_runner == 0 && step.required_label.empty()) {
    unplaceable_needs_[job.record.pool] = ReservedResources(step);
  }
}

// A speculative copy is worth its resources if the runner of the first run is
// unreachable, or if that run takes much longer than expected.
bool scheduler::NeedsCopy(const job_state& job, const fleet::task_step& step,
                          const task_state& task, millis now) const {
  if (!step.speculative || step.long_running || task.runs.size() > 1) {
    return false;
  }
  const run_state& run = task.runs.front();
  const runner_state* runner = FindRunner(run.runner);
  if (!runner || !runner->reachable) return true;
  const double expected = static_cast<double>(step.estimate_ms) *
                          run_times_.MeanRatio(job.record.queue);
  return run.phase == run_phase::kRunning &&
         static_cast<double>(now - run.ordered_at) >
             kSpeculationFactor * expected +
                 static_cast<double>(kSpeculationSlackMs);
}

void scheduler::AddBlockedDemand(const job_state& job,
                                 const fleet::task_step& step,
                                 const step_state& state) {
  const auto waiting = std::ranges::count_if(
      state.tasks,
      [](const task_state& task) { return !task.done && task.runs.empty(); });
  if (waiting == 0) return;  // Only speculative copies found no runner.
  pool_demand& pool = blocked_demand_[job.record.pool];
  if (step.long_running) {
    pool.blocked_long_running_tasks += static_cast<int>(waiting);
    return;
  }
  pool.blocked_core_ms += static_cast<double>(waiting) *
                          run_times_.MeanRatio(job.record.queue) *
                          static_cast<double>(step.estimate_ms) *
                          static_cast<double>(step.needs.cpu_millicores) / 1000;
}

void scheduler::StartGang(job_state& job, int repetition_number,
                          repetition_state& repetition, int step_number,
                          millis now, std::vector<order>& out) {
  const auto s = static_cast<std::size_t>(step_number);
  const fleet::task_step& step = job.record.request.steps[s];
  step_state& state = repetition.steps[s];
  if (start_allowance_ <= 0) return;
  int run = min_run_;
  std::string checkpoint;
  for (task_state& task : state.tasks) {
    if (job.awaits_listings || task.done || !task.runs.empty() ||
        now < task.not_before) {
      return;
    }
    run = std::max(run, task.last_run + 1);
    if (!task.checkpoint.empty()) checkpoint = task.checkpoint;
  }
  // Places all members of the gang or none: if a member finds no runner, the
  // placements of the others are undone.
  std::vector<order> placed;
  for (std::size_t i = 0; i < state.tasks.size(); ++i) {
    task_state& task = state.tasks[i];
    task.checkpoint = checkpoint;
    runner_state* runner = nullptr;
    if (IsWithinTeamLimit(job, step.needs)) {
      runner = ChooseRunner(job, step, state, repetition_number, step_number,
                            task, now);
    }
    const fleet::task_name name{job.record.id, repetition_number, step_number,
                                static_cast<int>(i)};
    if (!runner) {
      if (job.record.ticket_valid_ms > 0) {
        RequestAdvice(job, step, StepName(job, repetition_number, step_number),
                      now);
      }
      for (const order& undo : placed) {
        const task_ref member = FindTask(undo.task);
        member.task->last_run = run - 1;
        DetachRun(undo.task, member, undo.runner, run);
      }
      AddBlockedDemand(job, step, state);
      return;
    }
    PlaceRun(name, FindTask(name), *runner, run, now, placed);
  }
  DispatchStarts(job, placed, now, out);
}

void scheduler::PlaceRun(const fleet::task_name& name, const task_ref& ref,
                         runner_state& runner, int run, millis now,
                         std::vector<order>& starts) {
  --start_allowance_;
  run_state state{.runner = runner.report.id, .run = run};
  state.ordered_at = now;
  AttachRun(name, ref, std::move(state));
  starts.push_back(MakeStartOrder(name, ref, runner.report.id, run, now));
}

order scheduler::MakeStartOrder(const fleet::task_name& name,
                                const task_ref& ref, const std::string& runner,
                                int run, millis now) const {
  order start{
      order_kind::kStart,   runner, name, run, ref.job->record.request.spec,
      ref.task->checkpoint, 100,    ""};
  if (ref.job->record.ticket_valid_ms > 0) {
    const std::string* ticket = tickets_.Find(
        StepName(*ref.job, name.repetition, name.step), runner, now);
    if (ticket) start.ticket = *ticket;
  }
  return start;
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

bool scheduler::IsSchedulable(const runner_state& runner, millis now) const {
  return runner.listed && runner.reachable && !runner.cordoned &&
         !runner.has_unknown_runs && !runner.report.draining &&
         now >= runner.not_before && runner.recorded;
}

bool scheduler::CanPlaceStep(const runner_state& runner,
                             const fleet::task_step& step) const {
  if (!step.required_label.empty() &&
      std::ranges::find(runner.report.labels, step.required_label) ==
          runner.report.labels.end()) {
    return false;
  }
  return (runner.used + ReservedResources(step)).FitsIn(runner.report.capacity);
}

runner_state* scheduler::ChooseRunner(const job_state& job,
                                      const fleet::task_step& step,
                                      const step_state& state, int repetition,
                                      int step_number, const task_state& task,
                                      millis now) {
  runner_state* best = nullptr;
  double best_score = 0;
  const std::string step_name = job.record.ticket_valid_ms > 0
                                    ? StepName(job, repetition, step_number)
                                    : std::string();
  std::string gang_rack;
  if (step.same_rack) {
    for (const task_state& other : state.tasks) {
      if (other.runs.empty()) continue;
      const runner_state* gang_runner = FindRunner(other.runs.front().runner);
      if (gang_runner) gang_rack = gang_runner->report.rack;
    }
  }
  for (runner_state* candidate : schedulable_runners_[job.record.pool]) {
    runner_state& runner = *candidate;
    const std::string& id = runner.report.id;
    if (!CanPlaceStep(runner, step)) continue;
    if (!step_name.empty() && !tickets_.Find(step_name, id, now)) continue;
    if (std::ranges::find(task.runs, id, &run_state::runner) !=
        task.runs.end()) {
      continue;
    }
    if (step.max_per_runner > 0) {
      const auto tasks_on_runner = std::ranges::count_if(
          runner.tasks, [&](const fleet::task_name& name) {
            return name.job == job.record.id && name.repetition == repetition &&
                   name.step == step_number;
          });
      if (tasks_on_runner >= step.max_per_runner) continue;
    }
    const auto free_cpu = static_cast<double>(
        runner.report.capacity.cpu_millicores - runner.used.cpu_millicores);
    const auto all_cpu = static_cast<double>(
        std::max<std::int64_t>(1, runner.report.capacity.cpu_millicores));
    // Bin packing: prefers the runner with the least free capacity, so that
    // other hosts become empty and can move to another pool. The penalties
    // below are for properties of a runner that slow the task down. Each
    // penalty outweighs this term.
    double score = 1 - free_cpu / all_cpu;
    if (runner.consecutive_failures >= kSuspectFailureThreshold) score -= 8;
    if (task.last_failed_runner == id) score -= 4;
    if (!step.data_rack.empty() && runner.report.rack != step.data_rack) {
      score -= 2;
    }
    // Keeps a job in few data centres, so that its tasks wait for few runners
    // after a takeover. Long-running tasks may spread over data centres.
    if (!step.long_running && !job.data_centres.empty() &&
        !job.data_centres.contains(runner.report.data_centre)) {
      score -= 1.2;
    }
    if (!gang_rack.empty() && runner.report.rack != gang_rack) score -= 2;
    if (step.long_running && maintenance_due_.contains(id)) score -= 1.5;
    if (step.best_effort_cpu && HasTaskOfKind(runner, true)) score -= 3;
    if (step.tail_latency_target_ms > 0 && HasTaskOfKind(runner, false))
      score -= 3;
    if (!best || score > best_score) {
      best = &runner;
      best_score = score;
    }
  }
  return best;
}

}  // namespace radishwing::sched
