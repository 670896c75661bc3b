#pragma once

#include <cstdint>
#include <string>

#include "src/base/clock.h"
#include "src/fleet/job_request.h"

namespace radishwing::fleet {

/// An accepted job with a copy of its queue's configuration, so that the job
/// can run after the operator removes the queue.
struct job_record {
  std::string id;
  std::string queue;  ///< Name of the queue.
  std::string pool;   ///< Name of the pool on whose runners the job runs.
  std::string team;   ///< Name of the team; empty if the queue is public.
  int priority = 0;   ///< Priority of the job; 0 is the highest.
  /// Number of failed runs of one task that fail the job.
  int max_attempts = 1;
  /// The job's objective is the target for the time from the acceptance of the
  /// job to its end: `stretch` times the length of the job's critical path,
  /// plus `target_ms`.
  double stretch = 1.0;
  /// Part of the job's objective that does not depend on the critical path.
  millis target_ms = 0;
  /// Validity period of the tickets that the advice service issues for the job;
  /// 0 if its tasks start without a ticket.
  millis ticket_valid_ms = 0;
  millis accepted_unix_ms = 0;  ///< Unix time of the job's acceptance.
  std::string body;             ///< Body of the HTTP request that submitted it.
  job_request request;          ///< The job as decoded from `body`.
  /// The job was cancelled before it was accepted, so it never runs.
  bool cancelled = false;
  /// Revision of the job's key in the store; 0 if the job is not stored yet.
  std::uint64_t stored_revision = 0;
};

}  // namespace radishwing::fleet
