#include "src/sched/backlog_collector.h"

#include <algorithm>
#include <utility>

#include "src/sched/admission_policy.h"
#include "src/sched/job_steps.h"

namespace radishwing::sched {
namespace {

// A pool whose waiting work takes less time than this has no backlog: the work
// may only wait for the next scheduling pass.
constexpr double kMinBacklogMs = 100;

job_urgency UrgencyOf(const job_state& job, double ratio, millis now) {
  const double objective =
      job.record.stretch * static_cast<double>(job.critical_path_ms) * ratio +
      static_cast<double>(job.record.target_ms);
  const double age_at_end =
      static_cast<double>(now - job.accepted_at) +
      static_cast<double>(job.remaining_critical_path_ms) * ratio;
  return {objective - age_at_end, kValueLostFactor * objective - age_at_end};
}

// Returns the number of the step's tasks with a run.
std::size_t CountRunning(const job_state& job, const step_state& state) {
  if (job.active_runs == 0) return 0;
  return static_cast<std::size_t>(std::ranges::count_if(
      state.tasks, [](const task_state& task) { return !task.runs.empty(); }));
}

fleet::resources Times(const fleet::resources& needs, std::int64_t count) {
  if (count <= 0) return {};
  const auto product = [count](std::int64_t need) {
    return std::min(need, kMaxBacklogAmount / count) * count;
  };
  return {product(needs.cpu_millicores), product(needs.memory_mb),
          product(needs.accelerators)};
}

bool HasBacklog(const team_backlog& team, double room_millicores) {
  const double work = team.WaitingCoreMs();
  const double room = team.limit_millicores < 0
                          ? room_millicores
                          : std::min(room_millicores, team.limit_millicores);
  return work > 0 && work * 1000 >= room * kMinBacklogMs;
}

}  // namespace

void backlog_collector::AddCapacity(const std::string& pool,
                                    const fleet::resources& capacity) {
  pool_backlog& backlog = pools_[pool].backlog;
  backlog.capacity += capacity;
  backlog.room_millicores += static_cast<double>(capacity.cpu_millicores);
}

void backlog_collector::AddJob(const job_state& job,
                               const run_time_model& run_times, millis now) {
  const fleet::job_request& request = job.record.request;
  pool_work& pool = pools_[job.record.pool];
  const double ratio = run_times.MeanRatio(job.record.queue);
  const added_job added{job, ratio, UrgencyOf(job, ratio, now)};
  if (!job.long_running) pool.queues.insert(job.record.queue);
  if (job.active_runs == 0 && added.urgency.value_slack_ms < 0) return;
  for (const auto& [number, repetition] : job.repetitions) {
    if (repetition.done) continue;
    for (std::size_t s = 0; s < repetition.steps.size(); ++s) {
      const step_state& state = repetition.steps[s];
      if (request.steps[s].long_running) {
        AddLongRunning(job.record.team, request.steps[s], state, pool.backlog);
      } else {
        AddStep(added, s, state, IsStepReady(request, repetition, s), pool);
      }
    }
  }
}

void backlog_collector::AddStep(const added_job& added, std::size_t step_number,
                                const step_state& state, bool is_ready,
                                pool_work& pool) {
  const job_state& job = added.job;
  const fleet::task_step& step = job.record.request.steps[step_number];
  team_backlog& team = pool.teams[{job.record.team, job.record.priority}];
  const double millicores =
      EffectiveMillicores(step.needs, pool.backlog.capacity);
  const std::size_t running = CountRunning(job, state);
  const std::size_t unfinished =
      state.tasks.size() - static_cast<std::size_t>(state.done_count);
  // A task that is done may still have a run that is being stopped.
  const bool waits = added.urgency.value_slack_ms >= 0 && unfinished > running;
  const std::size_t waiting = waits ? unfinished - running : 0;
  const double waiting_millicores = static_cast<double>(waiting) * millicores;
  team.used_millicores += static_cast<double>(running) * millicores;
  if (is_ready) team.waiting_millicores += waiting_millicores;
  const double core_ms = waiting_millicores *
                         static_cast<double>(step.estimate_ms) *
                         added.run_time_ratio / 1000;
  if (!is_ready) {
    team.blocked_core_ms += core_ms;
  } else if (added.urgency.slack_ms < 0) {
    team.late_core_ms += core_ms;
  } else {
    team.feasible_core_ms[SlackIndex(added.urgency.slack_ms)] += core_ms;
  }
  const std::size_t demanded = running + (is_ready ? waiting : 0);
  team_demand& demand = demand_[job.record.team];
  demand.needs += Times(step.needs, static_cast<std::int64_t>(demanded));
  demand.millicores += static_cast<double>(demanded) * millicores;
}

void backlog_collector::AddLongRunning(const std::string& team,
                                       const fleet::task_step& step,
                                       const step_state& state,
                                       pool_backlog& pool) {
  fleet::resources reserved = step.needs;
  if (step.best_effort_cpu) reserved.cpu_millicores = 0;
  for (const task_state& task : state.tasks) {
    if (task.runs.empty()) continue;
    pool.room_millicores -= EffectiveMillicores(reserved, pool.capacity);
    long_running_[team] += step.needs;
  }
}

void backlog_collector::ApplyConfig(const fleet::fleet_config& config,
                                    team_backlog& team) const {
  const fleet::team_config* found = config.FindTeam(team.claim.team);
  if (!found) return;
  team.weight = found->weight;
  const auto demand = demand_.find(found->name);
  if (demand == demand_.end()) return;
  const auto taken = long_running_.find(found->name);
  const fleet::resources used =
      taken == long_running_.end() ? fleet::resources{} : taken->second;
  // The part of the demand that the limits permit.
  double part = 1;
  const auto apply = [&part](std::int64_t limit, std::int64_t in_use,
                             std::int64_t need) {
    if (limit <= 0 || need <= 0) return;
    const auto left =
        static_cast<double>(std::max<std::int64_t>(0, limit - in_use));
    part = std::min(part, left / static_cast<double>(need));
  };
  const fleet::resources& limit = found->resource_limit;
  const fleet::resources& needs = demand->second.needs;
  apply(limit.cpu_millicores, used.cpu_millicores, needs.cpu_millicores);
  apply(limit.memory_mb, used.memory_mb, needs.memory_mb);
  apply(limit.accelerators, used.accelerators, needs.accelerators);
  if (part >= 1) return;
  // How a team divides its limit among pools changes with its work, so that
  // each pool may have all of it.
  team.limit_millicores = part * demand->second.millicores;
}

std::vector<pool_backlog> backlog_collector::Finish(
    const fleet::fleet_config& config, const run_time_model& run_times) {
  std::vector<pool_backlog> backlogs;
  for (auto& [name, pool] : pools_) {
    pool_backlog& backlog = pool.backlog;
    backlog.pool = name;
    backlog.room_millicores = std::max(0.0, backlog.room_millicores);
    bool has_backlog = false;
    for (auto& [claim, team] : pool.teams) {
      team.claim = claim;
      ApplyConfig(config, team);
      has_backlog = has_backlog || HasBacklog(team, backlog.room_millicores);
      if (team.WaitingCoreMs() > 0) backlog.teams.push_back(std::move(team));
    }
    if (!has_backlog) continue;
    for (const std::string& queue : pool.queues) {
      backlog.queues.push_back(
          {queue, run_times.MeanRatio(queue), run_times.Spread(queue)});
    }
    backlogs.push_back(std::move(backlog));
  }
  return backlogs;
}

}  // namespace radishwing::sched
