#pragma once

#include <array>
#include <cstdint>
#include <map>

#include "src/base/clock.h"

namespace radishwing::report {

/// One window of the report and the length of its buckets. A sum over a window
/// is accurate to one bucket: a fifth of the shortest window, a twelfth of the
/// others.
struct window_tier {
  millis window_ms;
  millis bucket_ms;
  const char* name;
};

inline constexpr millis kMinuteMs = 60'000;

inline constexpr std::array<window_tier, 4> kTiers = {{
    {5 * kMinuteMs, kMinuteMs, "5 min"},
    {60 * kMinuteMs, 5 * kMinuteMs, "1 h"},
    {360 * kMinuteMs, 30 * kMinuteMs, "6 h"},
    {4320 * kMinuteMs, 360 * kMinuteMs, "3 days"},
}};

}  // namespace radishwing::report
