#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "src/base/clock.h"
#include "src/fleet/task_step.h"

namespace radishwing::fleet {

/// A job as submitted by a caller.
struct job_request {
  std::string spec;  ///< Opaque text that every start order contains.
  std::vector<task_step> steps;
  /// Number of repetitions; 0 for a job that runs once, immediately.
  int repetitions = 0;
  millis first_due_ms = 0;  ///< Unix time at which repetition 0 is due.
  millis interval_ms = 0;   ///< Time between the due times of repetitions.
};

}  // namespace radishwing::fleet
