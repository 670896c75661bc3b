#pragma once

#include <algorithm>

#include "src/base/clock.h"

namespace radishwing::sched {

/// Length of a node's lease in the store. A dead leader's key goes after it;
/// the store allows 1,000 ms at least.
inline constexpr millis kNodeLeaseMs = 1600;
/// A leader that cannot renew goes on for this long after its lease may have
/// run out: nobody can take over while the store is away for all.
inline constexpr millis kLeaderGraceMs = 6000;
/// Length of a lease on a runner, counted from each look and start. It
/// outlasts a takeover and is less than the runners' longest lease.
inline constexpr millis kRunnerLeaseMs = 4500;
/// A runner's clock may be this much slow, in parts per thousand.
inline constexpr millis kClockDriftPermille = 20;
/// Rounding, and the way of the answer that told a runner's clock.
inline constexpr millis kRunnerLeaseMarginMs = 150;

/// What a leader may do, by the age of its lease in the store.
class term_lease {
 public:
  /// The lease was granted or renewed by a call sent at `renewed_at`.
  explicit term_lease(millis renewed_at) : renewed_at_(renewed_at) {}

  /// The store renewed the lease by a call sent at `at`.
  void Renewed(millis at) { renewed_at_ = std::max(renewed_at_, at); }

  /// True if orders may be given. A successor that takes over waits for the
  /// runners that it cannot reach until these orders' leases have run out.
  bool MayOrder(millis now) const {
    return now - renewed_at_ < kNodeLeaseMs + kLeaderGraceMs;
  }

  /// True if nobody else leads for certain. Only then does the silence of a
  /// runner mean that its lease runs out: a successor would extend it.
  bool Sole(millis now) const { return now - renewed_at_ < kNodeLeaseMs; }

  /// From when on nothing runs by the orders of a predecessor. `silent`: it
  /// gave its last order before `elected_at`.
  static millis PredecessorOver(millis elected_at, bool silent) {
    const millis lease = kRunnerLeaseMs +
                         2 * kRunnerLeaseMs * kClockDriftPermille / 1000 +
                         2 * kRunnerLeaseMarginMs;
    return elected_at + lease + (silent ? 0 : kLeaderGraceMs);
  }

 private:
  millis renewed_at_;
};

}  // namespace radishwing::sched
