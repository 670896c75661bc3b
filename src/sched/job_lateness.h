#pragma once

#include "src/base/clock.h"
#include "src/sched/job_state.h"

namespace radishwing::sched {

/// What a job can still reach if its remaining steps started now.
enum class job_lateness {
  kUseful,    ///< The job can meet its objective.
  kLate,      ///< The job ends late, but while it still has some value.
  kVeryLate,  ///< The job ends after it has lost its value.
};

/// Returns what `job` can still reach at `now`. `run_time_ratio` is the mean
/// ratio of actual to estimated run times of the job's queue.
job_lateness LatenessOf(const job_state& job, double run_time_ratio,
                        millis now);

}  // namespace radishwing::sched
