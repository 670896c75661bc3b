#pragma once

#include "src/base/clock.h"
#include "src/sched/runner_state.h"

namespace radishwing::sched {

/// The platform's pause between the last order of one holder and the first of
/// the next for one host. All times are those of one monotonic clock.
class host_pause {
 public:
  /// From `free_at` on any host may be ordered. `length_ms`: the pause with
  /// the time that an order may be on its way.
  host_pause(millis free_at, millis length_ms)
      : free_at_(free_at), length_ms_(length_ms) {}

  /// True if no earlier holder can have ordered the host of `runner` within
  /// the pause. A host that was moved or maintained has a new runner, so one
  /// whose runner is older was not ordered. `runner` is null if the host has
  /// none that is known.
  bool Over(millis now, const runner_state* runner) const {
    if (now >= free_at_) return true;
    return runner && runner->listed && now - runner->life_began > length_ms_;
  }

 private:
  millis free_at_;
  millis length_ms_;
};

}  // namespace radishwing::sched
