#pragma once

#include <string>

#include "src/report/fleet_report.h"

namespace radishwing::report {

/// Renders the report as plain text.
std::string RenderText(const fleet_report& report);

/// Formats `value` with `digits` decimal places.
std::string FormatFixed(double value, int digits);

/// Formats a duration, such as `41 min` or `2.5 h`.
std::string FormatDuration(millis duration);

/// Formats `wall_ms`, milliseconds since the Unix epoch, such as
/// `2026-12-04 06:55:57 UTC`.
std::string FormatUtcTime(millis wall_ms);

/// Names of the bad outcomes in the report, indexed like kBadOutcomes.
inline constexpr const char* kBadOutcomeTitles[] = {
    "late",  "refused", "unknown", "cut off midway", "data centre cut off",
    "failed"};
static_assert(std::size(kBadOutcomeTitles) == std::size(kBadOutcomes));

}  // namespace radishwing::report
