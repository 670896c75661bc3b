#pragma once

#include <cstdint>

namespace radishwing::settings {

/// One branch `pools.<pool>`.
struct pool_settings {
  std::uint32_t floor_hosts =
      0;  ///< Fewest available hosts a planned stop may leave.
  std::uint32_t target_hosts =
      0;  ///< Hosts wanted without any measured demand.
  std::uint32_t wave_hosts_max = 4;  ///< Most hosts in maintenance at once.
  bool spare = false;  ///< True for the one pool that lends hosts.
};

}  // namespace radishwing::settings
