#pragma once

#include <string>

#include "src/base/clock.h"
#include "src/fleet/resources.h"

namespace radishwing::sched {

/// What one team uses of one pool. The tasks of long-running jobs are not part
/// of it.
struct share_account {
  std::string pool;
  std::string team;  ///< Empty for the jobs of public queues.
  int number = 0;    ///< Position in the order of creation, from 0.
  /// Sum of the needs that the team's runs reserve.
  fleet::resources held;
  /// Sum of the needs of runs that an earlier leader started and that are not
  /// part of `recent_share` yet.
  fleet::resources adopted;
  double recent_share = 0;  ///< Decayed mean of the dominant share of `held`.
  millis updated_at = 0;    ///< Time up to which `recent_share` is computed.
  double weight = 1;        ///< Weight of the team, positive and finite.
  /// Estimated processor time of the tasks for which the last pass found no
  /// runner, in core-milliseconds.
  double waiting_core_ms = 0;
};

}  // namespace radishwing::sched
