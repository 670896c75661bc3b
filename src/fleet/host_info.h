#pragma once

#include <cstdint>
#include <string>

namespace radishwing::fleet {

/// State of a host as the platform tells it.
enum class host_state { kUp, kMoving, kMaintenance, kDown };

/// One host of the fleet.
struct host_info {
  std::string name;
  std::string pool;
  host_state state = host_state::kDown;
  std::int64_t cpu_millis = 0;  ///< In all.
  std::string runner;           ///< Id of the runner on it; may be empty.
};

}  // namespace radishwing::fleet
