#pragma once

#include <string>
#include <vector>

#include "src/report/metric_sample.h"

namespace radishwing::report {

/// Metrics exported by one daemon.
struct scrape {
  std::string address;
  std::vector<metric_sample> samples;
};

}  // namespace radishwing::report
