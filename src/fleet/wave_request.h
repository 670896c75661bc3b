#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "src/base/clock.h"

namespace radishwing::fleet {

/// A request to maintain a group of hosts (a maintenance wave).
struct wave_request {
  std::int64_t number = 0;
  std::vector<std::string> hosts;
  millis duration_ms = 0;  ///< From the request to the last host's start.
  int max_down = 1;        ///< Hosts that may be down at once.
};

}  // namespace radishwing::fleet
