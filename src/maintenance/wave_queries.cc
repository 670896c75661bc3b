#include "src/maintenance/wave_queries.h"

#include <algorithm>

namespace radishwing::maintenance {

bool Remains(const wave_view& view, const wave_host& host) {
  return host.record.maintained_by != view.wave &&
         host.record.home_pool.empty();
}

bool Ready(const wave_view& view, const wave_pool& pool,
           const wave_host& host) {
  return Remains(view, host) && host.record.state == host_state::kActive &&
         !pool.ledger.unavailable.contains(host.record.host);
}

bool ReturnedUnhealthy(const wave_view& view, const wave_host& host) {
  return host.record.maintained_by == view.wave &&
         (!host.healthy || host.record.state == host_state::kFailed) &&
         !view.excused.contains(host.record.host);
}

std::map<std::string, std::uint32_t> ReadyByRack(const wave_view& view,
                                                 const wave_pool& pool) {
  std::map<std::string, std::uint32_t> racks;
  for (const wave_host& host : pool.hosts) {
    if (Ready(view, pool, host)) ++racks[host.record.rack];
  }
  return racks;
}

std::uint32_t LargestRack(const wave_pool& pool) {
  std::map<std::string, std::uint32_t, std::less<>> racks;
  std::uint32_t largest = 0;
  for (const auto& [host, rack] : pool.ledger.hosts) {
    if (pool.ledger.unavailable.contains(host)) continue;
    largest = std::max(largest, ++racks[rack]);
  }
  return largest;
}

}  // namespace radishwing::maintenance
