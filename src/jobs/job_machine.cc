#include "src/jobs/job_machine.h"

#include <algorithm>

namespace radishwing::jobs {
namespace {

bool Set(job_state& state, job_state to) {
  if (state == to) return false;
  state = to;
  return true;
}

bool End(job_record& job, job_state state, std::string reason) {
  job.state = state;
  job.reason = std::move(reason);
  job.body.clear();
  return true;
}

bool NextAttempt(job_record& job) {
  ++job.attempt;
  job.state = job_state::kAccepted;
  job.host.clear();
  // The process that drove the job before may have got further.
  job.in_doubt = job.recovered;
  return true;
}

// No task of this attempt exists.
bool BackToAccepted(job_record& job) {
  job.in_doubt = false;
  if (job.cancel) return End(job, job_state::kCancelled, "");
  job.host.clear();
  return Set(job.state, job_state::kAccepted);
}

bool ApplyFailure(job_record& job, std::uint32_t failure_limit,
                  bool host_at_fault) {
  if (job.cancel) return End(job, job_state::kCancelled, "");
  if (!job.idempotent) {
    return End(job, job_state::kFailed, "the task failed on " + job.host);
  }
  const bool known = std::find(job.failed_on.begin(), job.failed_on.end(),
                               job.host) != job.failed_on.end();
  if (!known && !host_at_fault) job.failed_on.push_back(job.host);
  if (job.failed_on.size() >= failure_limit) {
    return End(job, job_state::kFaulty,
               "the task failed on " + std::to_string(job.failed_on.size()) +
                   " different hosts");
  }
  return NextAttempt(job);
}

// A stop that was not asked for by a caller came from the platform.
bool ApplyStopped(job_record& job) {
  if (job.cancel) return End(job, job_state::kCancelled, "");
  if (!job.idempotent) {
    return End(job, job_state::kFailed, "the platform stopped the task");
  }
  return NextAttempt(job);
}

}  // namespace

job_action NextAction(const job_record& job) {
  switch (job.state) {
    case job_state::kAccepted:
    case job_state::kStarting:
      return job.in_doubt ? job_action::kPoll : job_action::kStart;
    case job_state::kRunning:
      return job.cancel ? job_action::kStop : job_action::kRenew;
    case job_state::kUnknown:
      // An idempotent job runs elsewhere once its old task has been stopped.
      return job.cancel || job.idempotent ? job_action::kStop
                                          : job_action::kPoll;
    default:
      return job_action::kNone;
  }
}

bool ApplyStarting(job_record& job, const std::string& host) {
  job.host = host;
  return Set(job.state, job_state::kStarting);
}

bool ApplyStarted(job_record& job, platform::start_state outcome) {
  switch (outcome) {
    case platform::start_state::kStarted:
      job.in_doubt = false;
      if (!job.idempotent) job.body.clear();
      return Set(job.state, job_state::kRunning);
    case platform::start_state::kRefused:
      // The platform looks the id up first, so no task has it.
      return BackToAccepted(job);
    case platform::start_state::kNotDone:
      return job.in_doubt ? false : BackToAccepted(job);
    case platform::start_state::kUnknown:
      job.in_doubt = true;
      break;
  }
  return false;
}

bool ApplyTask(job_record& job, platform::task_state task,
               std::uint32_t failure_limit, bool host_at_fault) {
  job.in_doubt = false;
  switch (task) {
    case platform::task_state::kRunning:
      return Set(job.state, job_state::kRunning);
    case platform::task_state::kLapsed:
      return Set(job.state, job_state::kUnknown);
    case platform::task_state::kFinished:
      return End(job, job_state::kFinished, "");
    case platform::task_state::kFailed:
      return ApplyFailure(job, failure_limit, host_at_fault);
    case platform::task_state::kStopped:
      return ApplyStopped(job);
  }
  return false;
}

bool ApplyNoTask(job_record& job) {
  if (job.state == job_state::kAccepted || job.state == job_state::kStarting) {
    return BackToAccepted(job);
  }
  if (job.cancel) return End(job, job_state::kCancelled, "");
  if (job.idempotent) return NextAttempt(job);
  return End(job, job_state::kFailed,
             "the platform has lost the task; it may have run");
}

bool ApplyCancel(job_record& job) {
  if (job.cancel || HasEnded(job.state)) return false;
  job.cancel = true;
  if (job.state == job_state::kAccepted && !job.in_doubt) {
    return End(job, job_state::kCancelled, "");
  }
  return true;
}

}  // namespace radishwing::jobs
