#pragma once

#include <functional>
#include <string_view>

#include "src/base/clock.h"

namespace radishwing::sched {

/// The terms on which a task waits for its place, which is the rack of its data
/// or, for a gang, a rack with room for all members.
struct place_wait_terms {
  /// Time at which the task first passed up a start elsewhere.
  millis since = 0;
  double near_ms = 0;  ///< Expected run time at the place.
  double away_ms = 0;  ///< Expected run time elsewhere.
  /// Latest start at the place with which the job still meets its objective.
  millis latest_start = 0;
};

/// Returns the time until which the task may wait for its place; from then on,
/// it starts wherever there is room. The wait never exceeds the run time that
/// the place saves. A job that would meet its objective elsewhere waits only
/// as long as it still would, with a margin for the spread of run times if its
/// slack has room for one. A job that meets its objective only at the place
/// waits no longer than it can meet it.
millis PlaceWaitDeadline(const place_wait_terms& terms);

/// Returns the time until which a task that names no place may pass up room on
/// a rack that other tasks wait for; a time in the past if it takes that room
/// at once. `near_ms` is its own expected run time, and the difference to
/// `away_ms` is what the others save. Its job does not become late by it.
millis PassUpDeadline(const place_wait_terms& terms);

/// How the scheduler decides about waits. Benchmarks compare other policies.
struct place_wait_policy {
  std::function<millis(const place_wait_terms&)> deadline = PlaceWaitDeadline;
  std::function<millis(const place_wait_terms&)> pass_up_deadline =
      PassUpDeadline;
  /// If set, tasks wait until the deadline, whatever room is expected.
  bool ignores_forecast = false;
};

/// State of a step's wait for its place. Only the current leader has it: its
/// successor begins the wait again.
struct place_wait_state {
  /// Time at which a task of the step first passed up a start elsewhere; -1:
  /// the step does not wait.
  millis since = -1;
  bool reported = false;  ///< The wait has been reported as an event.
  int near_tasks = 0;     ///< Tasks that started at the place since `since`.
  int away_tasks = 0;     ///< Tasks that started elsewhere since `since`.
  /// Why the most recent decision was against a wait; empty if there is none.
  std::string_view given_up;
};

}  // namespace radishwing::sched
