#pragma once

#include <string>
#include <vector>

#include "src/base/clock.h"

namespace radishwing::sched {

/// A query to the advice service: which of `runners` may run the step.
struct advice_request {
  std::string step;  ///< "JOB.REPETITION.STEP"
  std::vector<std::string> runners;
  millis valid_ms = 0;  ///< Validity of the queue's tickets.
};

}  // namespace radishwing::sched
