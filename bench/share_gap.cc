#include "bench/share_gap.h"

#include <algorithm>
#include <cmath>

namespace radishwing::bench {

std::vector<double> FillByWeight(double capacity,
                                 const std::vector<double>& weights,
                                 const std::vector<double>& demand) {
  std::vector<double> part(weights.size());
  std::vector<bool> filled(weights.size());
  for (std::size_t round = 0; round < weights.size(); ++round) {
    double weight = 0;
    for (std::size_t i = 0; i < part.size(); ++i) {
      if (!filled[i]) weight += weights[i];
    }
    if (weight <= 0) break;
    const double level = capacity / weight;
    bool changed = false;
    for (std::size_t i = 0; i < part.size(); ++i) {
      if (filled[i]) continue;
      part[i] = level * weights[i];
      if (demand[i] > part[i]) continue;
      part[i] = demand[i];
      capacity -= demand[i];
      filled[i] = changed = true;
    }
    if (!changed) break;
  }
  return part;
}

double LargestGap(const queue_record& record, double slots, millis window_ms,
                  millis from_ms, millis end_ms) {
  constexpr millis kSample = queue_record::kSampleMs;
  const auto length = static_cast<std::size_t>(window_ms / kSample);
  const auto last =
      std::min(static_cast<std::size_t>(end_ms / kSample) + length,
               record.samples.size() + 1);
  double largest = 0;
  for (auto from = static_cast<std::size_t>(from_ms / kSample);
       from + length < last; ++from) {
    for (std::size_t team = 0; team < record.samples[0].got.size(); ++team) {
      double gap = 0;
      for (std::size_t i = from; i < from + length; ++i) {
        gap += record.samples[i].got[team] - record.samples[i].due[team];
      }
      largest = std::max(largest, std::abs(gap));
    }
  }
  return largest / (slots * static_cast<double>(window_ms));
}

}  // namespace radishwing::bench
