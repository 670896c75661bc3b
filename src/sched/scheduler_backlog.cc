#include "src/sched/backlog_collector.h"
#include "src/sched/scheduler.h"

// The summary of the work that waits for each pool.

namespace radishwing::sched {

backlog_summary scheduler::BacklogByPool(millis now) const {
  backlog_collector collector;
  for (const auto& [id, runner] : runners_) {
    if (!IsSchedulable(runner, now)) continue;
    collector.AddCapacity(runner.report.pool, runner.report.capacity);
  }
  for (const job_state* job : active_jobs_) {
    if (!job->IsFinished()) collector.AddJob(*job, run_times_, now);
  }
  backlog_summary summary;
  summary.complete = unlisted_runners_.empty();
  summary.pools = collector.Finish(config_, run_times_);
  return summary;
}

}  // namespace radishwing::sched
