#pragma once

#include <string>

namespace radishwing::fleet {

/// The advice service's leave to run a step on a runner.
struct runner_ticket {
  std::string runner;
  std::string text;  ///< Opaque; goes with each start.
};

}  // namespace radishwing::fleet
