#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "src/base/clock.h"
#include "src/fleet/task_step.h"

namespace radishwing::fleet {

/// What a caller submits.
struct job_request {
  std::string spec;  ///< Opaque text that every task of the job receives.
  std::vector<task_step> steps;
  int repetitions = 0;      ///< 0 for a job that runs once, now.
  millis first_due_ms = 0;  ///< Unix time of the first repetition.
  millis interval_ms = 0;
};

}  // namespace radishwing::fleet
