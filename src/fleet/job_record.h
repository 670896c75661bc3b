#pragma once

#include <string>

#include "src/base/clock.h"
#include "src/fleet/job_request.h"

namespace radishwing::fleet {

/// An accepted job with the queue settings at that time, so that the job can
/// run after its queue is removed from the configuration.
struct job_record {
  std::string id;
  std::string queue;
  std::string pool;
  std::string team;  ///< Empty if the queue is public.
  int priority = 0;
  int attempts = 1;      ///< Failed runs of a task that fail the job.
  double stretch = 1.0;  ///< Objective per unit of critical path.
  millis target_ms = 0;  ///< Constant part of the objective.
  /// Validity of the advice service's tickets, which starts need; 0: no ticket
  /// is needed.
  millis ticket_valid_ms = 0;
  millis accepted_unix_ms = 0;
  std::string body;  ///< The request body as received.
  job_request request;
};

}  // namespace radishwing::fleet
