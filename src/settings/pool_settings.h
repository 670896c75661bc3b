#pragma once

#include <cstdint>

namespace radishwing::settings {

/// Settings object `pools.<pool>`.
struct pool_settings {
  /// Minimum number of available hosts during planned stops.
  std::uint32_t floor_hosts = 0;
  /// Number of hosts in the absence of measured demand.
  std::uint32_t target_hosts = 0;
  /// Maximum number of hosts in maintenance at the same time.
  std::uint32_t wave_hosts_max = 4;
  /// True for the single pool that lends hosts to the others.
  bool spare = false;
};

}  // namespace radishwing::settings
