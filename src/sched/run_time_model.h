#pragma once

#include <cmath>
#include <map>
#include <string>

#include "src/base/clock.h"

namespace radishwing::sched {

/// Tracks, for each queue, the mean ratio of actual run times to the callers'
/// estimates, which can be far off, and the spread of that ratio.
class run_time_model {
 public:
  /// Records that a task estimated at `estimate_ms` ran for `actual_ms`.
  void AddSample(const std::string& queue, millis estimate_ms,
                 millis actual_ms) {
    if (estimate_ms <= 0 || actual_ms <= 0) return;
    queue_ratio& ratio = ratios_[queue];
    const double sample =
        static_cast<double>(actual_ms) / static_cast<double>(estimate_ms);
    const double error = sample - ratio.mean;
    ratio.mean += kSampleWeight * error;
    ratio.variance =
        (1 - kSampleWeight) * (ratio.variance + kSampleWeight * error * error);
  }

  /// Returns the mean ratio of actual to estimated run time, or 1 if there is
  /// no sample.
  double MeanRatio(const std::string& queue) const {
    const auto it = ratios_.find(queue);
    return it == ratios_.end() ? 1.0 : it->second.mean;
  }

  /// Returns the standard deviation of that ratio, or 0 if there is no sample.
  double Spread(const std::string& queue) const {
    const auto it = ratios_.find(queue);
    return it == ratios_.end() ? 0.0 : std::sqrt(it->second.variance);
  }

 private:
  /// Moving averages over the ratios of a queue's tasks.
  struct queue_ratio {
    double mean = 1;
    double variance = 0;
  };

  // Weight of a new sample in the moving averages, which span about 30 tasks.
  static constexpr double kSampleWeight = 1.0 / 30;
  std::map<std::string, queue_ratio> ratios_;  ///< By queue name.
};

}  // namespace radishwing::sched
