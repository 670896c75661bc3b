#include <algorithm>

#include "src/sched/job_steps.h"
#include "src/sched/progress_codec.h"
#include "src/sched/scheduler.h"

// Keeps the jobs in agreement with their records in the store.

namespace radishwing::sched {

std::vector<std::string> scheduler::ExpiredJobs(millis now, millis retention_ms,
                                                std::size_t limit) const {
  std::vector<std::string> expired;
  for (const auto& [id, job] : jobs_) {
    if (expired.size() >= limit) break;
    if (job->IsFinished() && job->active_runs == 0 &&
        job->progress_version == job->persisted_version &&
        now - job->finished_at > retention_ms) {
      expired.push_back(id);
    }
  }
  return expired;
}

void scheduler::DropJob(const std::string& id) {
  const auto it = jobs_.find(id);
  if (it == jobs_.end()) return;
  for (const run_name& run :
       ListRuns(*it->second, [](const run_state&) { return true; })) {
    DetachRun(run.task, FindTask(run.task), run.runner, run.run);
  }
  tickets_.DropJob(id);
  std::erase(write_queue_, id);
  std::erase(active_jobs_, it->second.get());
  jobs_.erase(it);
}

void scheduler::ClearRecordRevision(const std::string& job) {
  const auto it = jobs_.find(job);
  if (it != jobs_.end()) it->second->record_revision = 0;
}

bool scheduler::MergeProgress(const std::string& id, std::string_view text,
                              std::uint64_t revision, millis now) {
  const auto it = jobs_.find(id);
  if (it == jobs_.end()) return false;
  job_state& job = *it->second;
  job.record_revision = revision;
  if (DecodeAuthor(text) == job.author) return false;
  job_state stored;
  stored.record.request = job.record.request;
  const bool readable = Ok(DecodeProgress(text, stored));
  // An earlier leader may have started runs of the job.
  job.awaits_listings = true;
  job.started |= stored.started;
  job.data_centres.merge(stored.data_centres);
  job.earlier_run_limit =
      std::max(job.earlier_run_limit, stored.earlier_run_limit);
  MarkChanged(job);
  if (!readable) {
    job.data_centres_unknown = true;
    job.covering_version = job.progress_version;
  } else if (!stored.IsFinished()) {
    if (!job.IsFinished()) MergeRepetitions(job, stored, now);
  } else if (job.IsFinished()) {
    job.phase = stored.phase;
  } else {
    FinishJob(job, stored.phase, now);
  }
  return true;
}

void scheduler::MergeRepetitions(job_state& job, const job_state& stored,
                                 millis now) {
  job.created_repetitions =
      std::max(job.created_repetitions, stored.created_repetitions);
  for (const auto& [number, from] : stored.repetitions) {
    const auto [slot, inserted] = job.repetitions.try_emplace(number, from);
    if (inserted || slot->second.done) continue;
    repetition_state merged = from;
    if (from.done) {
      // All tasks are done, whether or not the record names them.
      merged = MakeRepetition(job.record.request);
      for (step_state& step : merged.steps) {
        for (task_state& task : step.tasks) task.done = true;
      }
    }
    MergeRepetition(job.record.id, number, merged, slot->second, now);
  }
  UpdateCriticalPath(job);
  FinishMergedJob(job, now);
}

void scheduler::MergeRepetition(const std::string& id, int number,
                                const repetition_state& from,
                                repetition_state& repetition, millis now) {
  for (std::size_t s = 0; s < from.steps.size(); ++s) {
    for (std::size_t i = 0; i < from.steps[s].tasks.size(); ++i) {
      MergeTask({id, number, static_cast<int>(s), static_cast<int>(i)},
                from.steps[s].tasks[i], repetition.steps[s], now);
    }
  }
}

void scheduler::MergeTask(const fleet::task_name& name,
                          const task_state& stored, step_state& step,
                          millis now) {
  task_state& task = step.tasks[static_cast<std::size_t>(name.index)];
  for (const int run : stored.failed_runs) {
    if (std::ranges::find(task.failed_runs, run) == task.failed_runs.end()) {
      task.failed_runs.push_back(run);
    }
  }
  task.last_run = std::max(task.last_run, stored.last_run);
  if (task.checkpoint.empty()) task.checkpoint = stored.checkpoint;
  if (!stored.done || task.done) return;
  task.done = true;
  ++step.done_count;
  StopRuns(
      name, [](const run_state&) { return true; }, "copy_done", now);
}

void scheduler::FinishMergedJob(job_state& job, millis now) {
  std::vector<int> numbers;
  for (const auto& [number, repetition] : job.repetitions) {
    numbers.push_back(number);
    for (std::size_t s = 0; s < repetition.steps.size(); ++s) {
      if (job.record.request.steps[s].long_running) continue;
      const bool exhausted = std::ranges::any_of(
          repetition.steps[s].tasks, [&](const task_state& task) {
            return !task.done && static_cast<int>(task.failed_runs.size()) >=
                                     job.record.max_attempts;
          });
      if (exhausted) return FinishJob(job, job_phase::kFailed, now);
    }
  }
  for (const int number : numbers) {
    task_ref ref{.job = &job, .repetition = &job.repetitions.at(number)};
    FinishRepetitionIfDone(ref, now);
    if (job.IsFinished()) return;
  }
}

}  // namespace radishwing::sched
