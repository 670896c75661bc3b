#include "src/sched/scheduler.h"

#include <algorithm>
#include <cassert>
#include <iterator>

#include "src/sched/job_steps.h"
#include "src/sched/progress_codec.h"

namespace radishwing::sched {
scheduler::scheduler(int min_run) : min_run_(min_run) {}

void scheduler::SetConfig(const fleet::fleet_config& config) {
  config_ = config;
  shares_.SetConfig(config);
  for (const fleet::queue_config& queue : config.queues) {
    if (queue.ticket_valid_ms <= 0) continue;
    advice_budgets_[queue.name].SetDeclaredMs(queue.advice_fixed_ms,
                                              queue.advice_per_runner_ms);
  }
}

void scheduler::AddJob(fleet::job_record record, bool restored, millis now,
                       millis unix_now) {
  auto& slot = jobs_[record.id];
  if (slot) return;
  slot = std::make_unique<job_state>();
  // No two terms have the same lowest run number.
  slot->author = std::to_string(min_run_) + "-" + std::to_string(++added_jobs_);
  slot->awaits_listings = restored;
  const millis age = std::max<millis>(0, unix_now - record.accepted_unix_ms);
  slot->accepted_at = now - age;
  slot->long_running = std::ranges::any_of(record.request.steps,
                                           &fleet::task_step::long_running);
  slot->record = std::move(record);
  slot->account = &shares_.Account(slot->record.pool, slot->record.team);
  slot->record.body.clear();
  slot->record.body.shrink_to_fit();
  slot->max_open_repetitions =
      MaxOpenRepetitions(slot->record, max_record_bytes_);
  slot->critical_path_ms = CriticalPathMs(slot->record.request, nullptr);
  slot->remaining_critical_path_ms = slot->critical_path_ms;
  CreateRepetitions(*slot, unix_now);
  active_jobs_.push_back(slot.get());
  if (!restored) CountArrival(*slot);
  // RestoreProgress sets the phase of a restored job.
  if (!restored) ApplyEarlyCancel(*slot, now);
}

void scheduler::ApplyEarlyCancel(job_state& job, millis now) {
  const bool cancelled =
      early_cancels_.Take(job.record.id, job.record.stored_revision);
  if (cancelled || job.record.cancelled) CancelJob(job.record.id, now);
}

result<success> scheduler::RestoreProgress(const std::string& id,
                                           std::string_view text,
                                           std::uint64_t revision, millis now) {
  const auto it = jobs_.find(id);
  if (it == jobs_.end()) {
    return failure{failure_kind::kNotFound, "no such job"};
  }
  job_state& job = *it->second;
  job.record_revision = revision;
  auto restored = DecodeProgress(text, job);
  if (Ok(restored) && job.IsFinished()) job.finished_at = now;
  if (!Ok(restored)) {
    job.data_centres_unknown = true;
    MarkChanged(job);
    job.covering_version = job.progress_version;
  }
  UpdateCriticalPath(job);
  ApplyEarlyCancel(job, now);
  return restored;
}

void scheduler::UpdateCriticalPath(job_state& job) {
  job.remaining_critical_path_ms = 0;
  for (const auto& [number, repetition] : job.repetitions) {
    if (repetition.done) continue;
    job.remaining_critical_path_ms =
        CriticalPathMs(job.record.request, &repetition);
    return;
  }
}

void scheduler::MarkChanged(job_state& job) {
  job.write_urgent = true;
  MarkChangedByEnd(job);
}

void scheduler::MarkChangedByEnd(job_state& job) {
  ++job.progress_version;
  QueueWrite(job);
}

void scheduler::QueueWrite(job_state& job) {
  if (job.write_queued || job.write_in_flight) return;
  job.write_queued = true;
  job.write_considered_at = -1;
  write_queue_.push_back(job.record.id);
}

void scheduler::CancelJob(const std::string& id, millis now,
                          std::uint64_t revision) {
  const auto it = jobs_.find(id);
  if (it == jobs_.end()) return early_cancels_.Add(id, revision, now);
  if (it->second->IsFinished()) return;
  FinishJob(*it->second, job_phase::kCancelled, now);
}

const job_state* scheduler::FindJob(const std::string& id) const {
  const auto it = jobs_.find(id);
  return it == jobs_.end() ? nullptr : it->second.get();
}

std::map<std::string, std::size_t> scheduler::PendingJobCounts() const {
  std::map<std::string, std::size_t> counts;
  for (const job_state* job : active_jobs_) {
    if (!job->started && !job->IsFinished()) ++counts[job->record.queue];
  }
  return counts;
}

void scheduler::AddRunner(const fleet::runner_report& report) {
  runner_state& runner = runners_[report.id];
  runner.report = report;
  runner.recorded = recorded_runners_.contains(report.id);
  runner.cordoned = runner_holds_.contains(report.id);
  pools_stale_ = true;
}

void scheduler::SetRecordedRunners(std::set<std::string> runners) {
  recorded_runners_ = std::move(runners);
  for (auto& [id, runner] : runners_) {
    runner.recorded = recorded_runners_.contains(id);
  }
}

void scheduler::AddUnlistedRunner(const std::string& id,
                                  const std::string& pool,
                                  const std::string& data_centre) {
  unlisted_runners_[id] = {pool, data_centre};
}

void scheduler::SetReachable(const std::string& id, bool reachable) {
  const auto it = runners_.find(id);
  if (it != runners_.end()) it->second.reachable = reachable;
}

void scheduler::SetRunnerHolds(runner_holds holds) {
  if (holds == runner_holds_) return;
  runner_holds_ = std::move(holds);
  for (auto& [id, runner] : runners_) {
    runner.cordoned = runner_holds_.contains(id);
  }
}

const runner_state* scheduler::FindRunner(const std::string& id) const {
  const auto it = runners_.find(id);
  return it == runners_.end() ? nullptr : &it->second;
}

void scheduler::RemoveRunner(const std::string& id, millis now) {
  unlisted_runners_.erase(id);
  const auto it = runners_.find(id);
  if (it == runners_.end()) return;
  const std::set<fleet::task_name> tasks = it->second.tasks;
  for (const fleet::task_name& name : tasks) {
    const task_ref ref = FindTask(name);
    if (!ref.task) continue;
    const auto run = std::ranges::find(ref.task->runs, id, &run_state::runner);
    if (run == ref.task->runs.end()) continue;
    AbandonRun(name, ref, *run, "runner_gone", now);
  }
  runners_.erase(id);
  tickets_.DropRunner(id);
  pools_stale_ = true;
}

void scheduler::ResetRestartedRunner(const std::string& id, millis sent_at,
                                     millis now) {
  unlisted_runners_.erase(id);
  const auto it = runners_.find(id);
  if (it == runners_.end()) return;
  it->second.last_end_number = 0;
  tickets_.DropRunner(id);
  it->second.listed = false;
  const std::set<fleet::task_name> tasks = it->second.tasks;
  for (const fleet::task_name& name : tasks) {
    const task_ref ref = FindTask(name);
    if (!ref.task) continue;
    const auto run = std::ranges::find(ref.task->runs, id, &run_state::runner);
    if (run == ref.task->runs.end()) continue;
    // The new incarnation may have accepted the start after its listing.
    const bool maybe_accepted =
        run->phase == run_phase::kRunning && run->confirmed_at >= sent_at;
    if (run->start_unanswered || run->HasOrderInFlight() || maybe_accepted) {
      // The new incarnation may still carry out the start.
      run->start_unanswered = true;
      RequestStop(name, *run, "runner_reborn", now);
      // A stop that the earlier incarnation confirmed does not hold for it.
      run->stop_confirmed = false;
      run->confirmed_at = 0;
      run->retry_at = now;
      continue;
    }
    AbandonRun(name, ref, *run, "runner_reborn", now);
  }
}

std::vector<scheduler_event> scheduler::TakeEvents() {
  return std::exchange(events_, {});
}

// An earlier leader may have started repetitions that this leader has not
// created yet.
void scheduler::EnsureRepetition(const fleet::task_name& name) {
  const auto it = jobs_.find(name.job);
  if (it == jobs_.end() || it->second->IsFinished()) return;
  job_state& job = *it->second;
  const int total = std::max(1, job.record.request.repetitions);
  if (name.repetition >= total) return;
  while (job.created_repetitions <= name.repetition) {
    job.repetitions[job.created_repetitions++] =
        MakeRepetition(job.record.request);
  }
}

const fleet::task_step* scheduler::FindStep(
    const fleet::task_name& name) const {
  const job_state* job = FindJob(name.job);
  if (!job) return nullptr;
  const auto& steps = job->record.request.steps;
  const auto step = static_cast<std::size_t>(name.step);
  return step < steps.size() ? &steps[step] : nullptr;
}

int scheduler::TaskCount(const std::string& runner) const {
  const runner_state* state = FindRunner(runner);
  return state ? static_cast<int>(state->tasks.size()) : 0;
}

int scheduler::LongRunningTaskCount(const std::string& runner) const {
  const runner_state* state = FindRunner(runner);
  if (!state) return 0;
  return static_cast<int>(
      std::ranges::count_if(state->tasks, [&](const fleet::task_name& name) {
        const fleet::task_step* step = FindStep(name);
        return step && step->long_running;
      }));
}

scheduler::task_ref scheduler::FindTask(const fleet::task_name& name) {
  task_ref ref;
  const auto it = jobs_.find(name.job);
  if (it == jobs_.end()) return ref;
  ref.job = it->second.get();
  const auto repetition = ref.job->repetitions.find(name.repetition);
  if (repetition == ref.job->repetitions.end()) return ref;
  ref.repetition = &repetition->second;
  const auto step = static_cast<std::size_t>(name.step);
  if (step >= ref.repetition->steps.size()) return ref;
  ref.step = &ref.job->record.request.steps[step];
  ref.state = &ref.repetition->steps[step];
  const auto index = static_cast<std::size_t>(name.index);
  if (index < ref.state->tasks.size()) ref.task = &ref.state->tasks[index];
  return ref;
}

fleet::resources scheduler::ReservedResources(
    const fleet::task_step& step) const {
  fleet::resources needs = step.needs;
  if (step.best_effort_cpu) needs.cpu_millicores = 0;
  return needs;
}

void scheduler::UpdateUsage(const task_ref& ref, runner_state& runner,
                            int sign) {
  fleet::resources& team = team_usage_[ref.job->record.team];
  const fleet::resources reserved = ReservedResources(*ref.step);
  const fleet::resources long_running =
      ref.step->long_running ? reserved : fleet::resources();
  if (sign > 0) {
    runner.used += reserved;
    runner.long_running_use += long_running;
    team += ref.step->needs;
  } else {
    runner.used -= reserved;
    runner.long_running_use -= long_running;
    team -= ref.step->needs;
  }
  if (!ref.job->long_running) {
    shares_.AddRun(*ref.job->account, reserved, sign);
  }
}

void scheduler::AttachRun(const fleet::task_name& name, const task_ref& ref,
                          run_state run) {
  runner_state& runner = runners_[run.runner];
  runner.tasks.insert(name);
  UpdateUsage(ref, runner, 1);
  if (run.adopted_clock_ms >= 0 && !ref.job->long_running) {
    shares_.AddPastUse(*ref.job->account, ReservedResources(*ref.step));
  }
  ++ref.job->active_runs;
  ref.task->last_run = std::max(ref.task->last_run, run.run);
  ref.task->runs.push_back(std::move(run));
}

void scheduler::DetachRun(const fleet::task_name& name, const task_ref& ref,
                          const std::string& runner, int run) {
  const auto it = FindRun(*ref.task, runner, run);
  if (it == ref.task->runs.end()) return;
  const auto runner_entry = runners_.find(runner);
  if (runner_entry != runners_.end()) {
    UpdateUsage(ref, runner_entry->second, -1);
    runner_entry->second.tasks.erase(name);
  }
  ref.task->runs.erase(it);
  --ref.job->active_runs;
  ReleaseFinishedJob(*ref.job);
}

std::vector<run_state>::iterator scheduler::FindRun(task_state& task,
                                                    const std::string& runner,
                                                    int run) {
  return std::ranges::find_if(task.runs, [&](const run_state& state) {
    return state.runner == runner && state.run == run;
  });
}

void scheduler::AbandonRun(const fleet::task_name& name, const task_ref& ref,
                           const run_state& run, std::string_view why,
                           millis now) {
  if (!run.start_deferred) {
    events_.push_back({event_kind::kTaskLost, name, run.run, run.runner,
                       std::string(why), now - run.ordered_at});
  }
  // Copied because DetachRun destroys `run`.
  const std::string runner = run.runner;
  DetachRun(name, ref, runner, run.run);
}

// Frees the steps and repetitions of a finished job without runs. Later status
// requests need only the phase of the job.
void scheduler::ReleaseFinishedJob(job_state& job) {
  if (!job.IsFinished() || job.active_runs > 0) return;
  job.repetitions.clear();
  job.record.request = {};
}

void scheduler::StopRuns(const fleet::task_name& name,
                         const std::function<bool(const run_state&)>& include,
                         std::string_view reason, millis now) {
  const task_ref ref = FindTask(name);
  std::vector<run_name> unsent;
  for (run_state& run : ref.task->runs) {
    if (!include(run)) continue;
    if (run.start_deferred) {
      unsent.push_back({name, run.runner, run.run});
    } else {
      RequestStop(name, run, reason, now);
    }
  }
  for (const run_name& run : unsent) DetachRun(name, ref, run.runner, run.run);
}

void scheduler::RequestStop(const fleet::task_name& name, run_state& run,
                            std::string_view reason, millis now) {
  assert(!run.start_deferred);
  if (run.phase == run_phase::kStopping) return;
  run.phase = run_phase::kStopping;
  run.stop_confirmed = false;
  run.stop_in_flight = true;
  run.retry_at = now;
  queued_orders_.push_back(
      {order_kind::kStop, run.runner, name, run.run, "", "", 100, reason});
  events_.push_back({event_kind::kStopOrdered, name, run.run, run.runner,
                     std::string(reason), now - run.ordered_at});
}

void scheduler::FinishJob(job_state& job, job_phase phase, millis now) {
  if (job.IsFinished()) return;
  DropDeferredRuns(job);
  tickets_.DropJob(job.record.id);
  job.phase = phase;
  job.finished_at = now;
  MarkChanged(job);
  fleet::task_name name{.job = job.record.id};
  events_.push_back({event_kind::kJobFinished, name, 0, job.record.queue,
                     std::string(JobPhaseName(phase)), now - job.accepted_at});
  for (auto& [number, repetition] : job.repetitions) {
    for (std::size_t s = 0; s < repetition.steps.size(); ++s) {
      std::vector<task_state>& tasks = repetition.steps[s].tasks;
      for (std::size_t i = 0; i < tasks.size(); ++i) {
        for (run_state& run : tasks[i].runs) {
          RequestStop(
              {job.record.id, number, static_cast<int>(s), static_cast<int>(i)},
              run, JobPhaseName(phase), now);
        }
      }
    }
  }
  ReleaseFinishedJob(job);
}

}  // namespace radishwing::sched
