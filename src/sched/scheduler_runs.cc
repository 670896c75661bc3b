#include <algorithm>

#include "src/sched/job_steps.h"
#include "src/sched/scheduler.h"

// Plans orders for existing runs: retries, stops of stuck tasks, changes of
// pace and evacuation of runners.

namespace radishwing::sched {
namespace {

// Time without progress in a runner's listings after which a run counts as
// stuck. Runners report progress at least once a second.
constexpr millis kStuckTimeoutMs = 2500;
// Percentage of full speed of best-effort tasks while a latency-sensitive task
// on the same runner is near its target.
constexpr int kThrottledPace = 0;
// Ratios of the tail latency of a latency-sensitive task to its target. Above
// kThrottleAboveRatio, the best-effort tasks on the same runner are throttled;
// below kResumeBelowRatio, they run at full speed again.
constexpr double kThrottleAboveRatio = 0.75;
constexpr double kResumeBelowRatio = 0.4;

}  // namespace

void scheduler::CheckRuns(millis now, std::vector<order>& out) {
  for (auto& [id, runner] : runners_) {
    for (const fleet::task_name& name : runner.tasks) {
      const task_ref ref = FindTask(name);
      if (!ref.task) continue;
      for (run_state& run : ref.task->runs) {
        if (run.runner != id) continue;
        StopIfStuck(name, ref, run, runner, now);
        RetryOrder(name, ref, run, runner, now, out);
      }
    }
  }
}

void scheduler::RetryOrder(const fleet::task_name& name, const task_ref& ref,
                           run_state& run, const runner_state& runner,
                           millis now, std::vector<order>& out) {
  if (now < run.retry_at) return;
  const bool stop = run.phase == run_phase::kStopping && !run.stop_confirmed &&
                    !run.stop_in_flight;
  const bool start = run.phase == run_phase::kStarting &&
                     run.start_unanswered && !run.start_in_flight;
  if (!stop && !start) return;
  if (start && IsEvacuated(runner)) {
    // A repeated order could be the first one that the runner carries out.
    return RequestStop(name, run, "evacuated", now);
  }
  // Do not repeat a start order to an unreachable runner: the order would
  // extend the leader's lease on the runner, which has to expire before the
  // task can start on another runner.
  if (start && !runner.reachable) return;
  (stop ? run.stop_in_flight : run.start_in_flight) = true;
  order retry = MakeStartOrder(name, ref, run.runner, run.run, now);
  if (stop) retry = {order_kind::kStop, run.runner, name, run.run, "", "", 100};
  retry.reason = "retry";
  out.push_back(std::move(retry));
}

void scheduler::StopIfStuck(const fleet::task_name& name, const task_ref& ref,
                            run_state& run, runner_state& runner, millis now) {
  if (!runner.reachable || ref.step->gang) return;
  if (run.phase != run_phase::kRunning || run.progress_percent >= 100 ||
      run.pace_percent < 100 || run.StalledMs() < kStuckTimeoutMs) {
    return;
  }
  runner.consecutive_failures =
      std::max(runner.consecutive_failures, kSuspectFailureThreshold);
  ref.task->last_failed_runner = run.runner;
  RequestStop(name, run, "stuck", now);
}

bool scheduler::HasTaskOfKind(const runner_state& runner,
                              bool latency_sensitive) const {
  return std::ranges::any_of(runner.tasks, [&](const fleet::task_name& name) {
    const fleet::task_step* step = FindStep(name);
    return step && (latency_sensitive ? step->tail_latency_target_ms > 0
                                      : step->best_effort_cpu);
  });
}

void scheduler::PlanPace(std::vector<order>& out) {
  for (auto& [id, runner] : runners_) {
    // -1 if the runner has no latency-sensitive task.
    double worst_latency_ratio = -1;
    for (const fleet::task_name& name : runner.tasks) {
      const task_ref ref = FindTask(name);
      if (!ref.task || ref.step->tail_latency_target_ms == 0) continue;
      for (const run_state& run : ref.task->runs) {
        if (run.runner != id) continue;
        worst_latency_ratio = std::max(
            worst_latency_ratio,
            run.load / static_cast<double>(ref.step->tail_latency_target_ms));
      }
    }
    for (const fleet::task_name& name : runner.tasks) {
      const task_ref ref = FindTask(name);
      if (!ref.task || !ref.step->best_effort_cpu) continue;
      for (run_state& run : ref.task->runs) {
        if (run.runner != id || run.phase != run_phase::kRunning) continue;
        const int pace =
            worst_latency_ratio > kThrottleAboveRatio ? kThrottledPace
            : worst_latency_ratio < kResumeBelowRatio ? 100
                                                      : run.pace_percent;
        if (pace == run.pace_percent) continue;
        run.pace_percent = pace;
        run.RestartProgressTimer();
        out.push_back(
            {order_kind::kPace, id, name, run.run, "", "", pace, "tail"});
      }
    }
  }
}

std::size_t scheduler::CountUnansweredStarts() const {
  std::size_t count = 0;
  for (const job_state* job : active_jobs_) {
    for (const auto& [number, repetition] : job->repetitions) {
      for (const step_state& step : repetition.steps) {
        for (const task_state& task : step.tasks) {
          count += static_cast<std::size_t>(
              std::ranges::count_if(task.runs, [](const run_state& run) {
                return run.phase == run_phase::kStarting &&
                       run.start_unanswered;
              }));
        }
      }
    }
  }
  return count;
}

// A task on an unreachable runner, or one that an earlier leader may have
// stopped, counts as unavailable, whatever the most recent listing says.
bool scheduler::IsAvailable(const task_state& task) const {
  return std::ranges::any_of(task.runs, [&](const run_state& run) {
    const runner_state* runner = FindRunner(run.runner);
    return run.phase == run_phase::kRunning && run.progress_percent >= 100 &&
           run.IsUnaffectedByEarlierLeaders(max_stop_ms_) && runner &&
           runner->reachable;
  });
}

int scheduler::CountUnavailablePeers(const step_state& state,
                                     const task_state& task) const {
  return static_cast<int>(
      std::ranges::count_if(state.tasks, [&](const task_state& other) {
        return &other != &task && !IsAvailable(other);
      }));
}

bool scheduler::Evacuate(const std::string& id, bool stop_batch_tasks,
                         millis now) {
  const auto it = runners_.find(id);
  if (it == runners_.end()) return true;
  // Whether the runner is empty is unknown until its first listing.
  if (!it->second.listed) return false;
  for (const fleet::task_name& name : it->second.tasks) {
    const task_ref ref = FindTask(name);
    if (!ref.task) continue;
    const auto run = std::ranges::find(ref.task->runs, id, &run_state::runner);
    if (run == ref.task->runs.end() || run->phase != run_phase::kRunning) {
      continue;
    }
    if (ref.step->long_running) {
      // The check of the disruption budget does not count this task as
      // unavailable: the task may have become available since the most recent
      // poll.
      if (ref.step->has_disruption_budget &&
          CountUnavailablePeers(*ref.state, *ref.task) >=
              ref.step->max_unavailable) {
        continue;
      }
      RequestStop(name, *run, "evacuate", now);
    } else if (stop_batch_tasks) {
      RequestStop(name, *run, "evacuate", now);
    }
  }
  return it->second.tasks.empty();
}

}  // namespace radishwing::sched
