#pragma once

#include <string>

namespace radishwing::fleet {

/// Permission from the advice service to run a step's tasks on a runner.
struct runner_ticket {
  std::string runner;  ///< Id of the runner.
  std::string text;    ///< Opaque text that the start orders must contain.
};

}  // namespace radishwing::fleet
