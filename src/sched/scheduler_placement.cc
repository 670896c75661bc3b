#include <algorithm>

#include "src/sched/place_starter.h"
#include "src/sched/scheduler.h"

// The placement of new runs on runners.

namespace radishwing::sched {
namespace {

// A run of a step that allows speculative copies gets a copy when the run takes
// longer than kSpeculationFactor times its expected run time plus
// kSpeculationSlackMs. The slack covers the delay until a listing includes the
// end of the run.
constexpr double kSpeculationFactor = 2;
constexpr millis kSpeculationSlackMs = 300;
}  // namespace

void scheduler::StartStep(job_state& job, int repetition_number,
                          repetition_state& repetition, int step_number,
                          millis now, std::vector<order>& out) {
  const auto s = static_cast<std::size_t>(step_number);
  const fleet::task_step& step = job.record.request.steps[s];
  step_state& state = repetition.steps[s];
  place_starter places(*this, now);
  std::vector<order> starts;
  for (std::size_t i = 0; i < state.tasks.size(); ++i) {
    task_state& task = state.tasks[i];
    if (start_allowance_ <= 0) break;
    if (!MayStartRun(job, step, task, now)) continue;
    if (!IsWithinTeamLimit(job, step.needs)) break;
    runner_state* runner = ChooseRunnerOrBlock(
        job, step, state, repetition_number, step_number, task, now);
    if (!runner) break;
    const std::string& rack = runner->report.rack;
    if (places.Decide(job, repetition_number, repetition, step_number, task,
                      rack) != place_starter::start_time::kNow) {
      continue;
    }
    if (state.place_wait.since >= 0 && task.runs.empty()) {
      places.RecordStart(job, repetition_number, step_number, state,
                         place_starter::IsAway(step, rack));
    }
    places.RecordPlacement(job, step, *runner);
    const fleet::task_name name{job.record.id, repetition_number, step_number,
                                static_cast<int>(i)};
    PlaceRun(name, FindTask(name), *runner, NextRun(job, task), now, starts);
  }
  places.EndStep();
  DispatchStarts(job, starts, now, out);
}

runner_state* scheduler::ChooseRunnerOrBlock(
    const job_state& job, const fleet::task_step& step, const step_state& state,
    int repetition, int step_number, const task_state& task, millis now) {
  if (!IsUnplaceable(job, step)) {
    runner_state* runner =
        ChooseRunner(job, step, state, repetition, step_number, task, now);
    if (runner) return runner;
    RecordPlacementFailure(job, step, StepName(job, repetition, step_number),
                           now);
  }
  place_starter(*this, now).WantRack(job, step);
  AddBlockedDemand(job, step, state, now);
  return nullptr;
}

bool scheduler::MayStartRun(const job_state& job, const fleet::task_step& step,
                            const task_state& task, millis now) const {
  if (task.done || now < task.not_before) return false;
  if (!task.runs.empty() && !NeedsCopy(job, step, task, now)) return false;
  // An unlisted run of the task may exist, so only a step that allows
  // speculative copies may start another one.
  return !job.awaits_listings || step.speculative;
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
  const double expected = ExpectedRunMs(job, step, runner->report.rack);
  return run.phase == run_phase::kRunning &&
         static_cast<double>(now - run.ordered_at) >
             kSpeculationFactor * expected +
                 static_cast<double>(kSpeculationSlackMs);
}

double scheduler::ExpectedRunMs(const job_state& job,
                                const fleet::task_step& step,
                                const std::string& rack) const {
  const double near_ms = static_cast<double>(step.estimate_ms) *
                         run_times_.MeanRatio(job.record.queue);
  if (!place_starter::IsAway(step, rack)) return near_ms;
  return near_ms *
         places_.speeds.AwayFactor(place_starter::SpeedClass(job, step));
}

void scheduler::StartGang(job_state& job, int repetition_number,
                          repetition_state& repetition, int step_number,
                          millis now, std::vector<order>& out) {
  const auto s = static_cast<std::size_t>(step_number);
  const fleet::task_step& step = job.record.request.steps[s];
  step_state& state = repetition.steps[s];
  if (start_allowance_ <= 0) return;
  int run = 0;
  std::string checkpoint;
  for (task_state& task : state.tasks) {
    if (job.awaits_listings || task.done || !task.runs.empty() ||
        now < task.not_before) {
      return;
    }
    run = std::max(run, NextRun(job, task));
    if (!task.checkpoint.empty()) checkpoint = task.checkpoint;
  }
  for (task_state& task : state.tasks) task.checkpoint = checkpoint;
  const auto placed =
      place_starter(*this, now)
          .PlaceGang(job, repetition_number, repetition, step_number, run);
  if (!placed) return;  // The gang waits for a rack.
  if (!placed->empty()) return DispatchStarts(job, *placed, now, out);
  if (job.record.ticket_valid_ms > 0) {
    RequestAdvice(job, step, StepName(job, repetition_number, step_number),
                  now);
  }
  AddBlockedDemand(job, step, state, now);
}

// Places all members of the gang or none: if a member finds no runner, the
// placements of the others are undone.
std::vector<order> scheduler::PlaceGang(job_state& job, int repetition_number,
                                        step_state& state, int step_number,
                                        int run, const std::string& rack,
                                        millis now) {
  const fleet::task_step& step =
      job.record.request.steps[static_cast<std::size_t>(step_number)];
  std::vector<order> placed;
  for (std::size_t i = 0; i < state.tasks.size(); ++i) {
    runner_state* runner = nullptr;
    if (IsWithinTeamLimit(job, step.needs)) {
      runner = ChooseRunner(job, step, state, repetition_number, step_number,
                            state.tasks[i], now, rack);
    }
    if (!runner) {
      UndoGang(placed);
      return {};
    }
    const fleet::task_name name{job.record.id, repetition_number, step_number,
                                static_cast<int>(i)};
    PlaceRun(name, FindTask(name), *runner, run, now, placed);
  }
  return placed;
}

void scheduler::UndoGang(const std::vector<order>& placed) {
  for (const order& undo : placed) {
    const task_ref member = FindTask(undo.task);
    member.task->last_run = undo.run - 1;
    DetachRun(undo.task, member, undo.runner, undo.run);
    ++start_allowance_;
  }
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

bool scheduler::IsUnplaceable(const job_state& job,
                              const fleet::task_step& step) const {
  const auto unplaceable = unplaceable_needs_.find(job.record.pool);
  return unplaceable != unplaceable_needs_.end() &&
         unplaceable->second.FitsIn(ReservedResources(step));
}

int scheduler::CountStepTasks(const runner_state& runner,
                              const std::string& job, int repetition,
                              int step_number) {
  return static_cast<int>(
      std::ranges::count_if(runner.tasks, [&](const fleet::task_name& name) {
        return name.job == job && name.repetition == repetition &&
               name.step == step_number;
      }));
}

bool scheduler::IsSchedulable(const runner_state& runner, millis now) const {
  return runner.listed && runner.reachable && !runner.cordoned &&
         !runner.has_unknown_runs && !runner.report.draining &&
         now >= runner.not_before && runner.recorded && !IsEvacuated(runner) &&
         !IsLeaving(runner.report.id, now);
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
                                      millis now, const std::string& rack) {
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
    if (!rack.empty() && runner.report.rack != rack) continue;
    if (!CanPlaceStep(runner, step)) continue;
    if (!step_name.empty() && !tickets_.Find(step_name, id, now)) continue;
    if (std::ranges::find(task.runs, id, &run_state::runner) !=
        task.runs.end()) {
      continue;
    }
    if (step.max_per_runner > 0 &&
        CountStepTasks(runner, job.record.id, repetition, step_number) >=
            step.max_per_runner) {
      continue;
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
    // Outweighs the penalty for another data centre.
    if (place_starter::IsAway(step, runner.report.rack)) score -= 2.3;
    if (step.data_rack != runner.report.rack &&
        places_.IsWanted(job.record.pool, runner.report.rack)) {
      score -= 1.1;
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
