#include <algorithm>
#include <limits>

#include "src/sched/job_rank.h"
#include "src/sched/scheduler.h"

// The demand of the pools, as input to the pool planner.

namespace radishwing::sched {
namespace {

double CoreMs(const fleet::task_step& step, double tasks,
              double run_time_ratio) {
  return tasks * run_time_ratio * static_cast<double>(step.estimate_ms) *
         static_cast<double>(step.needs.cpu_millicores) / 1000;
}

// Returns the processor capacity that the runs of a job use, in 1/1000 core.
std::int64_t UsedMillicores(const job_state& job) {
  std::int64_t used = 0;
  for (const auto& [number, repetition] : job.repetitions) {
    for (std::size_t s = 0; s < repetition.steps.size(); ++s) {
      const fleet::task_step& step = job.record.request.steps[s];
      if (step.best_effort_cpu) continue;
      for (const task_state& task : repetition.steps[s].tasks) {
        used += static_cast<std::int64_t>(task.runs.size()) *
                step.needs.cpu_millicores;
      }
    }
  }
  return used;
}

}  // namespace

void scheduler::AddBlockedDemand(const job_state& job,
                                 const fleet::task_step& step,
                                 const step_state& state, millis now) {
  const auto waiting = std::ranges::count_if(
      state.tasks,
      [](const task_state& task) { return !task.done && task.runs.empty(); });
  if (waiting == 0) return;  // Only speculative copies found no runner.
  pool_demand& pool = blocked_demand_[job.record.pool];
  if (step.long_running) {
    pool.blocked_long_running_tasks += static_cast<int>(waiting);
    return;
  }
  const double ratio = run_times_.MeanRatio(job.record.queue);
  const double work = CoreMs(step, static_cast<double>(waiting), ratio);
  const job_prospect prospect = RankJob(job, ratio, now).prospect;
  pool.blocked_core_ms += work;
  if (prospect >= job_prospect::kLate) pool.late_core_ms += work;
  if (prospect == job_prospect::kWorthless) pool.very_late_core_ms += work;
}

void scheduler::CountArrival(const job_state& job) {
  const double ratio = run_times_.MeanRatio(job.record.queue);
  for (const fleet::task_step& step : job.record.request.steps) {
    if (step.long_running) continue;
    arrived_core_ms_[job.record.pool] +=
        CoreMs(step, static_cast<double>(step.count), ratio);
  }
}

std::map<std::string, pool_demand> scheduler::DemandByPool(millis now) const {
  std::map<std::string, pool_demand> demand;
  for (const fleet::pool_config& pool : config_.pools) {
    if (!pool.standby) demand[pool.name];
  }
  for (const auto& [pool, blocked] : blocked_demand_) demand[pool] = blocked;
  for (const auto& [id, runner] : runners_) {
    pool_demand& pool = demand[runner.report.pool];
    if (!runner.listed || !runner.reachable || runner.cordoned ||
        runner.report.draining || IsEvacuated(runner)) {
      continue;
    }
    pool.capacity_millicores += runner.report.capacity.cpu_millicores;
    pool.used_millicores += runner.used.cpu_millicores;
  }
  for (const job_state* job : active_jobs_) {
    if (job->active_runs == 0 || job->long_running) continue;
    const double ratio = run_times_.MeanRatio(job->record.queue);
    if (RankJob(*job, ratio, now).prospect < job_prospect::kLate) continue;
    demand[job->record.pool].late_used_millicores += UsedMillicores(*job);
  }
  for (auto& [pool, load] : demand) {
    load.late_used_millicores =
        std::min(load.late_used_millicores, load.used_millicores);
    const auto arrived = arrived_core_ms_.find(pool);
    if (arrived != arrived_core_ms_.end()) {
      load.arrived_core_ms = arrived->second;
    }
  }
  return demand;
}

millis scheduler::BusyMs(const std::string& runner, millis now) {
  const runner_state* state = FindRunner(runner);
  if (!state) return 0;
  millis busy = 0;
  for (const fleet::task_name& name : state->tasks) {
    const task_ref ref = FindTask(name);
    if (!ref.task) continue;
    if (ref.step->long_running) return std::numeric_limits<millis>::max();
    const double total = static_cast<double>(ref.step->estimate_ms) *
                         run_times_.MeanRatio(ref.job->record.queue);
    for (const run_state& run : ref.task->runs) {
      if (run.runner != runner) continue;
      const auto age = static_cast<double>(now - run.ordered_at);
      const int done = std::min(run.progress_percent, 100);
      const double left = done > 0 ? age * (100 - done) / done : total - age;
      busy = std::max(busy, static_cast<millis>(std::max(0.0, left)));
    }
  }
  return busy;
}

}  // namespace radishwing::sched
