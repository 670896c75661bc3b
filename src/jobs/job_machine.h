#pragma once

#include <cstdint>
#include <string>

#include "src/jobs/job_record.h"
#include "src/platform/task_status.h"

namespace radishwing::jobs {

/// What has to be done for a job next.
enum class job_action {
  kNone,   ///< It has ended.
  kStart,  ///< Start the task of its attempt, or find out that it exists.
  kRenew,  ///< Extend its task's lease.
  kPoll,   ///< Ask for its task's state.
  kStop,   ///< Stop its task.
};

/// Decides what a job needs next.
job_action NextAction(const job_record& job);

/// Each of the following changes the record to match an event, and returns
/// whether it changed.

/// A call to start the task is about to be sent to `host`.
bool ApplyStarting(job_record& job, const std::string& host);

/// How the call to start the task ended.
bool ApplyStarted(job_record& job, platform::start_state outcome);

/// The platform's view of the task of the current attempt. After a failure an
/// idempotent job is tried on another host, until it has failed on
/// `failure_limit` different ones. `host_at_fault` is true if the host fails
/// whatever it starts: the failure then does not count against the job.
bool ApplyTask(job_record& job, platform::task_state task,
               std::uint32_t failure_limit, bool host_at_fault);

/// The platform does not know the task of the current attempt.
bool ApplyNoTask(job_record& job);

/// A caller asks to cancel the job.
bool ApplyCancel(job_record& job);

}  // namespace radishwing::jobs
