#pragma once

#include <algorithm>
#include <map>
#include <string>

#include "src/base/clock.h"

namespace radishwing::sched {

/// Learns how much longer tasks run away from their place than at it. The start
/// value comes from the settings, and the ends of runs correct it.
class place_speed_model {
 public:
  /// Sets the factor that holds for a queue before its first sample. A factor
  /// below 1 counts as 1.
  void SetInitialFactor(double factor) {
    initial_factor_ = std::max(1.0, factor);
  }

  /// Records that a task expected to take `expected_ms` at its place ran for
  /// `actual_ms` away from it.
  void AddAwaySample(const std::string& queue, double expected_ms,
                     millis actual_ms) {
    if (expected_ms <= 0 || actual_ms <= 0) return;
    double& factor = factors_.try_emplace(queue, initial_factor_).first->second;
    factor += kSampleWeight * (Ratio(expected_ms, actual_ms) - factor);
  }

  /// Records that a task expected to take `expected_ms` ran for `actual_ms` at
  /// its place, the rack `rack`.
  void AddNearSample(const std::string& rack, double expected_ms,
                     millis actual_ms) {
    if (expected_ms <= 0 || actual_ms <= 0) return;
    double& slowdown = slowdowns_.try_emplace(rack, 1.0).first->second;
    slowdown += kSampleWeight * (Ratio(expected_ms, actual_ms) - slowdown);
  }

  /// Returns the ratio of the run time of the queue's tasks away from their
  /// place to the expected run time at it, at least 1.
  double AwayFactor(const std::string& queue) const {
    const auto it = factors_.find(queue);
    return std::max(1.0, it == factors_.end() ? initial_factor_ : it->second);
  }

  /// Returns the ratio of actual to expected run times on `rack`, or 1 if there
  /// is no sample.
  double RackSlowdown(const std::string& rack) const {
    const auto it = slowdowns_.find(rack);
    return it == slowdowns_.end() ? 1.0 : it->second;
  }

 private:
  // Weight of a new sample in the moving averages, which span about 30 tasks.
  static constexpr double kSampleWeight = 1.0 / 30;
  // Limit of the ratio in one sample. A caller's estimate may be too low by any
  // factor, and one such task must not decide the average.
  static constexpr double kMaxRatio = 10;

  static double Ratio(double expected_ms, millis actual_ms) {
    return std::min(kMaxRatio, static_cast<double>(actual_ms) / expected_ms);
  }

  double initial_factor_ = 1;
  std::map<std::string, double> factors_;    ///< By queue name.
  std::map<std::string, double> slowdowns_;  ///< By rack.
};

}  // namespace radishwing::sched
