#pragma once

#include <string>
#include <vector>

#include "src/report/metric_sample.h"

namespace radishwing::report {

/// Metrics that one node returned in response to one request.
struct scrape {
  std::string address;  ///< "ip:port" from which the metrics were read.
  std::vector<metric_sample> samples;
};

}  // namespace radishwing::report
