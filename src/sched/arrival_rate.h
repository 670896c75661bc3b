#pragma once

#include <cmath>

#include "src/base/clock.h"

namespace radishwing::sched {

/// Rate at which work arrives: a mean over about the last `kWindowMs`.
class arrival_rate {
 public:
  /// `amount` has arrived.
  void Add(double amount, millis now) {
    Decay(now);
    sum_ += amount;
  }

  /// Amount per millisecond.
  double PerMs(millis now) const {
    return sum_ * Factor(now) / static_cast<double>(kWindowMs);
  }

 private:
  // Demand changes within a second; a host takes 1.5 s to arrive.
  static constexpr millis kWindowMs = 800;

  double Factor(millis now) const {
    return std::exp(-static_cast<double>(now - at_) /
                    static_cast<double>(kWindowMs));
  }
  void Decay(millis now) {
    sum_ *= Factor(now);
    at_ = now;
  }

  double sum_ = 0;
  millis at_ = 0;
};

}  // namespace radishwing::sched
