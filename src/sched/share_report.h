#pragma once

#include <string>

namespace radishwing::sched {

/// A team's part of a pool, for logs and metrics. Shares are fractions of the
/// pool's capacity.
struct share_report {
  std::string pool;
  std::string team;            ///< Empty for the jobs of public queues.
  double weight = 1;           ///< Weight of the team.
  double used_share = 0;       ///< Mean of the last few seconds.
  double due_share = 0;        ///< By weight, and by what the teams can use.
  double waiting_core_ms = 0;  ///< Work for which no runner was found.
  /// The team uses its share and has more work, and other teams use the pool.
  bool held_back = false;
};

/// Returns the report without its pool as key=value fields of a log line.
std::string FormatShareReport(const share_report& report);

}  // namespace radishwing::sched
