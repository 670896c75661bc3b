#pragma once

#include <cstdint>
#include <string>

namespace radishwing::fleet {

/// State of a host as reported by the platform.
enum class host_state { kUp, kMoving, kMaintenance, kDown };

/// One host of the fleet.
struct host_info {
  std::string name;
  std::string pool;
  host_state state = host_state::kDown;
  std::int64_t cpu_millis = 0;  ///< Total.
  std::string runner;           ///< Id of its runner; empty if none.
};

}  // namespace radishwing::fleet
