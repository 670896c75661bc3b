#include <algorithm>
#include <map>
#include <utility>

#include "src/sched/place_starter.h"

// The room that tasks book at their place.

namespace radishwing::sched {
namespace {

// Part of its expected run time that a run is expected to need still when it
// has already taken longer than expected.
constexpr double kOverdueShare = 0.25;
// Lowest progress in percent from which the remaining time is extrapolated. A
// lower figure is dominated by rounding.
constexpr int kMinProgressPercent = 10;
// Time for which a gang member holds its room in a forecast: longer than any
// run.
constexpr millis kGangHoldMs = 1'000'000'000;

}  // namespace

void place_starter::RecordPlacement(const job_state& job,
                                    const fleet::task_step& step,
                                    const runner_state& runner) {
  const auto it = owner_.places_.forecasts.find(&runner);
  if (it == owner_.places_.forecasts.end()) return;
  it->second.Book(
      owner_.ReservedResources(step),
      static_cast<millis>(owner_.ExpectedRunMs(job, step, runner.report.rack)));
}

millis place_starter::BookTask(const waiting_step& waiting,
                               const task_state& task,
                               std::vector<place_slots>& runners) {
  const fleet::resources needs = owner_.ReservedResources(waiting.step);
  place_slots* best = nullptr;
  millis best_start = room_forecast::kNever;
  for (place_slots& slots : runners) {
    if (slots.count <= 0 ||
        task.last_failed_runner == slots.runner->report.id) {
      continue;
    }
    const millis start = Forecast(*slots.runner).EarliestStart(needs);
    if (start >= best_start) continue;
    best = &slots;
    best_start = start;
  }
  if (!best || !IsInTime(waiting, best_start)) {
    return room_forecast::kNever;
  }
  if (best_start <= now_) return best_start;
  --best->count;
  RecordPlacement(waiting.job, waiting.step, *best->runner);
  ReportWait(waiting, best->runner->report.rack, best_start);
  return best_start;
}

bool place_starter::BookGang(const waiting_step& waiting,
                             std::span<const place_slots> runners) {
  std::map<std::string, std::vector<place_slots>> racks;
  for (const place_slots& slots : runners) {
    racks[slots.runner->report.rack].push_back(slots);
  }
  const std::string* best_rack = nullptr;
  millis best_start = room_forecast::kNever;
  for (auto& [rack, members] : racks) {
    const millis start = FindGangStart(waiting, members);
    if (start >= best_start) continue;
    best_rack = &rack;
    best_start = start;
  }
  if (!best_rack || !IsInTime(waiting, best_start)) {
    waiting.state.place_wait.given_up = "room_too_late";
    return false;
  }
  const millis duration =
      best_start - now_ +
      static_cast<millis>(owner_.ExpectedRunMs(waiting.job, waiting.step,
                                               waiting.step.data_rack));
  for (const place_slots& members : racks[*best_rack]) {
    for (int i = 0; i < members.count; ++i) {
      Forecast(*members.runner)
          .Book(owner_.ReservedResources(waiting.step), duration);
    }
  }
  owner_.places_.newly_wanted_racks[waiting.job.record.pool].insert(*best_rack);
  ReportWait(waiting, *best_rack, best_start);
  return true;
}

millis place_starter::FindGangStart(const waiting_step& waiting,
                                    std::vector<place_slots>& runners) {
  const fleet::resources needs = owner_.ReservedResources(waiting.step);
  std::vector<room_forecast> forecasts;
  for (const place_slots& slots : runners) {
    forecasts.push_back(Forecast(*slots.runner));
  }
  std::vector<int> members(runners.size(), 0);
  millis last_start = now_;
  for (int member = 0; member < waiting.step.count; ++member) {
    std::size_t best = forecasts.size();
    millis best_start = room_forecast::kNever;
    for (std::size_t i = 0; i < forecasts.size(); ++i) {
      if (members[i] >= runners[i].count) continue;
      const millis start = forecasts[i].EarliestStart(needs);
      if (start >= best_start) continue;
      best = i;
      best_start = start;
    }
    if (best == forecasts.size()) return room_forecast::kNever;
    // No member frees its room before all members have theirs.
    forecasts[best].Book(needs, kGangHoldMs);
    ++members[best];
    last_start = std::max(last_start, best_start);
  }
  for (std::size_t i = 0; i < runners.size(); ++i)
    runners[i].count = members[i];
  return last_start;
}

bool place_starter::IsInTime(const waiting_step& waiting,
                             millis expected_at) const {
  return expected_at <= waiting.deadline ||
         owner_.places_.policy.ignores_forecast;
}

room_forecast& place_starter::Forecast(const runner_state& runner) {
  auto& forecasts = owner_.places_.forecasts;
  const auto it = forecasts.find(&runner);
  if (it != forecasts.end()) return it->second;
  std::vector<expected_end> ends;
  for (const fleet::task_name& name : runner.tasks) {
    const scheduler::task_ref ref = owner_.FindTask(name);
    if (!ref.task) continue;
    for (const run_state& run : ref.task->runs) {
      if (run.runner != runner.report.id) continue;
      const millis at = ExpectedEnd(ref, run, runner);
      if (at == room_forecast::kNever) continue;
      ends.push_back({at, owner_.ReservedResources(*ref.step)});
    }
  }
  return forecasts
      .emplace(&runner,
               room_forecast(now_, runner.report.capacity - runner.used,
                             std::move(ends)))
      .first->second;
}

millis place_starter::ExpectedEnd(const scheduler::task_ref& ref,
                                  const run_state& run,
                                  const runner_state& runner) const {
  if (run.phase == run_phase::kStopping) return now_ + owner_.max_stop_ms_;
  if (ref.step->long_running) return room_forecast::kNever;
  const double expected =
      owner_.ExpectedRunMs(*ref.job, *ref.step, runner.report.rack);
  const millis start = run.confirmed_at > 0 ? run.confirmed_at : run.ordered_at;
  double total = expected;
  // A run that resumed from a checkpoint began with some progress.
  if (!ref.step->writes_checkpoints && run.adopted_clock_ms < 0 &&
      run.progress_percent >= kMinProgressPercent) {
    const millis listed_at = runner.started_at + run.listed_clock_ms;
    total = static_cast<double>(listed_at - start) * 100 / run.progress_percent;
  }
  const millis due = start + static_cast<millis>(total);
  return due > now_ ? due
                    : now_ + static_cast<millis>(kOverdueShare * expected);
}

}  // namespace radishwing::sched
