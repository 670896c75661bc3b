#pragma once

#include "src/base/clock.h"
#include "src/sched/pool_backlog.h"

namespace radishwing::sched {

/// When a claim will have been given an amount of work.
struct work_forecast {
  millis wait_ms = 0;  ///< At most kLongestWaitMs.
  /// The team's resource limit is what binds, not the pool's capacity.
  bool bound_by_team_limit = false;
};

/// Longest wait that a forecast returns; a longer one counts as this.
inline constexpr millis kLongestWaitMs = 600000;

/// Work of other claims that goes before that of a claim. Of any priority, jobs
/// that can still meet their objective go before late ones.
enum class competing_work {
  kFeasible,         ///< Before a job that can meet its objective.
  kFeasibleAndLate,  ///< Before a late job.
};

/// Forecasts when the claim `target` will have been given `core_ms` of work, if
/// no further jobs arrive and work that waits for an earlier step stays
/// blocked. Teams share the pool by weight, queues of a higher priority go
/// first, and the others get what a claim leaves unused. `target` may be a
/// claim without an entry in `pool`; `target_weight` is the weight of its team
/// in that case.
work_forecast ForecastWork(const pool_backlog& pool,
                           const backlog_claim& target, double target_weight,
                           double core_ms, competing_work competing);

}  // namespace radishwing::sched
