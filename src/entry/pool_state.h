#pragma once

#include <cstdint>
#include <map>
#include <string>

#include "src/fairness/fair_queue.h"

namespace radishwing::entry {

/// One pool as the serve thread knows it. Kept for the life of the process.
struct pool_state {
  std::string name;
  fairness::fair_queue queue;
  /// Slot time used since the previous report, by team index, in ms.
  std::map<std::uint32_t, std::uint64_t> slot_ms;
};

}  // namespace radishwing::entry
