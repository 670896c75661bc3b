#pragma once

#include <string>

#include "src/base/clock.h"

namespace radishwing::sched {

/// Lifecycle phase of a run, as known to the scheduler.
enum class run_phase {
  kStarting,  ///< The start order is not confirmed yet.
  kRunning,   ///< The runner has confirmed the start.
  kStopping,  ///< A stop was ordered; resources stay in use until the end.
};

/// One run of a task on one runner.
struct run_state {
  std::string runner;
  int run = 0;
  run_phase phase = run_phase::kStarting;
  /// A start order got no answer, so the runner may still carry it out.
  bool start_unanswered = false;
  bool order_in_flight = false;
  /// Resources are reserved, but the start order waits until the stored record
  /// of the job covers the run.
  bool start_deferred = false;
  bool stop_confirmed = false;  ///< The runner has accepted the stop order.
  millis ordered_at = 0;        ///< Time of the start order.
  /// Time at which the runner confirmed the start, or the stop if the phase is
  /// kStopping; 0 if it did not confirm to this leader.
  millis confirmed_at = 0;
  millis retry_at = 0;       ///< Earliest time to repeat an order.
  millis progress_at = 0;    ///< Time of the last change of progress or pace.
  int progress_percent = 0;  ///< Progress, as last listed.
  double load = 0;           ///< Tail latency or processor use, as last listed.
  int pace_percent = 100;    ///< Percentage of full speed, as last ordered.
};

}  // namespace radishwing::sched
