#pragma once

#include <string>

#include "src/report/burn_report.h"

namespace radishwing::report {

/// The report as plain text.
std::string TextPage(const burn_report& report);

/// `value` with `digits` decimals.
std::string FixedNumber(double value, int digits);

/// A length of time such as `41 min` or `2.5 h`.
std::string DurationText(millis length);

/// Wall time as `2026-12-04 06:55:57 UTC`.
std::string WallTimeText(millis wall_ms);

/// The daemons' words for bad outcomes as people read them, by position in
/// kBadOutcomes.
inline constexpr const char* kOutcomeTitles[] = {
    "late",  "refused", "unknown", "cut off midway", "data centre cut off",
    "failed"};
static_assert(std::size(kOutcomeTitles) == std::size(kBadOutcomes));

}  // namespace radishwing::report
