#pragma once

#include <algorithm>

#include "src/base/clock.h"

namespace radishwing::sched {

/// Limits the share of processor time that scheduling passes use. A pass over a
/// long backlog takes several ms on a small host; passes that follow each other
/// without a delay would leave no time to serve requests.
class plan_pacer {
 public:
  /// Records the duration of a scheduling pass.
  void RecordCost(millis cost) {
    cost_ = std::max(cost, cost_ - (cost_ + kDecayPlans - 1) / kDecayPlans);
  }

  /// Returns the time to collect events before the next pass.
  millis Delay() const {
    return std::clamp(cost_ * kDelayPerCost, kMinDelayMs, kMaxDelayMs);
  }

 private:
  // Lets one pass handle events that arrive close together.
  static constexpr millis kMinDelayMs = 4;
  // Bounds the time that a free runner waits for its next task.
  static constexpr millis kMaxDelayMs = 100;
  // Delay per unit of cost: passes use at most a quarter of the processor.
  static constexpr millis kDelayPerCost = 3;
  // Number of passes over which a high cost decays.
  static constexpr millis kDecayPlans = 4;

  millis cost_ = 0;
};

}  // namespace radishwing::sched
