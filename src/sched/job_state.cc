#include "src/sched/job_state.h"

namespace radishwing::sched {

std::string_view JobPhaseName(job_phase phase) {
  switch (phase) {
    case job_phase::kPending:
      return "pending";
    case job_phase::kRunning:
      return "running";
    case job_phase::kSucceeded:
      return "succeeded";
    case job_phase::kFailed:
      return "failed";
    case job_phase::kCancelled:
      return "cancelled";
  }
  return "pending";
}

job_phase ParseJobPhase(std::string_view name) {
  for (const job_phase phase : {job_phase::kRunning, job_phase::kSucceeded,
                                job_phase::kFailed, job_phase::kCancelled}) {
    if (JobPhaseName(phase) == name) return phase;
  }
  return job_phase::kPending;
}

}  // namespace radishwing::sched
