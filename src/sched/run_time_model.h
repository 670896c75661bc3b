#pragma once

#include <map>
#include <string>

#include "src/base/clock.h"

namespace radishwing::sched {

/// Learns per queue how real run times compare with the callers' estimates,
/// which may be far off.
class run_time_model {
 public:
  /// Records that a task with `estimate_ms` ran for `actual_ms`.
  void Learn(const std::string& queue, millis estimate_ms, millis actual_ms) {
    if (estimate_ms <= 0 || actual_ms <= 0) return;
    double& ratio = ratios_.try_emplace(queue, 1.0).first->second;
    const double seen =
        static_cast<double>(actual_ms) / static_cast<double>(estimate_ms);
    ratio += kGain * (seen - ratio);
  }

  /// Actual run time per estimated run time.
  double Ratio(const std::string& queue) const {
    const auto it = ratios_.find(queue);
    return it == ratios_.end() ? 1.0 : it->second;
  }

 private:
  // Weight of one task in the mean: about the last 30 tasks count.
  static constexpr double kGain = 1.0 / 30;
  std::map<std::string, double> ratios_;
};

}  // namespace radishwing::sched
