#pragma once

#include <algorithm>
#include <cstdint>

#include "src/base/clock.h"

namespace radishwing::platform_fake {

/// A token bucket that holds one second's worth of calls. 0 calls per second
/// means no limit.
class rate_limit {
 public:
  explicit rate_limit(std::uint32_t per_second)
      : per_second_(per_second), tokens_(per_second) {}

  /// Takes one call, or returns false if the limit is exceeded.
  bool Take(millis now) {
    if (per_second_ == 0) return true;
    const double earned = per_second_ * static_cast<double>(now - last_) / 1000;
    tokens_ = std::min<double>(per_second_, tokens_ + earned);
    last_ = now;
    if (tokens_ < 1) return false;
    tokens_ -= 1;
    return true;
  }

 private:
  std::uint32_t per_second_;
  double tokens_;
  millis last_ = 0;
};

}  // namespace radishwing::platform_fake
