#pragma once

#include "src/base/clock.h"
#include "src/sched/runner_state.h"

namespace radishwing::sched {

/// Enforces the pause that the platform requires between the last order of one
/// host controller to a host and the first order of the next host controller to
/// the same host. All times are readings of one monotonic clock.
class host_pause {
 public:
  /// From `ends_at` on, the pause has elapsed for every host. `length_ms` is
  /// the pause plus the maximum transit time of an order.
  host_pause(millis ends_at, millis length_ms)
      : ends_at_(ends_at), length_ms_(length_ms) {}

  /// Returns true if the pause has elapsed for the host of `runner`; `runner`
  /// is null if no runner is known on the host. A move or maintenance restarts
  /// the host's runner. A runner that has run for longer than the pause
  /// therefore proves that no earlier host controller sent an order during the
  /// pause.
  bool HasElapsed(millis now, const runner_state* runner) const {
    if (now >= ends_at_) return true;
    return runner && runner->listed && now - runner->started_at > length_ms_;
  }

 private:
  millis ends_at_;    ///< Time at which the pause ends for every host.
  millis length_ms_;  ///< Pause plus the maximum transit time of an order.
};

}  // namespace radishwing::sched
