#pragma once

#include <map>
#include <string>
#include <string_view>
#include <vector>

#include "src/base/result.h"

namespace radishwing::report {

/// One sample of a scrape: a series and its value.
struct metric_sample {
  std::string name;  ///< Metric name.
  std::map<std::string, std::string, std::less<>> labels;
  double value = 0;  ///< Value of the series; 0 for NaN.

  /// Returns the value of the label `label`, or an empty view if the series
  /// does not have it.
  std::string_view LabelValue(std::string_view label) const;
};

/// Parses the Prometheus text format 0.0.4, ignoring comments and timestamps.
/// Fails with kInvalid if any line is malformed. If only that line were
/// dropped, its counter would be missing and would seem to have been reset.
result<std::vector<metric_sample>> ParseMetricText(std::string_view text);

}  // namespace radishwing::report
