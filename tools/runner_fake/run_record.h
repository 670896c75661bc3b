#pragma once

#include <string>

#include "src/base/clock.h"

namespace radishwing::fake {

/// One request that a fake runner started.
struct run_record {
  std::string id;    ///< Radishwing-Request-Id.
  std::string run;   ///< Radishwing-Run, unique per attempt.
  std::string team;  ///< Radishwing-Team.
  millis started_ms = 0;
  millis completed_ms = 0;  ///< 0: not completed.
};

}  // namespace radishwing::fake
