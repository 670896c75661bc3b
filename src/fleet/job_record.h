#pragma once

#include <string>

#include "src/base/clock.h"
#include "src/fleet/job_request.h"

namespace radishwing::fleet {

/// An accepted job with a copy of its queue's configuration, so that the job
/// can run after the operator removes the queue.
struct job_record {
  std::string id;
  std::string queue;
  std::string pool;
  std::string team;  ///< Empty if the queue is public.
  int priority = 0;  ///< 0 is the highest.
  int max_attempts =
      1;  ///< Number of failed runs of one task that fail the job.
  /// The job should end within `stretch` times its critical path plus
  /// `target_ms` after its acceptance.
  double stretch = 1.0;
  millis target_ms = 0;
  /// Validity period of the tickets that the advice service issues for the job;
  /// 0 if its tasks start without a ticket.
  millis ticket_valid_ms = 0;
  millis accepted_unix_ms = 0;  ///< Unix time of the job's acceptance.
  std::string body;             ///< The request body as received.
  job_request request;
};

}  // namespace radishwing::fleet
