#include "src/sched/start_pacer.h"

#include <algorithm>
#include <limits>

namespace radishwing::sched {
namespace {

// Share of the link that the starts of tasks, and all that follows from them,
// may use.
constexpr double kShareForTasks = 0.8;
// Bounds of the traffic that one task causes in the busier direction: its
// start, its part of the listings, its part of the stored progress.
constexpr double kMinBytesPerTask = 500;
constexpr double kMaxBytesPerTask = 1600;
constexpr double kAveragingMs = 1000;
// Longest time whose unused allowance is kept for a burst.
constexpr double kMaxBurstSeconds = 0.25;

}  // namespace

int start_pacer::Allowance(millis now, const link_load& load) {
  if (load.BytesPerSecond() <= 0) return std::numeric_limits<int>::max();
  const double elapsed_ms =
      updated_at_ < 0 ? kAveragingMs : static_cast<double>(now - updated_at_);
  updated_at_ = now;
  const double weight = std::min(1.0, elapsed_ms / kAveragingMs);
  if (elapsed_ms > 0) {
    starts_per_s_ += weight * (starts_ * 1000.0 / elapsed_ms - starts_per_s_);
    starts_ = 0;
  }
  const double bytes_per_task = std::clamp(
      load.Utilisation() * load.BytesPerSecond() / std::max(1.0, starts_per_s_),
      kMinBytesPerTask, kMaxBytesPerTask);
  const double permitted_per_s =
      kShareForTasks * load.BytesPerSecond() / bytes_per_task;
  allowance_ = std::min(allowance_ + permitted_per_s * elapsed_ms / 1000,
                        permitted_per_s * kMaxBurstSeconds);
  return static_cast<int>(std::min(
      allowance_, static_cast<double>(std::numeric_limits<int>::max())));
}

void start_pacer::RecordStarts(int count) {
  allowance_ -= count;
  starts_ += count;
}

}  // namespace radishwing::sched
