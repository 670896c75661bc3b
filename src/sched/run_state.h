#pragma once

#include <string>

#include "src/base/clock.h"

namespace radishwing::sched {

/// How far a run is, as the scheduler knows.
enum class run_phase {
  kStarting,  ///< Ordered; whether it runs is not known.
  kRunning,   ///< The runner has confirmed it.
  kStopping,  ///< A stop is ordered; it counts until its end is listed.
};

/// One run of a task on one runner.
struct run_state {
  std::string runner;
  int run = 0;
  run_phase phase = run_phase::kStarting;
  /// An order to start it went without an answer, so that it may still come.
  bool unanswered = false;
  bool order_in_flight = false;
  /// Has its place, but no order was given: the store does not have a record
  /// of the job yet.
  bool held = false;
  bool stop_confirmed = false;
  millis ordered_at = 0;
  millis confirmed_at = 0;  ///< Of the start, or of the stop while stopping.
  millis retry_at = 0;
  millis progress_at = 0;  ///< When `percent` last changed.
  int percent = 0;
  double load = 0;
  int pace = 100;  ///< Share of its speed that it was last given.
};

}  // namespace radishwing::sched
