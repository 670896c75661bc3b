#pragma once

#include <map>
#include <string>
#include <string_view>
#include <vector>

#include "src/base/result.h"

namespace radishwing::report {

/// Value of one series in a scrape.
struct metric_sample {
  std::string name;
  std::map<std::string, std::string, std::less<>> labels;
  double value = 0;

  /// Returns the value of a label, or an empty view if it is missing.
  std::string_view Label(std::string_view label) const;
};

/// Parses the Prometheus text format 0.0.4, skipping comments. A malformed line
/// fails the whole text with kInvalid and the line number: a partial scrape
/// would look like a reset of the missing counters.
result<std::vector<metric_sample>> ParseMetricText(std::string_view text);

}  // namespace radishwing::report
