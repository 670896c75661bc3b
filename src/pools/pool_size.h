#pragma once

#include <cstdint>

#include "src/settings/policy_settings.h"

namespace radishwing::pools {

/// What the size of one pool depends on.
struct pool_demand {
  double peak_slots = 0;  ///< Highest demand within the window.
  double mean_slots = 0;
  std::uint32_t slots_per_host = 8;
  std::uint32_t largest_domain = 0;  ///< Hosts in its largest failure domain.
  std::uint32_t floor_hosts = 0;
  std::uint32_t target_hosts = 0;  ///< Wanted without any measured demand.
};

/// Hosts that a pool should have.
struct pool_size {
  std::uint32_t load_hosts = 0;    ///< For the demand.
  std::uint32_t buffer_hosts = 0;  ///< For the loss of a failure domain.
  std::uint32_t Total() const { return load_hosts + buffer_hosts; }
};

/// Sizes a pool from its measured peak and its largest failure domain. How much
/// of the way from mean to peak is covered, and how much of the failure domain,
/// follows from the weights of nearness to share and of buffer cost: all of
/// both if nearness weighs at least as much as cost, but never less than 70% of
/// the way to the peak and half of the domain.
pool_size SizePool(const pool_demand& demand,
                   const settings::policy_settings& policy);

}  // namespace radishwing::pools
