#pragma once

#include <cstdint>
#include <deque>
#include <vector>

#include "src/base/clock.h"

namespace radishwing::sched {

/// Learns how much work arrives for a pool over time. The latest arrivals show
/// what the pool will need when they continue. If the arrivals repeat with a
/// period, it also forecasts them further ahead. The period is found from the
/// arrivals; at least two whole periods have to be seen. After arrivals that
/// differ from the forecast, it starts anew. Performs no I/O. All times are
/// readings of one monotonic clock.
class demand_forecast {
 public:
  /// Records that `total_core_ms` of work have arrived up to `now` since some
  /// fixed time. A total below the previous one, or that is not a number,
  /// starts anew.
  void Record(millis now, double total_core_ms);

  /// Returns the work that has arrived per ms in the last second, in
  /// core-milliseconds: the lower of the means of its two halves, so that a
  /// single large job does not count.
  double RecentRate() const;

  /// Returns true if there is a forecast.
  bool IsReliable() const;

  /// Returns the period, or 0 if there is no forecast.
  millis PeriodMs() const;

  /// Returns the mean work that is expected to arrive per ms between `from` and
  /// `until`, in core-milliseconds; 0 if there is no forecast.
  double ExpectedRate(millis from, millis until) const;

 private:
  /// Closes the current bucket and those up to `bucket` without arrivals.
  void AdvanceTo(std::int64_t bucket);
  void CloseBucket();
  /// Searches the period with the highest autocorrelation.
  void FindPeriod();
  /// Returns the expected arrivals in a bucket, which may be in the future.
  double Expected(std::int64_t bucket) const;
  /// Withdraws the forecast and forgets the arrivals if the latest ones differ
  /// from the forecast.
  void CheckForecast();
  /// Returns true if the forecast of the last `count` buckets from the earlier
  /// ones is wrong.
  bool IsWrongOver(std::int64_t count) const;

  /// Total work that had arrived at a time.
  struct sample {
    millis at = 0;
    double total_core_ms = 0;
  };

  std::deque<sample> samples_;  ///< Of the last second, the oldest first.
  std::deque<double> buckets_;  ///< Arrivals by bucket, the oldest first.
  std::int64_t next_ = 0;       ///< Number of the current bucket.
  double current_ = 0;          ///< Arrivals in the current bucket.
  double total_ = -1;           ///< Last recorded total; -1: none.
  std::int64_t period_ = 0;     ///< In buckets; 0: none.
  int confirmations_ = 0;  ///< How often in a row the period was confirmed.
};

}  // namespace radishwing::sched
