#pragma once

#include <map>
#include <string>

#include "src/base/clock.h"

namespace radishwing::sched {

/// Tracks, for each queue, the mean ratio of actual run times to the callers'
/// estimates, which can be far off.
class run_time_model {
 public:
  /// Records that a task estimated at `estimate_ms` ran for `actual_ms`.
  void AddSample(const std::string& queue, millis estimate_ms,
                 millis actual_ms) {
    if (estimate_ms <= 0 || actual_ms <= 0) return;
    double& ratio = ratios_.try_emplace(queue, 1.0).first->second;
    const double sample =
        static_cast<double>(actual_ms) / static_cast<double>(estimate_ms);
    ratio += kSampleWeight * (sample - ratio);
  }

  /// Returns the mean ratio of actual to estimated run time, or 1 if there is
  /// no sample.
  double MeanRatio(const std::string& queue) const {
    const auto it = ratios_.find(queue);
    return it == ratios_.end() ? 1.0 : it->second;
  }

 private:
  // Weight of a new sample in the moving average, which spans about 30 tasks.
  static constexpr double kSampleWeight = 1.0 / 30;
  /// By queue name, the mean ratio of actual to estimated run time.
  std::map<std::string, double> ratios_;
};

}  // namespace radishwing::sched
