#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "src/base/clock.h"

namespace radishwing::fleet {

/// Hosts that are due for maintenance.
struct wave_request {
  std::int64_t number = 0;
  std::vector<std::string> hosts;
  millis duration_ms = 0;  ///< From the request to the last host's start.
  int max_down = 1;        ///< Hosts that may be down for it at once.
};

}  // namespace radishwing::fleet
