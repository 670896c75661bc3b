#pragma once

#include <cstdint>

#include "src/base/clock.h"
#include "src/sched/job_state.h"

namespace radishwing::sched {

/// When the rest of a job can end, compared with its objective.
enum class job_prospect : std::uint8_t {
  kLongRunning,  ///< The job has no objective.
  kInTime,       ///< It can end within its objective.
  kLate,         ///< It can end while it still has some value.
  kWorthless,    ///< It ends after that time, whatever starts now.
};

/// Place of a job among the jobs of its team, and of its team's jobs among
/// those of other teams.
struct job_rank {
  job_prospect prospect = job_prospect::kLongRunning;
  int priority = 0;  ///< Priority of the queue; lower values come first.
  /// Among jobs of one prospect and priority, jobs of a lower stage come first:
  /// 0: has started tasks; 1: has not; 2: has not, and a usual delay makes it
  /// miss its objective.
  int stage = 0;
  /// Among jobs of a team that are alike otherwise, lower values come first.
  millis order = 0;
  /// Latest time to start the remaining steps and still meet the objective; 0
  /// for a long-running job.
  millis latest_start = 0;
};

/// Ranks a job at `now`. `run_time_ratio` is the ratio of actual to estimated
/// run times of its queue.
job_rank RankJob(const job_state& job, double run_time_ratio, millis now);

}  // namespace radishwing::sched
