#pragma once

#include <cstdint>

#include "src/base/clock.h"

namespace radishwing::routing {

/// Failure record of one runner. After kEjectAfter failures in a row it is out
/// for 1 s, doubling up to 60 s; then a single probe decides whether it
/// returns.
class ejection {
 public:
  /// A refused connection counts as much as this many other failures: nothing
  /// listens there.
  static constexpr std::uint32_t kEjectAfter = 3;
  static constexpr millis kFirstPeriodMs = 1000;
  static constexpr millis kLongestPeriodMs = 60000;

  /// Whether a request may go to the runner. A request that must not be run
  /// twice serves as the probe only if no other has done so for one more
  /// period.
  bool Admits(millis now, bool idempotent) const;

  /// A request goes to the runner. Returns true if it is the probe.
  bool Start();

  void Success(bool probe);

  /// `weight` of kEjectAfter ejects at once. `may_eject` is false while too
  /// many runners of the group are out. Returns true if this ejected it.
  bool Failure(millis now, bool probe, std::uint32_t weight, bool may_eject);

  /// The probe ended without a verdict.
  void Abandon(bool probe);

  bool Out() const { return out_; }

 private:
  bool out_ = false;
  bool probing_ = false;
  std::uint32_t failures_ = 0;
  millis period_ms_ = 0;
  millis until_ms_ = 0;
};

}  // namespace radishwing::routing
