#pragma once

#include <algorithm>

#include "src/base/clock.h"

namespace radishwing::sched {

/// Time to live of a node's lease in the store. The leader's key expires with
/// the lease; the store's minimum is 1,000 ms.
inline constexpr millis kNodeLeaseMs = 1600;
/// Time for which a leader that cannot renew its lease keeps issuing orders
/// after the lease may have expired. During a store outage that affects all
/// nodes, no other node can take over.
inline constexpr millis kLeaderGraceMs = 6000;
/// Time after which an order to a host that got no response is abandoned: its
/// connection is reset, so that the order is not carried out later.
inline constexpr millis kHostOrderTimeoutMs = 700;
/// Margin in the end of the permission to order hosts, for the delay between
/// the check of the permission and the write to the socket.
inline constexpr millis kHostOrderMarginMs = 150;
/// Duration of the leader's lease on a runner. Each poll and each start order
/// renews the lease. The duration is longer than a takeover and shorter than
/// the longest lease that runners grant.
inline constexpr millis kRunnerLeaseMs = 4500;
/// Maximum rate error of a runner's clock, in parts per thousand.
inline constexpr millis kClockDriftPermille = 20;
/// Margin in the expiry time of a lease on a runner, for rounding and for the
/// transit time of the response that reported the runner's clock.
inline constexpr millis kRunnerLeaseMarginMs = 150;

/// Determines what a leader may do, based on the age of its lease in the store.
class term_lease {
 public:
  /// `renewed_at` is when the node sent the call that granted or renewed the
  /// lease.
  explicit term_lease(millis renewed_at) : renewed_at_(renewed_at) {}

  /// Records that a call sent at `sent_at` renewed the lease.
  void RecordRenewal(millis sent_at) {
    renewed_at_ = std::max(renewed_at_, sent_at);
  }

  /// Returns true if the leader may issue orders. These orders renew leases on
  /// runners. If a successor cannot reach a runner, the successor waits until
  /// the lease on that runner has expired.
  bool MayIssueOrders(millis now) const { return OrdersLapsedFor(now) < 0; }

  /// Returns the time since the permission to issue orders lapsed; negative
  /// while the leader may issue them.
  millis OrdersLapsedFor(millis now) const {
    return now - renewed_at_ - kNodeLeaseMs - kLeaderGraceMs;
  }

  /// Returns true if an order to a host that is sent now ends before another
  /// node can be the leader, also if it gets no response. The platform may
  /// carry out orders to hosts without a check of the fencing token, so unlike
  /// other orders, these must not outlast the lease.
  bool MayOrderHosts(millis now) const {
    return now - renewed_at_ + kHostOrderTimeoutMs + kHostOrderMarginMs <=
           kNodeLeaseMs;
  }

  /// Returns true if no other node can be the leader. If the result is false, a
  /// successor may be renewing the leases on runners that this leader cannot
  /// reach, so this leader must not treat such a lease as expired.
  bool IsExclusive(millis now) const {
    return now - renewed_at_ < kNodeLeaseMs;
  }

  /// Returns the time at which the predecessor's leases on all runners have
  /// expired. After that time, an unreachable runner has no runs that the
  /// predecessor started. `predecessor_stopped` means that the predecessor
  /// issued its last order before `elected_at`.
  static millis PredecessorLeaseEnd(millis elected_at,
                                    bool predecessor_stopped) {
    const millis lease = kRunnerLeaseMs +
                         2 * kRunnerLeaseMs * kClockDriftPermille / 1000 +
                         2 * kRunnerLeaseMarginMs;
    return elected_at + lease + (predecessor_stopped ? 0 : kLeaderGraceMs);
  }

 private:
  /// Send time of the newest call that granted or renewed the lease.
  millis renewed_at_;
};

}  // namespace radishwing::sched
