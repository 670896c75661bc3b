#pragma once

#include <string>

#include "src/base/clock.h"
#include "src/fleet/job_request.h"

namespace radishwing::fleet {

/// An accepted job with the limits that applied when it was accepted, so that
/// it can be run after its queue has left the configuration.
struct job_record {
  std::string id;
  std::string queue;
  std::string pool;
  std::string team;  ///< Empty if the queue needs no key.
  int priority = 0;
  int attempts = 1;      ///< Failed runs of one task that end the job.
  double stretch = 1.0;  ///< Objective per unit of the longest chain.
  millis target_ms = 0;  ///< Added to the objective.
  /// Starts need a ticket of the advice service, valid this long; 0: none.
  millis ticket_valid_ms = 0;
  millis accepted_unix_ms = 0;
  std::string body;  ///< The request as it was received.
  job_request request;
};

}  // namespace radishwing::fleet
