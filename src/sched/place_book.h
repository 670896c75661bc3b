#pragma once

#include <map>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

#include "src/sched/job_state.h"
#include "src/sched/place_speed_model.h"
#include "src/sched/room_forecast.h"
#include "src/sched/runner_state.h"

namespace radishwing::sched {

/// A step whose start elsewhere waits until no other task of the pass wants the
/// room more.
struct deferred_step {
  job_state* job = nullptr;
  repetition_state* repetition = nullptr;
  int repetition_number = 0;
  int step_number = 0;
  int task_count = 0;       ///< Number of tasks to start elsewhere.
  int reserved_starts = 0;  ///< Part of the start allowance kept for them.
};

/// What the scheduler keeps about places: what it has learned about their speed
/// and, for one pass, the deferred steps and the room that they have booked.
struct place_book {
  place_speed_model speeds;
  place_wait_policy policy;
  std::vector<deferred_step> deferred;  ///< In the order of starts.
  /// Forecasts of the runners that a task of this pass waits for.
  std::unordered_map<const runner_state*, room_forecast> forecasts;
  /// By pool, the racks that tasks without room there asked for in the last
  /// pass. Other tasks leave room on these racks to them, if only for the first
  /// phase of a pass.
  std::map<std::string, std::set<std::string>> wanted_racks;
  /// As `wanted_racks`, for the current pass.
  std::map<std::string, std::set<std::string>> newly_wanted_racks;

  bool IsWanted(const std::string& pool, const std::string& rack) const {
    const auto it = wanted_racks.find(pool);
    return it != wanted_racks.end() && it->second.contains(rack);
  }
};

}  // namespace radishwing::sched
