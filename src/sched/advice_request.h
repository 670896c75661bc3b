#pragma once

#include <string>
#include <vector>

#include "src/base/clock.h"

namespace radishwing::sched {

/// Runners of which the advice service is to be asked for one step.
struct advice_request {
  std::string step;  ///< "JOB.REPETITION.STEP"
  std::vector<std::string> runners;
  millis valid_ms = 0;  ///< How long a ticket of the queue is valid.
};

}  // namespace radishwing::sched
