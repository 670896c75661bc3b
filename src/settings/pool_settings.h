#pragma once

#include <cstdint>

namespace radishwing::settings {

/// Settings object `pools.<pool>`.
struct pool_settings {
  /// Minimum number of the pool's hosts that stay available while others are
  /// stopped for planned work.
  std::uint32_t floor_hosts = 0;
  /// Number of hosts that the pool has while no demand is measured.
  std::uint32_t target_hosts = 0;
  /// Maximum number of the pool's hosts in maintenance at the same time.
  std::uint32_t wave_hosts_max = 4;
  /// True for the one pool that lends hosts to the other pools.
  bool spare = false;
};

}  // namespace radishwing::settings
