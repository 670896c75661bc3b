#pragma once

#include <set>
#include <string>

#include "src/base/clock.h"
#include "src/fleet/resources.h"
#include "src/fleet/runner_report.h"
#include "src/fleet/task_name.h"

namespace radishwing::sched {

/// Failed ends in a row after which a runner is used only if no other has room;
/// a stuck task counts as that many.
inline constexpr int kSuspectFailures = 3;

/// A runner as the scheduler sees it.
struct runner_state {
  fleet::runner_report report;
  bool listed = false;     ///< Has told what runs since this leader took over.
  bool reachable = false;  ///< Answered its last look.
  bool cordoned = false;   ///< Gets no new work, for maintenance or a move.
  /// When this life of the runner began, on this process's clock, by the
  /// runner's own clock, which starts with it; an earlier time than it was by
  /// at most the clock's drift.
  millis life_began = 0;
  millis not_before = 0;       ///< No start before this, after a refusal.
  int failures_in_row = 0;     ///< Failed ends without a good one between.
  std::uint64_t last_end = 0;  ///< Highest number of an end that was recorded.
  fleet::resources used;       ///< By all runs that may be there.
  std::set<fleet::task_name> tasks;  ///< Tasks with a run there.
  /// The last listing had runs of no known task. They are being stopped; what
  /// they use is not known, so the runner gets no work until they are gone.
  bool has_strays = false;
};

}  // namespace radishwing::sched
