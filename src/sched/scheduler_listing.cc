#include <algorithm>

#include "src/sched/job_steps.h"
#include "src/sched/place_starter.h"
#include "src/sched/scheduler.h"

// Applies what runners report: ended runs, current runs and order outcomes.

namespace radishwing::sched {
namespace {

// Delay before the next order to a runner that rejected one. Prevents a busy
// loop with a runner that rejects orders immediately.
constexpr millis kRefusalBackoffMs = 300;
// Maximum number of ended runs in one listing, as the runner API defines it.
constexpr std::size_t kMaxListedEnds = 500;
// Time for which a run may be missing from the listings of its runner before
// this is reported. Orders and writes to the store are answered or fail sooner.
constexpr millis kMissingReportMs = 3000;

std::string_view EndName(fleet::run_end how) {
  switch (how) {
    case fleet::run_end::kDone:
      return "done";
    case fleet::run_end::kFailed:
      return "failed";
    case fleet::run_end::kStopped:
      return "stopped";
    case fleet::run_end::kLeaseExpired:
      return "lapsed";
    case fleet::run_end::kGangBroken:
      return "gang_broken";
    case fleet::run_end::kGangTimedOut:
      return "gang_alone";
  }
  return "failed";
}

// Returns what a run that its runner does not list waits for.
std::string_view AwaitedBy(const run_state& run) {
  if (run.start_deferred) return "record";
  if (run.HasOrderInFlight()) return "order_outcome";
  if (run.phase == run_phase::kStopping && !run.stop_confirmed) return "stop";
  return run.phase == run_phase::kStarting ? "start" : "newer_listing";
}

}  // namespace

std::vector<recorded_end> scheduler::ApplyListing(
    const std::string& id, const fleet::runner_listing& listing, millis sent_at,
    millis now) {
  std::vector<recorded_end> recorded;
  const auto it = runners_.find(id);
  if (it == runners_.end()) return recorded;
  runner_state& runner = it->second;
  runner.listed = true;
  runner.reachable = true;
  runner.started_at = now - listing.runner_clock_ms;
  unlisted_runners_.erase(id);
  for (const fleet::listed_end& end : listing.ended) {
    if (end.end_number <= runner.last_end_number) continue;
    runner.last_end_number = end.end_number;
    ApplyListedEnd(id, end, now, recorded);
  }
  runner.has_unknown_runs = false;
  for (const fleet::listed_run& run : listing.running) {
    ApplyListedRun(id, run, listing.runner_clock_ms, now);
  }
  if (listing.ended.size() < kMaxListedEnds) {
    DropMissingRuns(id, listing, sent_at, now);
  }
  return recorded;
}

void scheduler::ApplyListedEnd(const std::string& runner,
                               const fleet::listed_end& end, millis now,
                               std::vector<recorded_end>& out) {
  EnsureRepetition(end.task);
  task_ref ref = FindTask(end.task);
  if (!ref.task) {
    const job_state* job = FindJob(end.task.job);
    // The leader acknowledges the end once the job's final state is persisted.
    out.push_back({end.end_number, job ? end.task.job : "",
                   job ? job->progress_version : 0});
    return;
  }
  job_state& job = *ref.job;
  job.started = true;
  EndRun(ref, end.task, end, runner, now);
  out.push_back({end.end_number, job.record.id, job.progress_version});
}

// Emits an event and updates the runner's failure count and the run time model.
void scheduler::UpdateRunStatistics(const task_ref& ref,
                                    const fleet::listed_end& end,
                                    const std::string& runner, millis now) {
  millis run_ms = 0;
  bool was_paced = false;
  for (const run_state& run : ref.task->runs) {
    if (run.runner != runner || run.run != end.run) continue;
    if (run.confirmed_at > 0) run_ms = now - run.confirmed_at;
    was_paced = run.pace_percent < 100 || run.confirmed_at == 0;
  }
  events_.push_back({event_kind::kTaskEnded, end.task, end.run, runner,
                     std::string(EndName(end.end_kind)), run_ms});
  runner_state& runner_entry = runners_[runner];
  if (end.end_kind == fleet::run_end::kDone) {
    runner_entry.consecutive_failures = 0;
    if (!was_paced &&
        place_starter(*this, now).LearnFromEnd(ref, runner, run_ms)) {
      run_times_.AddSample(ref.job->record.queue, ref.step->estimate_ms,
                           run_ms);
    }
  } else if (end.end_kind == fleet::run_end::kFailed) {
    ++runner_entry.consecutive_failures;
    ref.task->last_failed_runner = runner;
  }
}

// Records whether the task is done or has used up an attempt. Tasks of
// long-running steps are never done and have no limit on attempts.
void scheduler::RecordTaskOutcome(const task_ref& ref,
                                  const fleet::listed_end& end) {
  task_state& task = *ref.task;
  if (ref.job->IsFinished() || ref.step->long_running) return;
  if (end.end_kind == fleet::run_end::kDone && !task.done) {
    task.done = true;
    ++ref.state->done_count;
    if (ref.step->gang) {
      for (task_state& member : ref.state->tasks) member.done = true;
      ref.state->done_count = static_cast<int>(ref.state->tasks.size());
    }
    MarkChangedByEnd(*ref.job);
  }
  if (end.end_kind == fleet::run_end::kFailed &&
      std::ranges::find(task.failed_runs, end.run) == task.failed_runs.end()) {
    task.failed_runs.push_back(end.run);
    MarkChangedByEnd(*ref.job);
  }
}

void scheduler::EndRun(task_ref& ref, const fleet::task_name& name,
                       const fleet::listed_end& end, const std::string& runner,
                       millis now) {
  task_state& task = *ref.task;
  const bool finished_before = ref.job->IsFinished();
  const bool succeeded = end.end_kind == fleet::run_end::kDone;
  UpdateRunStatistics(ref, end, runner, now);
  task.last_run = std::max(task.last_run, end.run);
  if (!end.checkpoint.empty() && end.checkpoint != task.checkpoint) {
    task.checkpoint = end.checkpoint;
    MarkChangedByEnd(*ref.job);
  }
  RecordTaskOutcome(ref, end);
  if (task.done) {
    StopRuns(
        name, [&](const run_state& copy) { return copy.run != end.run; },
        "copy_done", now);
  }
  const bool exhausted =
      !task.done && !ref.step->long_running &&
      static_cast<int>(task.failed_runs.size()) >= ref.job->record.max_attempts;
  if (!finished_before && succeeded) UpdateCriticalPath(*ref.job);
  DetachRun(name, ref, runner, end.run);
  if (finished_before) return;  // DetachRun may have freed the job's tasks.
  if (exhausted) {
    FinishJob(*ref.job, job_phase::kFailed, now);
  } else if (succeeded) {
    FinishRepetitionIfDone(ref, now);
  }
}

void scheduler::FinishRepetitionIfDone(task_ref& ref, millis now) {
  if (ref.repetition->done || !AllStepsDone(*ref.repetition)) return;
  ref.repetition->done = true;
  MarkChanged(*ref.job);
  const int total = std::max(1, ref.job->record.request.repetitions);
  if (ref.job->created_repetitions < total) return;
  const bool all =
      std::ranges::all_of(ref.job->repetitions,
                          [](const auto& entry) { return entry.second.done; });
  if (all) FinishJob(*ref.job, job_phase::kSucceeded, now);
}

void scheduler::ApplyListedRun(const std::string& runner,
                               const fleet::listed_run& listed,
                               millis runner_clock_ms, millis now) {
  EnsureRepetition(listed.task);
  const task_ref ref = FindTask(listed.task);
  if (!ref.task) {
    runners_[runner].has_unknown_runs = true;
    queued_orders_.push_back({order_kind::kStop, runner, listed.task,
                              listed.run, "", "", 100, "unknown_task"});
    return;
  }
  auto it = FindRun(*ref.task, runner, listed.run);
  if (it == ref.task->runs.end()) {
    run_state adopted{.runner = runner, .run = listed.run};
    adopted.phase = run_phase::kRunning;
    adopted.ordered_at = now;
    adopted.confirmed_at = 0;
    adopted.adopted_clock_ms = runner_clock_ms;
    AttachRun(listed.task, ref, std::move(adopted));
    if (ref.job->phase == job_phase::kPending) {
      ref.job->phase = job_phase::kRunning;
    }
    events_.push_back(
        {event_kind::kTaskAdopted, listed.task, listed.run, runner, "", 0});
    it = std::prev(ref.task->runs.end());
    if (ref.step->gang &&
        place_starter(*this, now).IsGangAway(*ref.step, *ref.state)) {
      ref.state->gang_away = true;
    }
  }
  ref.job->started = true;
  run_state& run = *it;
  run.start_deferred = false;
  if (run.phase == run_phase::kStarting) {
    run.phase = run_phase::kRunning;
    run.confirmed_at = now;
    place_starter::EndWaitIfStarted(*ref.state);
  }
  if (run.progress_percent != listed.progress_percent) {
    run.progress_percent = listed.progress_percent;
    run.RestartProgressTimer();
  }
  if (run.progress_clock_ms < 0) run.progress_clock_ms = runner_clock_ms;
  run.listed_clock_ms = runner_clock_ms;
  run.load = listed.load;
  if (!listed.checkpoint.empty()) ref.task->checkpoint = listed.checkpoint;
  if (ref.task->done || ref.job->IsFinished()) {
    RequestStop(listed.task, run, "not_needed", now);
  } else if (ref.task->runs.size() > 1 && !ref.step->speculative) {
    // Only an earlier leader can have started a second run of the task. The
    // scheduler stops all runs of the task except the newest run.
    const int newest = ref.task->last_run;
    StopRuns(
        listed.task, [&](const run_state& other) { return other.run < newest; },
        "duplicate", now);
  }
}

void scheduler::DropMissingRuns(const std::string& id,
                                const fleet::runner_listing& listing,
                                millis sent_at, millis now) {
  std::vector<fleet::task_name> missing;
  for (const fleet::task_name& name : runners_[id].tasks) {
    const task_ref ref = FindTask(name);
    if (!ref.task) continue;
    const auto it = std::ranges::find(ref.task->runs, id, &run_state::runner);
    if (it == ref.task->runs.end()) continue;
    const bool present =
        std::ranges::any_of(listing.running, [&](const fleet::listed_run& run) {
          return run.task == name && run.run == it->run;
        });
    NoteListed(name, *it, present, now);
    if (present || it->HasOrderInFlight()) continue;
    const bool settled =
        it->phase == run_phase::kRunning ||
        (it->phase == run_phase::kStopping && it->stop_confirmed);
    // If the leader sent the poll before the runner confirmed the start or
    // stop, the run's absence from the listing proves nothing.
    if (!settled || it->confirmed_at >= sent_at) continue;
    missing.push_back(name);
  }
  for (const fleet::task_name& name : missing) {
    const task_ref ref = FindTask(name);
    const auto it = std::ranges::find(ref.task->runs, id, &run_state::runner);
    AbandonRun(name, ref, *it, "not_listed", now);
  }
}

void scheduler::NoteListed(const fleet::task_name& name, run_state& run,
                           bool listed, millis now) {
  if (listed) {
    run.missing_since = -1;
    run.missing_reported = false;
    return;
  }
  if (run.missing_since < 0) run.missing_since = now;
  const millis missing_ms = now - run.missing_since;
  if (run.missing_reported || missing_ms < kMissingReportMs) return;
  run.missing_reported = true;
  events_.push_back({event_kind::kRunNotListed, name, run.run, run.runner,
                     std::string(AwaitedBy(run)), missing_ms});
}

void scheduler::ApplyOrderOutcome(const order& order,
                                  fleet::order_outcome outcome, millis now) {
  if (order.kind == order_kind::kPace) return;
  const task_ref ref = FindTask(order.task);
  if (!ref.task) return;
  const auto it = FindRun(*ref.task, order.runner, order.run);
  if (it == ref.task->runs.end()) return;
  if (order.kind == order_kind::kStop) {
    return ApplyStopOutcome(*it, outcome, now);
  }
  it->start_in_flight = false;
  if (it->phase == run_phase::kStopping) {
    if (outcome == fleet::order_outcome::kUnknown) it->start_unanswered = true;
  } else {
    ApplyStartOutcome(order, ref, *it, outcome, now);
  }
}

void scheduler::ApplyStopOutcome(run_state& run, fleet::order_outcome outcome,
                                 millis now) {
  run.stop_in_flight = false;
  run.retry_at = now + kRefusalBackoffMs;
  if (outcome != fleet::order_outcome::kAccepted &&
      outcome != fleet::order_outcome::kStaleRun) {
    return;
  }
  run.stop_confirmed = true;
  run.confirmed_at = now;
}

void scheduler::ApplyStartOutcome(const order& order, const task_ref& ref,
                                  run_state& run, fleet::order_outcome outcome,
                                  millis now) {
  using fleet::order_outcome;
  switch (outcome) {
    case order_outcome::kAccepted:
    case order_outcome::kStaleRun:  // A later listing has the end of the run.
      ref.job->started = true;
      if (run.phase != run_phase::kStarting) return;
      run.phase = run_phase::kRunning;
      run.confirmed_at = now;
      place_starter::EndWaitIfStarted(*ref.state);
      return;
    case order_outcome::kUnknown:
      run.start_unanswered = true;
      run.retry_at = now + kRefusalBackoffMs;
      return;
    case order_outcome::kNotSent:
    case order_outcome::kUnavailable:
    case order_outcome::kInsufficientCapacity:
      BackOffRunner(order.runner, now);
      run.retry_at = now + kRefusalBackoffMs;
      if (run.start_unanswered) return;
      break;
    case order_outcome::kBadTicket:
      tickets_.Invalidate(
          StepName(*ref.job, order.task.repetition, order.task.step),
          order.runner, now);
      // The runner may still carry out an earlier start order, which had a
      // valid ticket.
      if (run.start_unanswered) {
        return RequestStop(order.task, run, "bad_ticket", now);
      }
      break;
    case order_outcome::kInvalid:
      ref.task->not_before = now + 10 * kRefusalBackoffMs;
      break;
    default:
      BackOffRunner(order.runner, now);
      break;
  }
  // A listing that arrived before the outcome may have confirmed the start.
  if (run.phase != run_phase::kStarting) return;
  AbandonRun(order.task, ref, run, fleet::OrderOutcomeName(outcome), now);
}

void scheduler::BackOffRunner(const std::string& id, millis now) {
  const auto runner = runners_.find(id);
  if (runner != runners_.end()) {
    runner->second.not_before = now + kRefusalBackoffMs;
  }
}

}  // namespace radishwing::sched
