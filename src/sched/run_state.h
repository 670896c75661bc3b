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
  std::string runner;  ///< Id of the runner.
  int run = 0;         ///< Number of the run.
  run_phase phase = run_phase::kStarting;
  /// A start order got no answer, so the runner may still carry it out.
  bool start_unanswered = false;
  // The scheduler issued a start or a stop order for the run, and the outcome
  // of the order is not reported yet. Both may be in flight at once, and their
  // outcomes arrive in any order.
  bool start_in_flight = false;
  bool stop_in_flight = false;
  /// The run has reserved resources, but its start order waits until the job's
  /// progress record in the store names the runner's data centre.
  /// Nothing was sent to the runner.
  bool start_deferred = false;
  bool stop_confirmed = false;  ///< The runner has accepted the stop order.
  millis ordered_at = 0;        ///< Time of the start order.
  /// Time at which the runner confirmed the start, or the stop if the phase is
  /// kStopping; 0 if this leader got no confirmation.
  millis confirmed_at = 0;
  millis retry_at = 0;  ///< Earliest time to repeat the last order.
  /// Time on the runner's clock of the first listing since the last change of
  /// progress or pace; -1: no listing yet.
  millis progress_clock_ms = -1;
  /// Time on the runner's clock of the most recent listing; -1: no listing yet.
  millis listed_clock_ms = -1;
  /// If an earlier leader started the run: time on the runner's clock of the
  /// first listing to this leader; else -1.
  millis adopted_clock_ms = -1;
  int progress_percent = 0;  ///< Progress in the most recent listing.
  /// Time of the first of the listings that do not have the run; -1: the most
  /// recent one has it.
  millis missing_since = -1;
  bool missing_reported = false;  ///< There was an event about its absence.

  bool HasOrderInFlight() const { return start_in_flight || stop_in_flight; }
  /// Begins to measure the time without progress with the next listing.
  void RestartProgressTimer() { progress_clock_ms = -1; }
  /// Returns the time without progress, as far as listings show it.
  millis StalledMs() const {
    return progress_clock_ms < 0 ? 0 : listed_clock_ms - progress_clock_ms;
  }
  /// Returns false if an earlier leader may have ordered a stop of the run that
  /// has not ended yet. The runner has refused such orders since its first
  /// listing to this leader, and ends a run within `max_stop_ms`.
  bool IsUnaffectedByEarlierLeaders(millis max_stop_ms) const {
    return adopted_clock_ms < 0 ||
           listed_clock_ms - adopted_clock_ms >= max_stop_ms;
  }
  /// Load in the most recent listing: tail latency in ms of a latency-sensitive
  /// task, processor use of any other task.
  double load = 0;
  int pace_percent = 100;  ///< Percentage of full speed, as last ordered.
};

}  // namespace radishwing::sched
