#pragma once

#include <cstdint>
#include <string>

namespace radishwing::platform_fake {

/// One host as the hosts file describes it.
struct fake_host {
  std::string host;
  std::string data_centre;
  std::string rack;
  std::uint32_t cores = 16;
  std::uint32_t memory_mb = 64 * 1024;
  std::uint32_t accelerators = 0;
  bool fails_tasks = false;  ///< Every task started here fails.
};

}  // namespace radishwing::platform_fake
