#pragma once

#include <string>

namespace radishwing::fleet {

/// Permission from the advice service to run a step's tasks on a runner.
struct runner_ticket {
  std::string runner;
  std::string text;  ///< Opaque text that every start order must contain.
};

}  // namespace radishwing::fleet
