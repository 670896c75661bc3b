#pragma once

#include "src/sched/link_load.h"

namespace radishwing::sched {

/// Limits the starts of tasks to what the leader's link carries, for a load
/// that exceeds it: starts that wait here arrive later, but those that would
/// fill the link delay the leader's lease, listings and commits as well, so
/// that all running work is lost.
class start_pacer {
 public:
  /// Returns how many tasks may be started now; may be negative.
  int Allowance(millis now, const link_load& load);
  /// Records that `count` tasks were started.
  void RecordStarts(int count);

 private:
  double allowance_ = 0;     ///< Starts that are permitted and not used yet.
  double starts_per_s_ = 0;  ///< Moving average of the starts.
  int starts_ = 0;           ///< Starts since `updated_at_`.
  millis updated_at_ = -1;   ///< -1: not updated yet.
};

}  // namespace radishwing::sched
