#include "src/sched/link_load.h"

#include <algorithm>

namespace radishwing::sched {
namespace {

// Shortest and longest span of the moving average's samples.
constexpr millis kMinSampleMs = 50;
constexpr millis kAveragingMs = 1000;
constexpr millis kBusyPollSpacingMs = 100;
constexpr millis kCongestedPollSpacingMs = 250;
constexpr millis kBusyWriteDeferralMs = 200;
constexpr millis kCongestedWriteDeferralMs = 600;

}  // namespace

void link_load::Record(millis now, const traffic_totals& totals) {
  if (bytes_per_s_ <= 0) return;
  if (recorded_at_ < 0) {
    recorded_at_ = now;
    totals_ = totals;
    return;
  }
  const millis elapsed = now - recorded_at_;
  if (elapsed < kMinSampleMs) return;
  const auto bytes = static_cast<double>(
      std::max(totals.sent - totals_.sent, totals.received - totals_.received));
  const double share =
      bytes * 1000 / static_cast<double>(elapsed) / bytes_per_s_;
  const double weight = std::min(
      1.0, static_cast<double>(elapsed) / static_cast<double>(kAveragingMs));
  utilisation_ += weight * (share - utilisation_);
  recorded_at_ = now;
  totals_ = totals;
}

millis link_load::PollSpacing() const {
  if (utilisation_ > kCongestedShare) return kCongestedPollSpacingMs;
  return utilisation_ > kBusyShare ? kBusyPollSpacingMs : 0;
}

millis link_load::WriteDeferral() const {
  if (utilisation_ > kCongestedShare) return kCongestedWriteDeferralMs;
  return utilisation_ > kBusyShare ? kBusyWriteDeferralMs : 0;
}

}  // namespace radishwing::sched
