#pragma once

#include <cstddef>
#include <vector>

#include "src/base/clock.h"

namespace radishwing::pools {

/// The highest and the mean demand of a pool over a sliding window. Memory is
/// bounded: the window is kept as a fixed number of parts.
class demand_peak {
 public:
  explicit demand_peak(millis window_ms);

  /// Records that `slots` are wanted now: running and queued.
  void Record(millis now, double slots);

  /// Highest demand within the window; 0 without a record.
  double Peak(millis now) const;

  /// Mean demand within the window; 0 without a record.
  double Mean(millis now) const;

 private:
  struct part {
    millis number = -1;  ///< Which part of all time; -1: never used.
    double peak = 0;
    double sum = 0;
    std::size_t count = 0;
  };

  bool Within(const part& part, millis now) const;

  millis part_ms_;
  std::vector<part> parts_;
};

}  // namespace radishwing::pools
