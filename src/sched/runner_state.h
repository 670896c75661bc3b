#pragma once

#include <set>
#include <string>

#include "src/base/clock.h"
#include "src/fleet/resources.h"
#include "src/fleet/runner_report.h"
#include "src/fleet/task_name.h"

namespace radishwing::sched {

/// Number of consecutive failed runs after which a runner gets tasks only if no
/// other runner has enough free capacity. A stuck run also has this effect.
inline constexpr int kSuspectFailureThreshold = 3;

/// State of a runner, as known to the scheduler.
struct runner_state {
  fleet::runner_report report;  ///< The runner's registration.
  /// This incarnation of the runner has listed its runs to this leader.
  bool listed = false;
  bool reachable = false;  ///< The runner answered the most recent poll.
  /// The runner is certainly in the runner set in the store.
  bool recorded = false;
  /// The runner gets no new tasks, see scheduler::SetRunnerHolds().
  bool cordoned = false;
  /// Start time of this incarnation of the runner, on this process's clock.
  /// Computed from the runner's clock, which starts at 0 with each incarnation.
  /// The computed time may be too early by at most the drift of the runner's
  /// clock.
  millis started_at = 0;
  millis not_before = 0;  ///< Earliest time of the next start order.
  /// Number of runs that failed on the runner since its last successful run.
  int consecutive_failures = 0;
  /// Highest sequence number of the listed ends that the scheduler has applied.
  std::uint64_t last_end_number = 0;
  /// Sum of the resource needs of all runs that may exist on the runner.
  fleet::resources used;
  /// The part of `used` that is for long-running tasks.
  fleet::resources long_running_use;
  std::set<fleet::task_name> tasks;  ///< Tasks with a run on the runner.
  /// The runner's most recent listing had runs of unknown tasks. The scheduler
  /// stops these runs. The resource use of these runs is unknown, so the runner
  /// gets no tasks until they have ended.
  bool has_unknown_runs = false;
};

}  // namespace radishwing::sched
