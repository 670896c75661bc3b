#include <algorithm>
#include <utility>

#include "src/sched/scheduler.h"

// Starts that wait until the store has a progress record of their job that
// names the runner's data centre. A successor takes a job without a record for
// never started, and waits for silent runners of the named data centres only.

namespace radishwing::sched {

bool scheduler::StartRecorded(const job_state& job) {
  return job.record_revision > 0 && job.kept_change >= job.data_centres_change;
}

void scheduler::Emit(job_state& job, const std::vector<order>& starts,
                     millis now, std::vector<order>& out) {
  if (starts.empty()) return;
  bool added = false;
  for (const order& start : starts) {
    const runner_state* runner = FindRunner(start.runner);
    added |= job.data_centres.insert(runner->report.data_centre).second;
  }
  if (added) {
    MarkChanged(job);
    job.data_centres_change = job.change;
  }
  const bool held = !StartRecorded(job);
  if (held && !job.listed_as_changed && !job.write_in_flight) MarkChanged(job);
  for (const order& start : starts) {
    const task_ref ref = FindTask(start.task);
    run_state& run = *FindRun(*ref.task, start.runner, start.run);
    run.held = held;
    if (!held) SendStart(ref, run, start, now, out);
  }
}

void scheduler::SendStart(const task_ref& ref, run_state& run,
                          const order& start, millis now,
                          std::vector<order>& out) {
  run.held = false;
  run.order_in_flight = true;
  run.ordered_at = now;
  run.progress_at = now;
  ref.job->started = true;
  ref.job->phase = job_phase::kRunning;
  out.push_back(start);
  events_.push_back({event_kind::kTaskStarted, start.task, start.run,
                     start.runner, "", now - ref.job->accepted_at});
}

std::vector<scheduler::held_run> scheduler::HeldRuns(job_state& job) {
  std::vector<held_run> held;
  for (auto& [number, repetition] : job.repetitions) {
    for (std::size_t s = 0; s < repetition.steps.size(); ++s) {
      std::vector<task_state>& tasks = repetition.steps[s].tasks;
      for (std::size_t i = 0; i < tasks.size(); ++i) {
        for (const run_state& run : tasks[i].runs) {
          if (!run.held) continue;
          held.push_back({{job.record.id, number, static_cast<int>(s),
                           static_cast<int>(i)},
                          run.runner,
                          run.run});
        }
      }
    }
  }
  return held;
}

void scheduler::DropHeld(job_state& job) {
  for (const held_run& run : HeldRuns(job)) {
    DetachRun(run.task, FindTask(run.task), run.runner, run.run);
  }
}

void scheduler::ReleaseHeld(millis now, std::vector<order>& out) {
  for (const std::string& id : std::exchange(recorded_jobs_, {})) {
    const auto it = jobs_.find(id);
    if (it == jobs_.end() || !StartRecorded(*it->second)) continue;
    const std::vector<held_run> held = HeldRuns(*it->second);
    // Members of a gang start together or not at all.
    const bool usable = std::ranges::all_of(held, [&](const held_run& run) {
      const runner_state* runner = FindRunner(run.runner);
      return runner && TakesWork(*runner, now);
    });
    if (!usable) {
      DropHeld(*it->second);
      continue;
    }
    for (const held_run& run : held) {
      const task_ref ref = FindTask(run.task);
      const order start = MakeStart(run.task, ref, run.runner, run.run, now);
      SendStart(ref, *FindRun(*ref.task, run.runner, run.run), start, now, out);
    }
  }
}

}  // namespace radishwing::sched
