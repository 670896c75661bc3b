#include "src/pools/demand_peak.h"

#include <algorithm>

namespace radishwing::pools {
namespace {

constexpr millis kParts = 60;

}  // namespace

demand_peak::demand_peak(millis window_ms)
    : part_ms_(std::max<millis>(1, window_ms / kParts)), parts_(kParts) {}

void demand_peak::Record(millis now, double slots) {
  const millis number = now / part_ms_;
  part& current = parts_[static_cast<std::size_t>(number % kParts)];
  if (current.number != number) current = {number, 0, 0, 0};
  current.peak = std::max(current.peak, slots);
  current.sum += slots;
  ++current.count;
}

bool demand_peak::Within(const part& part, millis now) const {
  return part.number >= 0 && now / part_ms_ - part.number < kParts;
}

double demand_peak::Peak(millis now) const {
  double peak = 0;
  for (const part& part : parts_) {
    if (Within(part, now)) peak = std::max(peak, part.peak);
  }
  return peak;
}

double demand_peak::Mean(millis now) const {
  double sum = 0;
  std::size_t count = 0;
  for (const part& part : parts_) {
    if (!Within(part, now)) continue;
    sum += part.sum;
    count += part.count;
  }
  return count == 0 ? 0 : sum / static_cast<double>(count);
}

}  // namespace radishwing::pools
