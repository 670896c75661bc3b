#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "src/base/clock.h"

namespace radishwing::fleet {

/// An operator's request for maintenance of a group of hosts (a maintenance
/// wave).
struct wave_request {
  std::int64_t number = 0;         ///< Number that identifies the wave.
  std::vector<std::string> hosts;  ///< Names of the hosts.
  /// Requested maximum time from the request until maintenance begins on the
  /// last host.
  millis time_limit_ms = 0;
  int max_down = 1;  ///< Maximum number of hosts that may be down at once.
};

}  // namespace radishwing::fleet
