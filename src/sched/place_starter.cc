#include "src/sched/place_starter.h"
#include "src/sched/job_rank.h"

#include <algorithm>
#include <map>
#include <set>
#include <utility>

namespace radishwing::sched {
namespace {

// Returns how many times `needs` fits into `free`, at most `limit`.
int CountFits(const fleet::resources& free, const fleet::resources& needs,
              int limit) {
  fleet::resources used = needs;
  int count = 0;
  for (; count < limit && used.FitsIn(free); ++count) used += needs;
  return count;
}

fleet::resources FreeResources(const runner_state& runner) {
  return runner.report.capacity - runner.used;
}

}  // namespace

bool place_starter::HasPlace(const fleet::task_step& step) {
  if (step.long_running || step.best_effort_cpu ||
      step.tail_latency_target_ms > 0) {
    return false;
  }
  return !step.data_rack.empty() || (step.gang && step.same_rack);
}

bool place_starter::IsAway(const fleet::task_step& step,
                           const std::string& rack) {
  return !step.data_rack.empty() && rack != step.data_rack;
}

// The cost of a spread gang has nothing to do with that of remote data.
std::string place_starter::SpeedClass(const job_state& job,
                                      const fleet::task_step& step) {
  return step.gang && step.data_rack.empty() ? job.record.queue + "/gang"
                                             : job.record.queue;
}

place_wait_terms place_starter::Terms(job_state& job,
                                      const fleet::task_step& step,
                                      const step_state& state) const {
  const place_speed_model& speeds = owner_.places_.speeds;
  const double near_ms = owner_.ExpectedRunMs(job, step, step.data_rack);
  place_wait_terms terms;
  terms.since = state.place_wait.since < 0 ? now_ : state.place_wait.since;
  terms.near_ms = near_ms * speeds.RackSlowdown(step.data_rack);
  terms.away_ms = near_ms * speeds.AwayFactor(SpeedClass(job, step));
  terms.latest_start =
      RankJob(job, owner_.run_times_.MeanRatio(job.record.queue), now_)
          .latest_start;
  return terms;
}

std::vector<place_starter::place_slots> place_starter::FindPlaceRunners(
    const job_state& job, const fleet::task_step& step, int repetition,
    int step_number) const {
  std::vector<place_slots> found;
  const auto pool = owner_.schedulable_runners_.find(job.record.pool);
  if (pool == owner_.schedulable_runners_.end()) return found;
  const std::string step_name =
      job.record.ticket_valid_ms > 0
          ? scheduler::StepName(job, repetition, step_number)
          : std::string();
  for (const runner_state* runner : pool->second) {
    const fleet::runner_report& report = runner->report;
    if (IsAway(step, report.rack) || report.rack.empty() ||
        runner->consecutive_failures >= kSuspectFailureThreshold ||
        owner_.maintenance_due_.contains(report.id)) {
      continue;
    }
    if (!step.required_label.empty() &&
        std::ranges::find(report.labels, step.required_label) ==
            report.labels.end()) {
      continue;
    }
    if (!step_name.empty() &&
        !owner_.tickets_.Find(step_name, report.id, now_)) {
      continue;
    }
    int count = step.count;
    if (step.max_per_runner > 0) {
      count = step.max_per_runner -
              scheduler::CountStepTasks(*runner, job.record.id, repetition,
                                        step_number);
    }
    if (count > 0) found.push_back({runner, count});
  }
  return found;
}

void place_starter::WantRack(const job_state& job,
                             const fleet::task_step& step) {
  if (!HasPlace(step) || step.data_rack.empty()) return;
  owner_.places_.newly_wanted_racks[job.record.pool].insert(step.data_rack);
}

bool place_starter::BeginWait(job_state& job, int repetition_number,
                              repetition_state& repetition, int step_number) {
  const auto s = static_cast<std::size_t>(step_number);
  const fleet::task_step& step = job.record.request.steps[s];
  step_state& state = repetition.steps[s];
  place_wait_state& wait = state.place_wait;
  if (step.long_running || step.best_effort_cpu) return false;
  if (HasPlace(step)) {
    runners_ = FindPlaceRunners(job, step, repetition_number, step_number);
    if (runners_.empty()) {
      wait.given_up = "place_lost";
      return false;
    }
    WantRack(job, step);
  }
  if (wait.since < 0) wait.since = now_;
  const place_wait_policy& policy = owner_.places_.policy;
  const place_wait_terms terms = Terms(job, step, state);
  const millis deadline =
      HasPlace(step) ? policy.deadline(terms) : policy.pass_up_deadline(terms);
  if (now_ >= deadline) {
    wait.given_up = "deadline";
    return false;
  }
  waiting_.emplace(
      waiting_step{job, repetition_number, step_number, step, state, deadline});
  return true;
}

place_starter::start_time place_starter::Decide(
    job_state& job, int repetition_number, repetition_state& repetition,
    int step_number, const task_state& task, const std::string& rack) {
  const auto s = static_cast<std::size_t>(step_number);
  const fleet::task_step& step = job.record.request.steps[s];
  const bool wanted_by_others =
      step.data_rack != rack && owner_.places_.IsWanted(job.record.pool, rack);
  if ((!IsAway(step, rack) && !wanted_by_others) || !task.runs.empty()) {
    return start_time::kNow;
  }
  if (!decided_) {
    decided_ = true;
    BeginWait(job, repetition_number, repetition, step_number);
  }
  if (!waiting_) return start_time::kNow;
  if (HasPlace(step)) {
    const millis expected_at = BookTask(*waiting_, task, runners_);
    if (expected_at <= now_) return start_time::kNow;
    if (expected_at != room_forecast::kNever) return start_time::kLater;
    waiting_->state.place_wait.given_up = "room_too_late";
  }
  if (!wanted_by_others) return start_time::kNow;
  if (!deferred_) {
    deferred_ = {&job, &repetition, repetition_number, step_number, 0, 0};
  }
  ++deferred_->task_count;
  ++deferred_->reserved_starts;
  --owner_.start_allowance_;
  return start_time::kEndOfPass;
}

void place_starter::EndStep() {
  if (deferred_) owner_.places_.deferred.push_back(*deferred_);
}

std::optional<std::vector<order>> place_starter::PlaceGang(
    job_state& job, int repetition_number, repetition_state& repetition,
    int step_number, int run) {
  const auto s = static_cast<std::size_t>(step_number);
  const fleet::task_step& step = job.record.request.steps[s];
  step_state& state = repetition.steps[s];
  const auto place = [&](const std::string& rack) {
    return owner_.PlaceGang(job, repetition_number, state, step_number, run,
                            rack, now_);
  };
  std::vector<order> placed;
  bool away = false;
  if (HasPlace(step)) {
    const auto rack = FindGangRack(
        job, step, scheduler::StepName(job, repetition_number, step_number));
    if (rack) placed = place(*rack);
    away = placed.empty();
  }
  if (placed.empty()) placed = place("");
  if (placed.empty()) return placed;
  if (away) {
    // The members must not count as used room while the gang decides to wait.
    owner_.UndoGang(placed);
    if (BeginWait(job, repetition_number, repetition, step_number) &&
        BookGang(*waiting_, runners_)) {
      return std::nullopt;
    }
    placed = place("");
  }
  state.gang_away = IsGangAway(step, state);
  if (state.place_wait.since >= 0) {
    RecordStart(job, repetition_number, step_number, state, away);
  }
  return placed;
}

std::optional<std::string> place_starter::FindGangRack(
    const job_state& job, const fleet::task_step& step,
    const std::string& step_name) const {
  std::map<std::string, int> fits;
  const auto pool = owner_.schedulable_runners_.find(job.record.pool);
  if (pool == owner_.schedulable_runners_.end()) return std::nullopt;
  const int limit = step.max_per_runner > 0 ? step.max_per_runner : step.count;
  for (const runner_state* runner : pool->second) {
    if (IsAway(step, runner->report.rack) || runner->report.rack.empty() ||
        runner->consecutive_failures >= kSuspectFailureThreshold ||
        !owner_.CanPlaceStep(*runner, step)) {
      continue;
    }
    if (job.record.ticket_valid_ms > 0 &&
        !owner_.tickets_.Find(step_name, runner->report.id, now_)) {
      continue;
    }
    fits[runner->report.rack] += CountFits(
        FreeResources(*runner), owner_.ReservedResources(step), limit);
  }
  const std::string* best = nullptr;
  int best_fits = 0;
  for (const auto& [rack, count] : fits) {
    if (count < step.count || (best && count >= best_fits)) continue;
    best = &rack;
    best_fits = count;
  }
  return best ? std::optional(*best) : std::nullopt;
}

void place_starter::StartDeferred(std::vector<order>& out) {
  place_book& places = owner_.places_;
  for (const deferred_step& entry : std::exchange(places.deferred, {})) {
    owner_.start_allowance_ += entry.reserved_starts;
    StartElsewhere(entry, out);
  }
  places.forecasts.clear();
  places.wanted_racks = std::exchange(places.newly_wanted_racks, {});
}

void place_starter::StartElsewhere(const deferred_step& entry,
                                   std::vector<order>& out) {
  job_state& job = *entry.job;
  const auto s = static_cast<std::size_t>(entry.step_number);
  const fleet::task_step& step = job.record.request.steps[s];
  step_state& state = entry.repetition->steps[s];
  std::vector<order> starts;
  int left = entry.task_count;
  for (std::size_t i = 0; i < state.tasks.size() && left > 0; ++i) {
    task_state& task = state.tasks[i];
    if (owner_.start_allowance_ <= 0) break;
    if (task.done || !task.runs.empty() || now_ < task.not_before) continue;
    if (!owner_.IsWithinTeamLimit(job, step.needs)) break;
    runner_state* runner =
        owner_.ChooseRunnerOrBlock(job, step, state, entry.repetition_number,
                                   entry.step_number, task, now_);
    if (!runner) break;
    state.place_wait.given_up = "room_too_late";
    RecordStart(job, entry.repetition_number, entry.step_number, state,
                IsAway(step, runner->report.rack));
    const fleet::task_name name{job.record.id, entry.repetition_number,
                                entry.step_number, static_cast<int>(i)};
    owner_.PlaceRun(name, owner_.FindTask(name), *runner,
                    owner_.NextRun(job, task), now_, starts);
    --left;
  }
  owner_.DispatchStarts(job, starts, now_, out);
}

void place_starter::ReportWait(const waiting_step& waiting,
                               const std::string& rack, millis expected_at) {
  if (waiting.state.place_wait.reported) return;
  waiting.state.place_wait.reported = true;
  scheduler_event event;
  event.kind = event_kind::kPlaceWaitStarted;
  event.task = {waiting.job.record.id, waiting.repetition_number,
                waiting.step_number, 0};
  event.runner = rack;
  event.elapsed_ms = waiting.deadline - now_;
  event.expected_ms = std::max<millis>(0, expected_at - now_);
  owner_.events_.push_back(std::move(event));
}

void place_starter::RecordStart(const job_state& job, int repetition_number,
                                int step_number, step_state& state, bool away) {
  place_wait_state& wait = state.place_wait;
  const fleet::task_step& step =
      job.record.request.steps[static_cast<std::size_t>(step_number)];
  (away ? wait.away_tasks : wait.near_tasks) += step.gang ? step.count : 1;
  const auto left = std::ranges::count_if(
      state.tasks,
      [](const task_state& task) { return !task.done && task.runs.empty(); });
  // The task that starts now has no run yet.
  if (!step.gang && left > 1) return;
  if (wait.reported) {
    scheduler_event event;
    event.kind = event_kind::kPlaceWaitEnded;
    event.task = {job.record.id, repetition_number, step_number, 0};
    event.detail = wait.away_tasks > 0 ? std::string(wait.given_up) : "";
    event.elapsed_ms = now_ - wait.since;
    event.near_tasks = wait.near_tasks;
    event.away_tasks = wait.away_tasks;
    owner_.events_.push_back(std::move(event));
  }
  // A refused start continues the wait.
  const millis since = wait.since;
  wait = {};
  wait.since = since;
}

void place_starter::EndWaitIfStarted(step_state& state) {
  if (state.place_wait.since < 0) return;
  const bool all_started =
      std::ranges::all_of(state.tasks, [](const task_state& task) {
        return task.done ||
               std::ranges::any_of(task.runs, [](const run_state& run) {
                 return run.phase != run_phase::kStarting;
               });
      });
  if (all_started) state.place_wait = {};
}

bool place_starter::IsGangAway(const fleet::task_step& step,
                               const step_state& state) const {
  std::set<std::string> racks;
  for (const task_state& member : state.tasks) {
    for (const run_state& run : member.runs) {
      const runner_state* runner = owner_.FindRunner(run.runner);
      if (runner) racks.insert(runner->report.rack);
    }
  }
  return (step.same_rack && racks.size() > 1) ||
         std::ranges::any_of(racks, [&](const std::string& rack) {
           return IsAway(step, rack);
         });
}

bool place_starter::LearnFromEnd(const scheduler::task_ref& ref,
                                 const std::string& runner, millis run_ms) {
  const fleet::task_step& step = *ref.step;
  if (!HasPlace(step)) return true;
  place_speed_model& speeds = owner_.places_.speeds;
  const runner_state* state = owner_.FindRunner(runner);
  const bool away = step.gang ? ref.state->gang_away
                              : state && IsAway(step, state->report.rack);
  const double near_ms = owner_.ExpectedRunMs(*ref.job, step, step.data_rack);
  if (away) {
    speeds.AddAwaySample(SpeedClass(*ref.job, step), near_ms, run_ms);
  } else if (!step.data_rack.empty()) {
    speeds.AddNearSample(step.data_rack, near_ms, run_ms);
  }
  return !away;
}

}  // namespace radishwing::sched
