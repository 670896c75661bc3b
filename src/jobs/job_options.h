#pragma once

#include <cstddef>
#include <cstdint>
#include <string>

#include "src/base/clock.h"

namespace radishwing::jobs {

/// Settings of the jobs of one control process.
struct job_options {
  std::string data_centre;
  std::string owner;  ///< "<host>#<incarnation>" of this control process.
  radishwing::clock clock = radishwing::clock::Monotonic();

  millis tick_ms = 50;  ///< How often due work is looked for.
  /// Shortest time between two store writes of this process.
  millis write_ms = 50;
  /// How long changes of state are collected before a batch is written again.
  millis settle_ms = 500;
  /// How often a batch with live jobs is read again, to learn of cancellations
  /// and of a new owner.
  millis refresh_ms = 10000;
  /// Longest wait of a submission. Entries give up after 2 s.
  millis answer_ms = 1500;
  millis retention_ms = 3600000;  ///< Ended jobs are kept this long.

  millis lease_ms = 30000;     ///< Of tasks.
  millis poll_least_ms = 250;  ///< Between looks at a task: a quarter of its
  millis poll_most_ms = 8000;  ///< age, within these bounds.
  millis retry_ms = 500;       ///< After a refused start, token or call.
  std::size_t max_calls = 16;  ///< Calls to the platform's tasks at once.
  std::uint32_t failure_limit = 3;  ///< Different hosts on which a job fails.

  std::size_t max_jobs = 10000;       ///< Held in memory, ended ones too.
  std::size_t max_bytes = 16u << 20;  ///< Of batches held in memory.
  std::size_t max_body_bytes = 256u << 10;
};

}  // namespace radishwing::jobs
