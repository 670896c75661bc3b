#pragma once

#include <algorithm>
#include <cstdint>

#include "src/base/clock.h"
#include "src/routing/ejection.h"
#include "src/routing/runner_info.h"

namespace radishwing::routing {

/// What one entry knows of one runner.
struct runner_state {
  runner_info info;
  /// Stable number for the owner's own data, unique while the runner is kept.
  std::uint32_t index = 0;
  std::uint32_t in_flight = 0;
  bool listed = true;    ///< In the newest runner table.
  bool leaving = false;  ///< It said so itself.
  /// Until then at most `limit` requests may be in flight from here: it
  /// rejected one more, or a slot is left to other entries.
  millis limit_until_ms = 0;
  std::uint32_t limit = 0;
  millis full_backoff_ms = 0;
  ejection failures;

  bool AcceptsWork() const { return listed && info.accepts_work && !leaving; }

  std::uint32_t Room(millis now) const {
    return now < limit_until_ms ? std::min<std::uint32_t>(limit, info.slots)
                                : info.slots;
  }

  /// Keeps the requests in flight from here to the present number.
  void LimitUntil(millis until) {
    limit = in_flight;
    limit_until_ms = until;
  }

  /// In-flight requests per slot after one more.
  double LoadWithOneMore() const {
    return (in_flight + 1.0) / (info.slots == 0 ? 1 : info.slots);
  }
};

}  // namespace radishwing::routing
