#pragma once

namespace radishwing::fairness {

/// Mean run time of the recent items of one team, class and service. Declared
/// run times are off by up to ten times: charging them at the start kept a team
/// that declares too much from using its share until the charges were corrected
/// (bench/shares_bench.cc: 6.6 s after a step in demand).
class run_time_mean {
 public:
  void Note(double used_ms) {
    mean_ms_ = noted_ ? mean_ms_ + (used_ms - mean_ms_) / kItems : used_ms;
    noted_ = true;
  }

  /// The mean, or `declared_ms` as long as no item has finished.
  double ValueOr(double declared_ms) const {
    return noted_ ? mean_ms_ : declared_ms;
  }

 private:
  static constexpr double kItems = 16;
  double mean_ms_ = 0;
  bool noted_ = false;
};

}  // namespace radishwing::fairness
