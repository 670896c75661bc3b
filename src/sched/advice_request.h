#pragma once

#include <string>
#include <vector>

#include "src/base/clock.h"

namespace radishwing::sched {

/// A query to the advice service that asks which of `runners` may run the tasks
/// of a step.
struct advice_request {
  std::string step;  ///< Name of the step: "JOB.REPETITION.STEP".
  std::vector<std::string> runners;  ///< Ids of the runners.
  millis valid_ms = 0;    ///< Validity period of the requested tickets.
  std::string queue;      ///< Name of the job's queue.
  millis timeout_ms = 0;  ///< Time after which the query is given up.
};

}  // namespace radishwing::sched
