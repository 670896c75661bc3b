#pragma once

#include <cstdint>
#include <deque>
#include <map>
#include <span>
#include <string>
#include <vector>

#include "src/base/clock.h"
#include "src/settings/policy_settings.h"

namespace radishwing::pools {

/// A pool as the move planner sees it.
struct pool_state {
  std::string pool;
  std::uint32_t hosts = 0;   ///< That it has or is about to get.
  std::uint32_t wanted = 0;  ///< From SizePool.
  std::uint32_t floor_hosts = 0;
  bool spare = false;
};

/// One host to move. The host itself is chosen by availability and rack.
struct host_move {
  std::string from;
  std::string to;
};

/// Decides moves between pools. A shortage must last for the hysteresis time of
/// the policy, scaled by what a move costs against nearness to share (a quarter
/// to four times), and a surplus four times as long; at most
/// `move_budget_per_hour` moves start in any hour. Hosts come from the spare
/// pool first, then from the pool with the largest lasting surplus; a lasting
/// surplus that nobody needs goes to the spare pool. Not thread-safe.
class move_planner {
 public:
  explicit move_planner(settings::policy_settings policy);

  /// Takes over a changed policy.
  void SetPolicy(const settings::policy_settings& policy) { policy_ = policy; }

  /// One planning pass. The returned moves count against the budget.
  std::vector<host_move> Plan(millis now, std::span<const pool_state> pools);

 private:
  struct change_of_need {
    millis shortage_since = -1;
    millis surplus_since = -1;
  };

  void Track(millis now, std::span<const pool_state> pools);
  bool Lasts(millis now, const pool_state& pool);
  millis Hysteresis() const;
  bool Spend(millis now);

  settings::policy_settings policy_;
  std::map<std::string, change_of_need, std::less<>> needs_;
  std::deque<millis> started_;
};

}  // namespace radishwing::pools
