#pragma once

#include <algorithm>

#include "src/base/clock.h"

namespace radishwing::sched {

/// Time to live of a node's lease in the store, after which the key of a dead
/// leader expires. The store's minimum is 1,000 ms.
inline constexpr millis kNodeLeaseMs = 1600;
/// Time for which a leader that cannot renew its lease keeps issuing orders
/// after the lease may have expired: during an outage of the store for all
/// nodes, no other node can take over.
inline constexpr millis kLeaderGraceMs = 6000;
/// Duration of a lease on a runner, renewed by each poll and each start. Longer
/// than a takeover takes, shorter than the longest lease that runners grant.
inline constexpr millis kRunnerLeaseMs = 4500;
/// Maximum rate error of a runner's clock, in parts per thousand.
inline constexpr millis kClockDriftPermille = 20;
/// Allows for rounding and for the transit time of the response that reported
/// the runner's clock.
inline constexpr millis kRunnerLeaseMarginMs = 150;

/// Determines what a leader may do by the age of its lease in the store.
class term_lease {
 public:
  /// The lease was granted or renewed by a call sent at `renewed_at`.
  explicit term_lease(millis renewed_at) : renewed_at_(renewed_at) {}

  /// The store renewed the lease by a call sent at `at`.
  void Renewed(millis at) { renewed_at_ = std::max(renewed_at_, at); }

  /// Returns true if orders may be issued. A successor waits until the leases
  /// of these orders have expired on runners that it cannot reach.
  bool MayIssueOrders(millis now) const {
    return now - renewed_at_ < kNodeLeaseMs + kLeaderGraceMs;
  }

  /// Returns true if no other node can be the leader. Only then can the lease
  /// of an unreachable runner be taken as expired in time: a successor would
  /// extend it.
  bool IsExclusive(millis now) const {
    return now - renewed_at_ < kNodeLeaseMs;
  }

  /// Returns the time after which no run started by a predecessor can exist.
  /// `silent` means that its last order was issued before `elected_at`.
  static millis PredecessorDeadline(millis elected_at, bool silent) {
    const millis lease = kRunnerLeaseMs +
                         2 * kRunnerLeaseMs * kClockDriftPermille / 1000 +
                         2 * kRunnerLeaseMarginMs;
    return elected_at + lease + (silent ? 0 : kLeaderGraceMs);
  }

 private:
  millis renewed_at_;
};

}  // namespace radishwing::sched
