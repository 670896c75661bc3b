#pragma once

#include <algorithm>

#include "src/base/clock.h"

namespace radishwing::sched {

/// Spaces plans so that they use a bounded share of the processor: a plan over
/// a long backlog costs several ms on a small host, and events that wait for
/// one plan after the other would leave no time to serve calls.
class plan_pacer {
 public:
  /// Notes how long a plan took.
  void Took(millis cost) {
    cost_ = std::max(cost, cost_ - (cost_ + kDecay - 1) / kDecay);
  }

  /// Time to wait for more events before the next plan.
  millis Delay() const {
    return std::clamp(cost_ * kRestPerCost, kMinDelayMs, kMaxDelayMs);
  }

 private:
  // Events that come together are planned for together.
  static constexpr millis kMinDelayMs = 4;
  // A free runner waits no longer than this for its next task.
  static constexpr millis kMaxDelayMs = 100;
  // Rest per unit of cost: plans use at most a quarter of the processor.
  static constexpr millis kRestPerCost = 3;
  // A cost is forgotten over about this many plans.
  static constexpr millis kDecay = 4;

  millis cost_ = 0;
};

}  // namespace radishwing::sched
