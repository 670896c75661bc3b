#pragma once

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
  /// Until then it counts as full: it rejected a request although fewer than
  /// its slots were in flight from here.
  millis full_until_ms = 0;
  millis full_backoff_ms = 0;
  ejection failures;

  bool AcceptsWork() const { return listed && info.accepts_work && !leaving; }

  /// In-flight requests per slot after one more.
  double LoadWithOneMore() const {
    return (in_flight + 1.0) / (info.slots == 0 ? 1 : info.slots);
  }
};

}  // namespace radishwing::routing
