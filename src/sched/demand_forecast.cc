#include "src/sched/demand_forecast.h"

#include <algorithm>
#include <cmath>
#include <numeric>
#include <utility>

namespace radishwing::sched {
namespace {

// Half of the time over which RecentRate() is computed.
constexpr millis kHalfWindowMs = 500;
// Arrivals are summed over buckets of this length, a fraction of the time that
// a host needs to move.
constexpr millis kBucketMs = 500;
// Number of buckets that are kept, so periods of up to 64 s are found. The
// search of the period takes time that grows with the square of this number.
constexpr std::int64_t kMaxBuckets = 256;
// Shortest period in buckets. Hosts cannot follow faster changes.
constexpr std::int64_t kMinPeriod = 8;
// Lowest autocorrelation of a period, and the lowest number of buckets that it
// is computed from.
constexpr double kMinCorrelation = 0.7;
constexpr std::int64_t kMinOverlap = 24;
// A period counts after it was found in this many buckets in a row.
constexpr int kMinConfirmations = 4;
// Part of the best correlation from which on a shorter period is preferred, as
// the multiples of a period correlate about as well.
constexpr double kShorterPeriodRatio = 0.9;
// Number of buckets over which arrivals and forecast are compared.
constexpr std::int64_t kCheckBuckets = 4;
// The forecast is withdrawn if the difference exceeds this part of the larger
// of the two.
constexpr double kMaxError = 0.6;

// Returns the correlation of `values` with the same values `lag` later.
double Correlation(const std::vector<double>& values, std::size_t lag) {
  const std::size_t count = values.size() - lag;
  double sum_a = 0;
  double sum_b = 0;
  for (std::size_t i = 0; i < count; ++i) {
    sum_a += values[i];
    sum_b += values[i + lag];
  }
  const double mean_a = sum_a / static_cast<double>(count);
  const double mean_b = sum_b / static_cast<double>(count);
  double product = 0;
  double square_a = 0;
  double square_b = 0;
  for (std::size_t i = 0; i < count; ++i) {
    const double a = values[i] - mean_a;
    const double b = values[i + lag] - mean_b;
    product += a * b;
    square_a += a * a;
    square_b += b * b;
  }
  const double scale = std::sqrt(square_a * square_b);
  return scale > 0 && std::isfinite(scale) ? product / scale : 0;
}

std::int64_t BucketAt(millis time) {
  return time >= 0 ? time / kBucketMs : (time - kBucketMs + 1) / kBucketMs;
}

}  // namespace

void demand_forecast::Record(millis now, double total_core_ms) {
  const std::int64_t bucket = BucketAt(now);
  if (!(total_core_ms >= total_) || !std::isfinite(total_core_ms) ||
      total_ < 0) {
    *this = {};
    next_ = bucket;
    if (std::isfinite(total_core_ms)) total_ = std::max(0.0, total_core_ms);
    return;
  }
  if (samples_.empty() || now > samples_.back().at)
    samples_.push_back({now, total_core_ms});
  while (samples_.size() > 1 && now - samples_[1].at >= 2 * kHalfWindowMs)
    samples_.pop_front();
  AdvanceTo(bucket);
  current_ += total_core_ms - total_;
  total_ = total_core_ms;
}

double demand_forecast::RecentRate() const {
  if (samples_.empty()) return 0;
  const sample& first = samples_.front();
  const sample& last = samples_.back();
  if (last.at - first.at < 2 * kHalfWindowMs) return 0;
  const auto middle = std::ranges::find_if(samples_, [&](const sample& entry) {
    return last.at - entry.at <= kHalfWindowMs;
  });
  const auto rate = [](const sample& from, const sample& until) {
    return (until.total_core_ms - from.total_core_ms) /
           static_cast<double>(std::max<millis>(1, until.at - from.at));
  };
  return std::min(rate(first, *middle), rate(*middle, last));
}

void demand_forecast::AdvanceTo(std::int64_t bucket) {
  // After a pause the arrivals in between are not known.
  if (bucket - next_ > kCheckBuckets) {
    const double total = total_;
    *this = {};
    next_ = bucket;
    total_ = total;
    return;
  }
  while (next_ < bucket) CloseBucket();
}

void demand_forecast::CloseBucket() {
  buckets_.push_back(current_);
  current_ = 0;
  ++next_;
  if (static_cast<std::int64_t>(buckets_.size()) > kMaxBuckets)
    buckets_.pop_front();
  CheckForecast();
  FindPeriod();
}

void demand_forecast::FindPeriod() {
  // Smoothed, so that an arrival that falls into the next bucket still counts
  // as repeated.
  std::vector<double> smooth(buckets_.size());
  for (std::size_t i = 0; i < buckets_.size(); ++i) {
    const std::size_t first = i > 0 ? i - 1 : 0;
    const std::size_t last = std::min(i + 1, buckets_.size() - 1);
    for (std::size_t j = first; j <= last; ++j) smooth[i] += buckets_[j];
  }
  const std::size_t longest = std::min(
      buckets_.size() / 2,
      buckets_.size() - std::min<std::size_t>(kMinOverlap, buckets_.size()));
  std::vector<double> correlations(longest + 1, 0);
  double best = 0;
  for (std::size_t lag = kMinPeriod; lag <= longest; ++lag) {
    correlations[lag] = Correlation(smooth, lag);
    best = std::max(best, correlations[lag]);
  }
  const std::int64_t previous = std::exchange(period_, 0);
  // The first peak that is about as high as the highest one.
  for (std::size_t lag = kMinPeriod; lag <= longest && period_ == 0; ++lag) {
    const double after = lag < longest ? correlations[lag + 1] : 0;
    if (best >= kMinCorrelation &&
        correlations[lag] >= kShorterPeriodRatio * best &&
        correlations[lag] >= after) {
      period_ = static_cast<std::int64_t>(lag);
    }
  }
  const bool confirmed =
      period_ > 0 && std::abs(period_ - previous) <= 1 && previous > 0;
  confirmations_ = confirmed ? confirmations_ + 1 : 0;
}

bool demand_forecast::IsReliable() const {
  return confirmations_ >= kMinConfirmations;
}

millis demand_forecast::PeriodMs() const {
  return IsReliable() ? period_ * kBucketMs : 0;
}

// The mean over the past periods, each smoothed over three buckets.
double demand_forecast::Expected(std::int64_t bucket) const {
  if (period_ <= 0) return 0;
  const std::int64_t first = next_ - static_cast<std::int64_t>(buckets_.size());
  double sum = 0;
  int count = 0;
  for (std::int64_t past = bucket - period_; past >= first; past -= period_) {
    for (std::int64_t near = past - 1; near <= past + 1; ++near) {
      if (near < first || near >= next_) continue;
      sum += buckets_[static_cast<std::size_t>(near - first)];
      ++count;
    }
  }
  return count > 0 ? sum / count : 0;
}

bool demand_forecast::IsWrongOver(std::int64_t count) const {
  double difference = 0;
  double larger = 0;
  for (std::int64_t last = next_ - count + kCheckBuckets; last <= next_;
       last += kCheckBuckets) {
    double actual = 0;
    double expected = 0;
    for (std::int64_t i = last - kCheckBuckets; i < last; ++i) {
      actual += buckets_[buckets_.size() - static_cast<std::size_t>(next_ - i)];
      expected += Expected(i);
    }
    difference += std::abs(actual - expected);
    larger += std::max(actual, expected);
  }
  // Below the mean, a difference is of no importance to the hosts.
  const double mean = std::accumulate(buckets_.begin(), buckets_.end(), 0.0) /
                      static_cast<double>(buckets_.size());
  return larger > mean * static_cast<double>(count) &&
         difference > kMaxError * larger;
}

void demand_forecast::CheckForecast() {
  const auto known = static_cast<std::int64_t>(buckets_.size());
  if (period_ <= 0 || known < 2 * period_) return;
  const std::int64_t period = period_ / kCheckBuckets * kCheckBuckets;
  if (!IsWrongOver(kCheckBuckets) && !IsWrongOver(period)) return;
  // Without the old arrivals, a changed period is found as fast as the first.
  if (IsReliable()) buckets_.clear();
  confirmations_ = 0;
}

double demand_forecast::ExpectedRate(millis from, millis until) const {
  if (!IsReliable() || until <= from) return 0;
  const std::int64_t first = BucketAt(from);
  const std::int64_t last = std::max(first, BucketAt(until - 1));
  if (last - first > kMaxBuckets) return 0;
  double sum = 0;
  for (std::int64_t bucket = first; bucket <= last; ++bucket) {
    sum += Expected(bucket);
  }
  return sum / static_cast<double>((last - first + 1) * kBucketMs);
}

}  // namespace radishwing::sched
