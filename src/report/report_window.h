#pragma once

#include <array>
#include <cstdint>
#include <map>

#include "src/base/clock.h"

namespace radishwing::report {

/// A time window that ends at the last scrape. The report sums counters over
/// the window. The window is divided into buckets, and a sum is accurate to one
/// bucket.
struct report_window {
  millis length_ms;  ///< Length of the window.
  millis bucket_ms;  ///< Length of a bucket.
  const char* name;  ///< Name shown in the report.
};

inline constexpr millis kMinuteMs = 60'000;

/// The windows of the report, shortest first. A bucket is a fifth of the
/// shortest window and a twelfth of each other window.
inline constexpr std::array<report_window, 4> kReportWindows = {{
    {5 * kMinuteMs, kMinuteMs, "5 min"},
    {60 * kMinuteMs, 5 * kMinuteMs, "1 h"},
    {360 * kMinuteMs, 30 * kMinuteMs, "6 h"},
    {4320 * kMinuteMs, 360 * kMinuteMs, "3 days"},
}};

}  // namespace radishwing::report
