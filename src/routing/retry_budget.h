#pragma once

namespace radishwing::routing {

/// Bounds the retries of one service to a part of its successes, so that
/// retries cannot multiply the load when runners fail.
class retry_budget {
 public:
  /// Retries available at the start and, with the ratio, after each success.
  static constexpr double kStartAllowance = 10;
  /// Savings are bounded to what this many successes earn, so that a long
  /// healthy time does not pay for a retry storm.
  static constexpr double kSavedSuccesses = 1000;

  void SetRatio(double ratio) { ratio_ = ratio; }
  void Success();

  /// Takes one retry, or returns false if the budget is used up.
  bool TryRetry();

 private:
  double ratio_ = 0.1;
  double available_ = kStartAllowance;
};

}  // namespace radishwing::routing
