#pragma once

#include <set>
#include <string>

#include "src/base/clock.h"
#include "src/fleet/resources.h"
#include "src/fleet/runner_report.h"
#include "src/fleet/task_name.h"

namespace radishwing::sched {

/// Consecutive failed runs after which a runner is used only if no other one
/// has enough free capacity. A stuck task counts as that many.
inline constexpr int kSuspectFailureThreshold = 3;

/// State of a runner, as known to the scheduler.
struct runner_state {
  fleet::runner_report report;
  bool listed = false;     ///< Has listed its runs to this leader.
  bool reachable = false;  ///< Answered the most recent poll.
  bool cordoned = false;   ///< Gets no new tasks: maintenance or a move.
  /// Start of this incarnation of the runner on this process's clock, computed
  /// from the runner's clock, which starts at 0 with each incarnation. May be
  /// too early by at most the drift of that clock.
  millis started_at = 0;
  millis not_before = 0;         ///< Earliest next start, after a refused one.
  int consecutive_failures = 0;  ///< Since the last successful run.
  std::uint64_t last_end_number = 0;  ///< Highest recorded end number.
  fleet::resources used;              ///< By all runs that may exist on it.
  std::set<fleet::task_name> tasks;   ///< Tasks with a run on it.
  /// The most recent listing had runs of unknown tasks. They are being stopped;
  /// their resource use is unknown, so the runner gets no tasks until they have
  /// ended.
  bool has_unknown_runs = false;
};

}  // namespace radishwing::sched
