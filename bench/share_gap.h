#pragma once

#include <vector>

#include "bench/queue_simulation.h"

namespace radishwing::bench {

/// Parts of `capacity` by weight; none gets more than it demands.
std::vector<double> FillByWeight(double capacity,
                                 const std::vector<double>& weights,
                                 const std::vector<double>& demand);

/// Largest |got - due| of any team over windows of `window_ms`, as a part of
/// the fleet's slots, for windows that start in [from_ms, end_ms).
double LargestGap(const queue_record& record, double slots, millis window_ms,
                  millis from_ms, millis end_ms);

}  // namespace radishwing::bench
