#pragma once

#include <limits>
#include <vector>

#include "src/base/clock.h"
#include "src/fleet/resources.h"

namespace radishwing::sched {

/// A run that is expected to end and to free its resources.
struct expected_end {
  millis at = 0;           ///< Expected time of the end.
  fleet::resources needs;  ///< Resources that the run holds.
};

/// Forecast of when one runner has room, made for one scheduling pass. Tasks
/// that wait for the runner book their room in the order in which they would
/// start, so that no two of them expect the same room. A later booking never
/// starts before an earlier one.
class room_forecast {
 public:
  /// Time of a start that is not expected at all.
  static constexpr millis kNever = std::numeric_limits<millis>::max();

  /// `free` is the free capacity at `now`.
  room_forecast(millis now, const fleet::resources& free,
                std::vector<expected_end> ends);

  /// Returns the earliest time at which the runner has room for `needs`, or
  /// kNever.
  millis EarliestStart(const fleet::resources& needs) const;
  /// Books room for `needs` from the earliest possible start for `duration`.
  /// Returns the start, or kNever if there is none; nothing is booked then.
  millis Book(const fleet::resources& needs, millis duration);

 private:
  millis booked_until_;    ///< Start of the most recent booking.
  fleet::resources free_;  ///< Free capacity at `booked_until_`.
  /// Ends of runs and bookings after `booked_until_`, the latest first.
  std::vector<expected_end> ends_;
};

}  // namespace radishwing::sched
