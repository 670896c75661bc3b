#include <algorithm>
#include <cassert>
#include <utility>

#include "src/sched/scheduler.h"

// Defers a start order until the job's progress record in the store names the
// data centre of the chosen runner. Otherwise a new leader could start the task
// a second time. A new leader treats a job without a progress record as never
// started. If the job has a progress record, the new leader waits for
// unreachable runners before it restarts a task, but only for runners in the
// data centres that the progress record names.
//
// Each term has a range of run numbers. A start with a number beyond it waits
// until the record has a limit that permits the number, so that later leaders
// use higher ones: a runner refuses a number that is not higher than one that
// it has ended, and two runs with one number could not be told apart.

namespace radishwing::sched {

bool scheduler::RecordCoversStarts(const job_state& job) {
  return job.record_revision > 0 &&
         job.persisted_version >= job.covering_version;
}

void scheduler::DispatchStarts(job_state& job, const std::vector<order>& starts,
                               millis now, std::vector<order>& out) {
  if (starts.empty()) return;
  bool added = false;
  for (const order& start : starts) {
    const runner_state* runner = FindRunner(start.runner);
    added |= job.data_centres.insert(runner->report.data_centre).second;
    if (start.run < min_run_ + kRunsPerTerm || start.run <= job.run_limit) {
      continue;
    }
    job.run_limit = start.run + kRunsPerTerm;
    added = true;
  }
  if (added) {
    MarkChanged(job);
    job.covering_version = job.progress_version;
  }
  const bool deferred = !RecordCoversStarts(job);
  if (deferred) job.write_urgent = true;
  if (deferred && !job.write_queued && !job.write_in_flight) MarkChanged(job);
  for (const order& start : starts) {
    const task_ref ref = FindTask(start.task);
    run_state& run = *FindRun(*ref.task, start.runner, start.run);
    run.start_deferred = deferred;
    if (!deferred) IssueStart(ref, run, start, now, out);
  }
}

int scheduler::NextRun(const job_state& job, const task_state& task) const {
  return std::max({min_run_, job.earlier_run_limit + 1, task.last_run + 1});
}

void scheduler::IssueStart(const task_ref& ref, run_state& run,
                           const order& start, millis now,
                           std::vector<order>& out) {
  assert(run.phase == run_phase::kStarting);
  run.start_deferred = false;
  run.start_in_flight = true;
  run.ordered_at = now;
  ref.job->phase = job_phase::kRunning;
  out.push_back(start);
  events_.push_back({event_kind::kTaskStarted, start.task, start.run,
                     start.runner, "", now - ref.job->accepted_at});
}

std::vector<scheduler::run_name> scheduler::ListRuns(
    const job_state& job,
    const std::function<bool(const run_state&)>& include) {
  std::vector<run_name> runs;
  for (const auto& [number, repetition] : job.repetitions) {
    for (std::size_t s = 0; s < repetition.steps.size(); ++s) {
      const std::vector<task_state>& tasks = repetition.steps[s].tasks;
      for (std::size_t i = 0; i < tasks.size(); ++i) {
        for (const run_state& run : tasks[i].runs) {
          if (!include(run)) continue;
          runs.push_back({{job.record.id, number, static_cast<int>(s),
                           static_cast<int>(i)},
                          run.runner,
                          run.run});
        }
      }
    }
  }
  return runs;
}

std::vector<scheduler::run_name> scheduler::ListDeferredRuns(
    const job_state& job) {
  return ListRuns(job, [](const run_state& run) { return run.start_deferred; });
}

void scheduler::DropDeferredRuns(job_state& job) {
  for (const run_name& run : ListDeferredRuns(job)) {
    DetachRun(run.task, FindTask(run.task), run.runner, run.run);
  }
}

void scheduler::IssueDeferredStarts(millis now, std::vector<order>& out) {
  for (const std::string& id : std::exchange(newly_recorded_jobs_, {})) {
    const auto it = jobs_.find(id);
    if (it == jobs_.end() || !RecordCoversStarts(*it->second)) continue;
    const std::vector<run_name> deferred = ListDeferredRuns(*it->second);
    // The members of a gang start together or not at all.
    const bool usable = std::ranges::all_of(deferred, [&](const run_name& run) {
      const runner_state* runner = FindRunner(run.runner);
      return runner && IsSchedulable(*runner, now);
    });
    if (!usable) {
      DropDeferredRuns(*it->second);
      continue;
    }
    for (const run_name& run : deferred) {
      const task_ref ref = FindTask(run.task);
      const order start =
          MakeStartOrder(run.task, ref, run.runner, run.run, now);
      IssueStart(ref, *FindRun(*ref.task, run.runner, run.run), start, now,
                 out);
    }
  }
}

}  // namespace radishwing::sched
