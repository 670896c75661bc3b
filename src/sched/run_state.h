#pragma once

#include <string>

#include "src/base/clock.h"

namespace radishwing::sched {

/// Lifecycle phase of a run, as known to the scheduler.
enum class run_phase {
  kStarting,  ///< Start ordered, not yet confirmed.
  kRunning,   ///< Confirmed by the runner.
  kStopping,  ///< Stop ordered; uses resources until its end is listed.
};

/// One run of a task on one runner.
struct run_state {
  std::string runner;
  int run = 0;
  run_phase phase = run_phase::kStarting;
  /// A start order got no answer, so the runner may still carry it out.
  bool unanswered = false;
  bool order_in_flight = false;
  /// Resources are reserved, but the start order waits until the store has a
  /// record of the job.
  bool deferred = false;
  bool stop_confirmed = false;
  millis ordered_at = 0;
  millis confirmed_at = 0;  ///< Of the start, or of the stop if kStopping.
  millis retry_at = 0;
  millis progress_at = 0;  ///< When `percent` last changed.
  int percent = 0;
  double load = 0;
  int pace = 100;  ///< Percentage of full speed, as last ordered.
};

}  // namespace radishwing::sched
