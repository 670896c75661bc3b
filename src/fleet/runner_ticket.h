#pragma once

#include <string>

namespace radishwing::fleet {

/// Permission of the advice service to run a step on a runner.
struct runner_ticket {
  std::string runner;
  std::string text;  ///< Opaque; sent with each start.
};

}  // namespace radishwing::fleet
