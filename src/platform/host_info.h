#pragma once

#include <cstdint>
#include <string>

namespace radishwing::platform {

/// State of a host as the platform knows it.
enum class host_state { kUp, kDraining, kRebooting, kFailed };

/// One host of the fleet.
struct host_info {
  std::string host;
  std::string data_centre;
  std::string rack;
  std::uint32_t cores = 0;
  std::uint32_t memory_mb = 0;
  std::uint32_t accelerators = 0;
  host_state state = host_state::kFailed;
};

}  // namespace radishwing::platform
