#include <algorithm>

#include "src/sched/scheduler.h"

// Keeps the jobs in agreement with their records in the store.

namespace radishwing::sched {

std::vector<std::string> scheduler::ExpiredJobs(millis now, millis retention_ms,
                                                std::size_t limit) const {
  std::vector<std::string> expired;
  for (const auto& [id, job] : jobs_) {
    if (expired.size() >= limit) break;
    if (job->IsFinished() && job->active_runs == 0 &&
        job->progress_version == job->persisted_version &&
        now - job->finished_at > retention_ms) {
      expired.push_back(id);
    }
  }
  return expired;
}

void scheduler::DropJob(const std::string& id) {
  const auto it = jobs_.find(id);
  if (it == jobs_.end()) return;
  for (const run_name& run :
       ListRuns(*it->second, [](const run_state&) { return true; })) {
    DetachRun(run.task, FindTask(run.task), run.runner, run.run);
  }
  tickets_.DropJob(id);
  std::erase(write_queue_, id);
  std::erase(active_jobs_, it->second.get());
  jobs_.erase(it);
}

}  // namespace radishwing::sched
