#pragma once

#include <algorithm>

#include "src/base/clock.h"

namespace radishwing::sched {

/// Limits the share of processor time that scheduling passes use. A pass over a
/// long backlog takes several ms on a small host; passes without a delay
/// between them would leave no time to serve requests.
class plan_pacer {
 public:
  /// Records the duration of a scheduling pass.
  void RecordPassDuration(millis duration) {
    recent_max_ms_ = std::max(
        duration,
        recent_max_ms_ - (recent_max_ms_ + kDecayPasses - 1) / kDecayPasses);
  }

  /// Returns the delay from an event to the next pass. That pass also handles
  /// the events that arrive during the delay.
  millis DelayBeforeNextPass() const {
    return std::clamp(recent_max_ms_ * kDelayFactor, kMinDelayMs, kMaxDelayMs);
  }

 private:
  // Lets one pass cover events that arrive close together.
  static constexpr millis kMinDelayMs = 4;
  // Bounds the time that a free runner waits for its next task.
  static constexpr millis kMaxDelayMs = 100;
  // Ratio of the delay to the duration of a pass: as long as kMaxDelayMs does
  // not apply, passes use at most a quarter of the processor.
  static constexpr millis kDelayFactor = 3;
  // Decay rate: every shorter pass reduces `recent_max_ms_` by one part in
  // kDecayPasses.
  static constexpr millis kDecayPasses = 4;

  // Decaying maximum of the durations of recent passes.
  millis recent_max_ms_ = 0;
};

}  // namespace radishwing::sched
