#pragma once

#include "src/base/clock.h"
#include "src/sched/runner_state.h"

namespace radishwing::sched {

/// Enforces the minimum time that the platform requires between the last order
/// of one lease holder to a host and the first order of the next holder to the
/// same host. All times are readings of one monotonic clock.
class host_pause {
 public:
  /// Orders to any host are allowed from `free_at` on. `length_ms` is the
  /// pause plus the maximum time that an order is in transit.
  host_pause(millis free_at, millis length_ms)
      : free_at_(free_at), length_ms_(length_ms) {}

  /// Returns true if no earlier holder can have sent an order to the host of
  /// `runner` within the pause. A move or maintenance restarts the host's
  /// runner, so a runner that has been up for longer than the pause proves that
  /// there was no such order. `runner` is null if none is known on the host.
  bool Elapsed(millis now, const runner_state* runner) const {
    if (now >= free_at_) return true;
    return runner && runner->listed && now - runner->started_at > length_ms_;
  }

 private:
  millis free_at_;
  millis length_ms_;
};

}  // namespace radishwing::sched
