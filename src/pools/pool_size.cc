#include "src/pools/pool_size.h"

#include <algorithm>
#include <cmath>

namespace radishwing::pools {
namespace {

// Below 70% of the way from mean to peak, a peak of 5 times the mean leaves a
// backlog that takes as long as the peak itself to work off.
constexpr double kLeastPeakCover = 0.7;
constexpr double kLeastDomainCover = 0.5;

}  // namespace

pool_size SizePool(const pool_demand& demand,
                   const settings::policy_settings& policy) {
  const double cost = std::max(policy.weight_buffer_cost, 1e-9);
  const double wish = std::min(1.0, policy.weight_share_nearness / cost);
  const double peak_cover = std::max(kLeastPeakCover, wish);
  const double domain_cover = std::max(kLeastDomainCover, wish);
  const double slots =
      demand.mean_slots + (demand.peak_slots - demand.mean_slots) * peak_cover;
  const double per_host = std::max<std::uint32_t>(1, demand.slots_per_host);
  pool_size size;
  size.load_hosts = static_cast<std::uint32_t>(std::ceil(slots / per_host));
  if (demand.peak_slots <= 0) size.load_hosts = demand.target_hosts;
  size.load_hosts = std::max(size.load_hosts, demand.floor_hosts);
  size.buffer_hosts = static_cast<std::uint32_t>(
      std::ceil(demand.largest_domain * domain_cover));
  return size;
}

}  // namespace radishwing::pools
