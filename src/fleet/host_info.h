#pragma once

#include <cstdint>
#include <string>

namespace radishwing::fleet {

/// State of a host as reported by the platform.
enum class host_state {
  kUp,
  kMoving,  ///< The host is being moved to another pool.
  kMaintenance,
  kDown  ///< Also used if the reported state is not recognized.
};

/// One host of the fleet.
struct host_info {
  std::string name;  ///< Name of the host.
  std::string pool;  ///< Name of the host's pool.
  host_state state = host_state::kDown;
  std::int64_t cpu_millicores =
      0;                    ///< Total processor capacity, in 1/1000 core.
  std::string runner;       ///< Id of the runner on the host; empty if none.
  std::string data_centre;  ///< Name of the host's data centre.
};

}  // namespace radishwing::fleet
