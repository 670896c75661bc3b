#pragma once

#include <map>
#include <string>
#include <vector>

#include "src/control/peer_digest.h"
#include "src/maintenance/host_transitions.h"

namespace radishwing::control {

/// What each member confirmed about draining hosts last. Used on the decide
/// thread.
class drain_confirmations {
 public:
  void Take(const peer_digest& digest) {
    for (const auto& row : digest.confirmations) {
      auto& kept = by_host_[row.host][digest.from];
      if (kept.epoch > row.epoch) continue;
      kept = {digest.from, row.epoch, row.in_flight};
    }
  }

  std::vector<maintenance::drain_confirmation> Of(
      const std::string& host) const {
    std::vector<maintenance::drain_confirmation> rows;
    auto found = by_host_.find(host);
    if (found == by_host_.end()) return rows;
    for (const auto& [member, row] : found->second) rows.push_back(row);
    return rows;
  }

  void Forget(const std::string& host) { by_host_.erase(host); }

 private:
  std::map<std::string, std::map<std::string, maintenance::drain_confirmation>>
      by_host_;
};

}  // namespace radishwing::control
