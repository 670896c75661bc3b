#pragma once

#include <array>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "tools/load/load_record.h"

namespace radishwing::tools {

/// Counts and latencies of one run.
class load_summary {
 public:
  void Add(const load_record& record);

  /// One line: counts by outcome, requests per second, latency percentiles of
  /// the answered requests in microseconds.
  std::string Format(double seconds) const;

 private:
  std::int64_t Percentile(double part) const;

  std::array<std::uint64_t, 4> by_outcome_{};
  std::map<unsigned, std::uint64_t> by_status_;
  std::uint64_t mismatched_ = 0;
  std::vector<std::int64_t> latencies_us_;
};

}  // namespace radishwing::tools
