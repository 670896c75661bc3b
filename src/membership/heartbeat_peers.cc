#include <algorithm>

#include "src/membership/member_table.h"

namespace radishwing::membership {

std::vector<member> member_table::HeartbeatPeers() {
  std::vector<member> present;
  std::vector<member> failed;
  for (const auto& [host, other] : others_) {
    if (other.row.state == member_state::kLeft) continue;
    bool is_failed = other.row.state == member_state::kFailed;
    (is_failed ? failed : present).push_back(other.row);
  }
  if (present.size() + failed.size() < timing_.full_mesh_max) {
    present.insert(present.end(), failed.begin(), failed.end());
    return present;
  }
  // `present` is sorted by host. Doubling distances let news reach all members
  // in a number of steps that grows with the logarithm of their number.
  std::vector<member> peers;
  auto after = std::upper_bound(
      present.begin(), present.end(), self_.host,
      [](const std::string& host, const member& m) { return host < m.host; });
  std::size_t own_rank = after - present.begin();
  for (std::size_t distance = 1;
       distance <= present.size() && peers.size() < timing_.partial_mesh_peers;
       distance *= 2) {
    peers.push_back(present[(own_rank + distance - 1) % present.size()]);
  }
  // A partition that ended is noticed by calling a member that seemed failed.
  if (!failed.empty()) peers.push_back(failed[next_failed_++ % failed.size()]);
  return peers;
}

}  // namespace radishwing::membership
